//! Simulated callers, their idempotency keys, and the runs of their calls.

use super::tally::{CallOutcome, ClaimTally, service_answer};
use super::world::{ClaimWorld, FakeCall, FakeKey, MS, WorldEvent};
use clementinepond_decide::claim::{
    BodyFingerprint, ClaimEffect, ClaimEvent, ClaimTicket, KeyDate, RunOutcome,
};
use clementinepond_types::{AccountId, LocalTime, RouteName, TimeSpan};
use rand::RngExt as _;

/// Time within which a call must be dispatched, in microseconds.
const DISPATCH_TIMEOUT: u64 = 5_000 * MS;
/// Maximum number of retries of a call, answered or not.
const RETRY_LIMIT: u32 = 6;
/// Chance of each further duplicate of a new call, in thousandths.
const DUPLICATED_CALLS: u32 = 150;
/// Grants that the I/O layer returns without running the call, in thousandths.
const RETURNED_GRANTS: u32 = 20;
/// Calls that the caller abandons within 500 ms, in thousandths.
const ABANDONED_CALLS: u32 = 10;

impl ClaimWorld {
    /// Creates a key, sends its first call, and schedules the next arrival.
    pub(super) fn arrival(&mut self, at: u64) {
        if at >= self.scenario.arrivals.micros() {
            self.tally.writes = self.platform.writes;
            self.tally.reads = self.platform.reads;
            return;
        }
        let mean = 1_000_000 / self.scenario.calls_per_second.max(1);
        let gap = self.random.random_range(1..=2 * mean);
        self.queue.push(at + gap, WorldEvent::Arrival);
        let key = self.keys.len() as u64;
        let is_dated = self.chance(500);
        self.keys.insert(
            key,
            FakeKey {
                created_at: at,
                is_dated,
                runs: 0,
            },
        );
        self.call(key, 0, at);
        while self.chance(DUPLICATED_CALLS) {
            let delay = self.random.random_range(0..5 * MS);
            self.queue
                .push(at + delay, WorldEvent::Call { key, attempt: 0 });
        }
    }

    /// Sends a call to a random running VM; drops it if there is none.
    pub(super) fn call(&mut self, key: u64, attempt: u32, at: u64) {
        let running: Vec<usize> = (0..self.nodes.len())
            .filter(|&node| self.nodes[node].is_up)
            .collect();
        if running.is_empty() {
            return;
        }
        let node = running[self.random.random_range(0..running.len())];
        let incarnation = self.nodes[node].incarnation;
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.calls.insert(
            ticket,
            FakeCall {
                key,
                attempt,
                node,
                incarnation,
                at,
                is_ended: false,
                is_dispatched: false,
            },
        );
        let Some(event) = self.request_event(ticket, key, node, at) else {
            return;
        };
        self.schedule(node, incarnation, event, at);
        if self.chance(ABANDONED_CALLS) {
            let ticket = ClaimTicket::new(ticket);
            let delay = self.random.random_range(0..500 * MS);
            let event = ClaimEvent::Abandoned { ticket };
            self.schedule(node, incarnation, event, at + delay);
        }
    }

    fn request_event(&self, ticket: u64, key: u64, node: usize, at: u64) -> Option<ClaimEvent> {
        let account: AccountId = "account".parse().ok()?;
        let route: RouteName = "submit".parse().ok()?;
        let info = self.keys.get(&key)?;
        let age = TimeSpan::from_micros(at - info.created_at);
        let date = if info.is_dated {
            KeyDate::Past(age)
        } else {
            KeyDate::Undated
        };
        Some(ClaimEvent::Requested {
            ticket: ClaimTicket::new(ticket),
            account,
            route,
            key: format!("key-{key}").into(),
            date,
            fingerprint: BodyFingerprint::of(&key.to_le_bytes()),
            deadline: self.nodes[node].clock(at + DISPATCH_TIMEOUT),
        })
    }

    /// Runs a granted call, unless its deadline has passed or the grant is returned.
    pub(super) fn dispatch(
        &mut self,
        node: usize,
        incarnation: u64,
        ticket: ClaimTicket,
        deadline: LocalTime,
        at: u64,
    ) {
        if self.nodes[node].incarnation != incarnation || !self.nodes[node].is_up {
            return;
        }
        let is_returned = self.chance(RETURNED_GRANTS);
        if self.nodes[node].clock(at) >= deadline || is_returned {
            self.apply(node, ClaimEvent::NotDispatched { ticket }, at);
            self.end_call(ticket, CallOutcome::NotRun, at);
            return;
        }
        self.count_run(ticket, at);
        self.apply(node, ClaimEvent::Dispatched { ticket }, at);
        let duration = self.random.random_range(20 * MS..2_000 * MS);
        self.queue.push(
            at + duration,
            WorldEvent::RunDone {
                node,
                incarnation,
                ticket,
            },
        );
    }

