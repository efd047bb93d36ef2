//! Clients and engines of a simulated fleet.

use super::fleet::{FleetEvent, FleetSimulation};
use super::host::PendingAdmission;
use super::plan::{BalancePlan, ReservePlan, SECOND};
use super::stream::{MEAN_REQUEST_TOKENS, RequestPlan, StreamPart, TokenStream};
use clementinepond_decide::limit::{AdmissionRequest, LimitEvent, TicketId};
use clementinepond_types::{LocalTime, PriorityClass, TimeSpan, TokenCount};
use rand::RngExt;

/// Interval between two reports of generated tokens.
const GENERATION_INTERVAL_US: u64 = 240_000;
/// Tokens generated in that interval.
const TOKENS_PER_INTERVAL: u64 = 8;
/// Mean length of a burst of requests.
const MEAN_BURST_US: f64 = 2e6;
/// Upper bound of the time between an admission and its dispatch on a VM that isn't paused.
const DISPATCH_DELAY_LIMIT_US: u64 = 300;
/// Priority of new requests.
const NEW_PRIORITY: u8 = 100;
/// Priority of further parts of running streams.
const PART_PRIORITY: u8 = 200;

impl FleetSimulation {
    fn draw_exponential(&mut self, account: usize, mean: f64) -> u64 {
        let uniform: f64 = self.traffic[account].random_range(1e-9..1.0);
        (-uniform.ln() * mean) as u64
    }

    pub(super) fn arrive(&mut self, account: usize) {
        let plan = self.plan.accounts[account];
        self.schedule_arrival(account);
        let request = RequestPlan::draw(account, &plan, &mut self.traffic[account]);
        let Some(vm) = self.balance(account) else {
            return;
        };
        let side = self.side(account, self.vms[vm].centre);
        let cost = TokenCount::new(request.cost());
        let is_ideally_admitted = self.ideal[account][side].admit(cost, self.now);
        if self.now >= self.plan.warm_up {
            let counts = &mut self.outcome.accounts[account];
            counts.requests += 1;
            counts.ideal_refused += u64::from(!is_ideally_admitted);
        }
        let output = match self.plan.reserve {
            ReservePlan::UpperBound => request.limit,
            ReservePlan::Parts(size) => size.min(request.limit),
        };
        let pending = PendingAdmission {
            request,
            vm,
            requested_at: self.now,
            stream: None,
            prompt: request.prompt,
            output,
            is_admitted: false,
            is_ideally_admitted,
        };
        self.request_admission(pending, NEW_PRIORITY);
    }

    fn schedule_arrival(&mut self, account: usize) {
        let plan = self.plan.accounts[account];
        let (ends, is_on) = self.bursts[account];
        if self.now >= ends {
            let mean = if is_on {
                MEAN_BURST_US * (plan.peak as f64 / 1e3 - 1.0).max(0.0)
            } else {
                MEAN_BURST_US
            };
            let length = self.draw_exponential(account, mean);
            self.bursts[account] = (self.now + length, !is_on);
        }
        let (ends, is_on) = self.bursts[account];
        let rate =
            (plan.limit.rate.micro() / 1_000_000) as f64 * plan.load as f64 * plan.peak as f64
                / 1e6;
        let gap = self.draw_exponential(account, 1e6 * MEAN_REQUEST_TOKENS as f64 / rate.max(1e-3));
        let at = if is_on {
            self.now + gap.max(1)
        } else {
            ends + gap.max(1)
        };
        self.push(at, FleetEvent::Arrive { account });
    }

    fn balance(&mut self, account: usize) -> Option<usize> {
        let preferred_vms = &self.preferred_vms[account];
        let rng = &mut self.traffic[account];
        let uses_preferred =
            rng.random_range(0..100) < 80 && self.plan.balance == BalancePlan::Skewed;
        let all = self.vms.len();
        let first = if uses_preferred && !preferred_vms.is_empty() {
            preferred_vms[rng.random_range(0..preferred_vms.len())]
        } else {
            rng.random_range(0..all)
        };
        (0..all)
            .map(|step| (first + step) % all)
            .find(|vm| self.vms[*vm].accepts_requests())
    }