    fn count_run(&mut self, ticket: ClaimTicket, at: u64) {
        let Some(call) = self.calls.get_mut(&ticket.get()) else {
            return;
        };
        if call.is_ended {
            self.tally.false_not_run += 1;
        }
        if at > call.at + DISPATCH_TIMEOUT + DISPATCH_TIMEOUT / 1_000 {
            self.tally.late_dispatches += 1;
        }
        call.is_dispatched = true;
        self.tally.waits.push(at - call.at);
        if let Some(key) = self.keys.get_mut(&call.key) {
            key.runs += 1;
            if key.runs > 1 {
                self.tally.extra_runs += 1;
            }
        }
    }

    pub(super) fn run_done(&mut self, node: usize, incarnation: u64, ticket: ClaimTicket, at: u64) {
        if self.nodes[node].incarnation != incarnation || !self.nodes[node].is_up {
            return;
        }
        let Some(call) = self.calls.get(&ticket.get()) else {
            return;
        };
        let key = call.key;
        let is_unknown = self.chance(self.scenario.faults.unknown_outcomes);
        let (outcome, end) = if is_unknown {
            (RunOutcome::Unknown, CallOutcome::Unknown)
        } else {
            let answer = Some(service_answer(key));
            (RunOutcome::Answered(answer), CallOutcome::Ran)
        };
        self.apply(node, ClaimEvent::Ended { ticket, outcome }, at);
        self.end_call(ticket, end, at);
    }

    /// Records the outcome that the claim logic gave to a call.
    pub(super) fn record_outcome(&mut self, effect: ClaimEffect, at: u64) {
        match effect {
            ClaimEffect::Refused { ticket, reason } => {
                self.tally.count_refusal(reason);
                let call = self.calls.get(&ticket.get());
                let has_run = call.is_some_and(|call| {
                    let key_runs = self.keys.get(&call.key).map_or(0, |key| key.runs);
                    call.is_dispatched || (reason.rules_out_earlier_run() && key_runs > 0)
                });
                self.tally.false_not_run += u64::from(has_run);
                self.end_call(ticket, CallOutcome::NotRun, at);
            }
            ClaimEffect::Replay { ticket, answer } => {
                let key = self.calls.get(&ticket.get()).map(|call| call.key);
                let end = match answer {
                    Some(answer) => {
                        let is_own = key.is_some_and(|key| service_answer(key) == answer);
                        self.tally.crossed_answers += u64::from(!is_own);
                        CallOutcome::Replayed
                    }
                    None => CallOutcome::AnswerNotHeld,
                };
                self.end_call(ticket, end, at);
            }
            ClaimEffect::Unknown { ticket, .. } => self.end_call(ticket, CallOutcome::Unknown, at),
            _ => {}
        }
    }

    /// Records the first outcome of a call and may schedule a retry.
    pub(super) fn end_call(&mut self, ticket: ClaimTicket, end: CallOutcome, at: u64) {
        let Some(call) = self.calls.get_mut(&ticket.get()) else {
            return;
        };
        if call.is_ended {
            return;
        }
        call.is_ended = true;
        let (key, attempt) = (call.key, call.attempt);
        self.tally.count(end);
        let is_answered = matches!(
            end,
            CallOutcome::Ran | CallOutcome::Replayed | CallOutcome::AnswerNotHeld
        );
        let retries = if is_answered {
            let chance = self.scenario.retries;
            self.chance(chance)
        } else {
            true
        };
        if retries && attempt < RETRY_LIMIT {
            let delay = self.retry_delay(is_answered);
            let attempt = attempt + 1;
            self.queue
                .push(at + delay, WorldEvent::Call { key, attempt });
        }
    }

    fn retry_delay(&mut self, is_answered: bool) -> u64 {
        if is_answered && self.chance(300) {
            return self.random.random_range(5_000 * MS..40_000 * MS);
        }
        self.random.random_range(50 * MS..2_000 * MS)
    }

    /// Counts calls without an outcome and returns the final counts.
    pub(super) fn finish(mut self, end: u64) -> ClaimTally {
        for call in self.calls.values() {
            let node = &self.nodes[call.node];
            let is_alive = node.is_up && node.incarnation == call.incarnation;
            let is_due = call.at + 3 * DISPATCH_TIMEOUT < end;
            if !call.is_ended && is_alive && is_due {
                self.tally.lost_calls += 1;
            }
        }
        self.tally.keys = self.keys.len() as u64;
        self.tally.keys_run = self.keys.values().filter(|key| key.runs > 0).count() as u64;
        #[expect(clippy::cast_precision_loss, reason = "a run lasts minutes")]
        let seconds = self.scenario.arrivals.millis() as f64 / 1_000.0;
        self.tally.seconds = seconds;
        self.tally
    }
}