    fn side(&self, account: usize, centre: usize) -> usize {
        let is_cut = self.cut_until[centre] > self.now;
        usize::from(is_cut && self.ideal[account].len() > 1)
    }

    fn request_admission(&mut self, pending: PendingAdmission, priority: u8) {
        let ticket = self.next_ticket();
        let vm = pending.vm;
        let local = self.vms[vm].local_time(self.now);
        let event = LimitEvent::Request(AdmissionRequest {
            ticket,
            account: self.account_ids[pending.request.account].clone(),
            prompt: TokenCount::new(pending.prompt),
            output: TokenCount::new(pending.output),
            priority: PriorityClass::new(priority),
            deadline: local + TimeSpan::from_secs(30),
        });
        self.pending.insert(ticket, pending);
        let incarnation = self.vms[vm].incarnation;
        self.deliver(vm, incarnation, event);
    }

    pub(super) fn handle_admitted(&mut self, vm: usize, ticket: TicketId, deadline: LocalTime) {
        let Some(pending) = self.pending.get_mut(&ticket) else {
            return;
        };
        pending.is_admitted = true;
        let wait = self.now - pending.requested_at;
        if pending.stream.is_none() && pending.requested_at >= self.plan.warm_up {
            self.outcome.waits.push(wait);
        }
        let request = pending.request;
        if pending.stream.is_none() {
            self.shadow[request.account].charge(TokenCount::new(request.cost()), self.now);
        }
        pending.requested_at = self.now;
        let delay = self.rng.random_range(0..DISPATCH_DELAY_LIMIT_US);
        let incarnation = self.vms[vm].incarnation;
        let at = self.now + delay;
        let event = FleetEvent::Dispatch {
            vm,
            incarnation,
            ticket,
            deadline,
        };
        self.push(at, event);
    }

    pub(super) fn handle_refused(&mut self, ticket: TicketId, retry_after: Option<TimeSpan>) {
        let Some(pending) = self.pending.remove(&ticket) else {
            return;
        };
        if let Some(stream) = pending.stream {
            if let Some(running) = self.streams.get_mut(&stream) {
                running.is_part_requested = false;
            }
            let wait = retry_after.map_or(SECOND, TimeSpan::micros).min(SECOND);
            return self.push(self.now + wait, FleetEvent::RequestPart { stream });
        }
        if pending.requested_at < self.plan.warm_up {
            return;
        }
        let account = pending.request.account;
        let cost = TokenCount::new(pending.request.cost());
        let is_inside = self.shadow[account].can_admit(cost, self.now);
        let counts = &mut self.outcome.accounts[account];
        counts.refused += 1;
        counts.wrongful += u64::from(pending.is_ideally_admitted);
        counts.wrongful_shadow += u64::from(is_inside);
    }

    pub(super) fn dispatch(
        &mut self,
        vm: usize,
        incarnation: u32,
        ticket: TicketId,
        deadline: LocalTime,
    ) {
        let host = &self.vms[vm];
        if host.incarnation != incarnation || host.is_stopped {
            self.pending.remove(&ticket);
            return;
        }
        if host.paused_until > self.now {
            let at = host.paused_until;
            let event = FleetEvent::Dispatch {
                vm,
                incarnation,
                ticket,
                deadline,
            };
            return self.push(at, event);
        }
        let is_late = host.local_time(self.now) >= deadline;
        let Some(pending) = self.pending.remove(&ticket) else {
            return;
        };
        if is_late {
            self.outcome.expired += 1;
            return self.deliver(vm, incarnation, LimitEvent::Cancel { ticket });
        }
        self.deliver(vm, incarnation, LimitEvent::Started { ticket });
        self.run_part(ticket, pending, incarnation);
    }

    fn run_part(&mut self, ticket: TicketId, pending: PendingAdmission, incarnation: u32) {
        let request = pending.request;
        let part = StreamPart {
            ticket,
            prompt: pending.prompt,
            output: pending.output,
        };
        let id = pending.stream.unwrap_or(self.next_stream());
        let stream = self.streams.entry(id).or_insert_with(|| TokenStream {
            request,
            vm: pending.vm,
            incarnation,
            parts: std::collections::VecDeque::new(),
            generated: 0,
            generated_in_part: 0,
            is_part_requested: false,
            stall_time: 0,
        });
        let covered = stream.generated + stream.reserved();
        let used = pending.output.min(request.output.saturating_sub(covered));
        stream.parts.push_back(part);
        stream.is_part_requested = false;
        let spent = TokenCount::new(pending.prompt + used).micro();
        let counts = &mut self.outcome.accounts[request.account];
        counts.admitted.record(pending.requested_at, spent);
        if pending.stream.is_none() {
            let prompt = TokenCount::new(pending.prompt).micro();
            counts.generated.record(self.now, prompt);
            let at = self.now + GENERATION_INTERVAL_US;
            self.push(at, FleetEvent::Generate { stream: id });
        }
    }

    fn next_stream(&mut self) -> u64 {
        self.stream_count += 1;
        self.stream_count
    }

    pub(super) fn generate(&mut self, id: u64) {
        let now = self.now;
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let left = stream.request.output - stream.generated;
        let step = TOKENS_PER_INTERVAL.min(left).min(stream.reserved());
        if step == 0 {
            stream.stall_time += GENERATION_INTERVAL_US;
        }
        let (vm, incarnation, account) = (stream.vm, stream.incarnation, stream.request.account);
        stream.generated += step;
        stream.generated_in_part += step;
        let mut events = Vec::new();
        while let Some(part) = stream.parts.front().copied() {
            if stream.generated_in_part < part.output {
                break;
            }
            stream.generated_in_part -= part.output;
            stream.parts.pop_front();
            events.push(settle(&part, part.output));
        }
        if let Some(part) = stream.parts.front() {
            events.push(LimitEvent::Progress {
                ticket: part.ticket,
                generated: TokenCount::new(stream.generated_in_part),
            });
        }
        let is_done = stream.generated == stream.request.output;
        if is_done {
            let mut used = stream.generated_in_part;
            for part in &stream.parts {
                events.push(settle(part, used));
                used = 0;
            }
        }
        let is_part_due = !is_done && stream.next_part(self.plan.reserve).is_some();
        let stall_time = stream.stall_time;
        let micro = TokenCount::new(step).micro();
        self.outcome.accounts[account].generated.record(now, micro);
        if is_done {
            self.streams.remove(&id);
            self.outcome.stalls.push(stall_time);
        } else {
            let is_gone = self.vms[vm].incarnation != incarnation || self.vms[vm].is_stopped;
            if is_gone && step == 0 {
                self.streams.remove(&id);
                return;
            }
            self.push(
                now + GENERATION_INTERVAL_US,
                FleetEvent::Generate { stream: id },
            );
        }
        for event in events {
            self.deliver(vm, incarnation, event);
        }
        if is_part_due {
            self.request_part(id);
        }
    }

    pub(super) fn request_part(&mut self, id: u64) {
        let Some(stream) = self.streams.get_mut(&id) else {
            return;
        };
        let Some(size) = stream.next_part(self.plan.reserve) else {
            return;
        };
        stream.is_part_requested = true;
        let pending = PendingAdmission {
            request: stream.request,
            vm: stream.vm,
            requested_at: self.now,
            stream: Some(id),
            prompt: 0,
            output: size,
            is_admitted: false,
            is_ideally_admitted: true,
        };
        if self.vms[stream.vm].incarnation == stream.incarnation {
            self.request_admission(pending, PART_PRIORITY);
        }
    }
}

fn settle(part: &StreamPart, used: u64) -> LimitEvent {
    LimitEvent::Settle {
        ticket: part.ticket,
        used: TokenCount::new(part.prompt + used),
    }
}
