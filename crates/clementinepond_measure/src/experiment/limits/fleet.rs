//! Discrete-event simulation of a fleet: VMs, network, clients and engines.

use super::central::CentralBucket;
use super::host::{FleetVm, PendingAdmission};
use super::ledger::LimitChange;
use super::outcome::{AccountOutcome, FleetOutcome};
use super::plan::{FaultKind, FleetPlan, SECOND};
use super::policy::VmPolicy;
use super::roster::FleetRoster;
use super::stream::TokenStream;
use clementinepond_decide::limit::{AccountTable, LimitEffect, LimitEvent, LimitMessage, TicketId};
use clementinepond_types::{AccountId, LocalTime, ObjectVersion, VmId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Upper bound of the delay of a roster or account table on its way to a VM.
const UPDATE_DELAY_LIMIT_US: u64 = 400_000;

/// Incarnation of the first process of each VM.
///
/// Large like the random incarnations of real processes, so that message sizes
/// are realistic.
const FIRST_INCARNATION: u32 = 0x9e37_79b9;

/// Event of the simulation.
#[derive(Debug)]
pub(super) enum FleetEvent {
    Arrive {
        account: usize,
    },
    Vm {
        vm: usize,
        incarnation: u32,
        event: LimitEvent,
    },
    Tick {
        vm: usize,
        incarnation: u32,
    },
    Dispatch {
        vm: usize,
        incarnation: u32,
        ticket: TicketId,
        deadline: LocalTime,
    },
    Generate {
        stream: u64,
    },
    RequestPart {
        stream: u64,
    },
    Fault(FaultKind),
    Heal {
        centre: usize,
    },
    MoveParts {
        vm: usize,
    },
    Audit,
}

/// Simulated fleet; all times in microseconds of virtual time.
#[derive(Debug)]
pub struct FleetSimulation {
    pub(super) plan: FleetPlan,
    pub(super) rng: ChaCha8Rng,
    pub(super) now: u64,
    queue: BTreeMap<(u64, u64), FleetEvent>,
    next_event: u64,
    pub(super) vms: Vec<FleetVm>,
    pub(super) roster: FleetRoster,
    pub(super) account_ids: Vec<AccountId>,
    pub(super) limits: Vec<Vec<LimitChange>>,
    pub(super) ideal: Vec<Vec<CentralBucket>>,
    pub(super) shadow: Vec<CentralBucket>,
    pub(super) cut_until: Vec<u64>,
    pub(super) pending: BTreeMap<TicketId, PendingAdmission>,
    pub(super) streams: BTreeMap<u64, TokenStream>,
    pub(super) stream_count: u64,
    pub(super) traffic: Vec<ChaCha8Rng>,
    pub(super) bursts: Vec<(u64, bool)>,
    pub(super) preferred_vms: Vec<Vec<usize>>,
    next_ticket: u64,
    table_version: u64,
    pub(super) outcome: FleetOutcome,
}

impl FleetSimulation {
    /// Runs a plan to its end, or to the first breach if it stops there.
    #[must_use]
    pub fn run(plan: FleetPlan) -> FleetOutcome {
        let mut fleet = Self::new(plan);
        fleet.start();
        while let Some((&key, _)) = fleet.queue.first_key_value() {
            let is_stopped = fleet.plan.stops_at_breach && fleet.outcome.audit_breaches > 0;
            if key.0 > fleet.plan.length || is_stopped {
                break;
            }
            if let Some(event) = fleet.queue.remove(&key) {
                fleet.now = key.0;
                fleet.handle(event);
            }
        }
        fleet.finish()
    }

    fn new(plan: FleetPlan) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let roster = FleetRoster::new(&plan.centres);
        let mut vms = Vec::new();
        for (centre, &count) in plan.centres.iter().enumerate() {
            for _ in 0..count {
                let name = roster.name(vms.len());
                vms.push(FleetVm {
                    policy: VmPolicy::new(
                        plan.policy,
                        &plan.settings,
                        name.clone(),
                        FIRST_INCARNATION,
                    ),
                    name,
                    centre,
                    incarnation: FIRST_INCARNATION,
                    paused_until: 0,
                    isolated_until: 0,
                    is_stopped: false,
                    is_leaving: false,
                    clock_offset: rng.random_range(0..1_000 * SECOND),
                    clock_ppm: rng.random_range(-plan.drift_ppm..=plan.drift_ppm),
                });
            }
        }
        let count = plan.accounts.len();
        let preferred_vms = (0..count)
            .map(|_| sample_indexes(vms.len().div_ceil(5), vms.len(), &mut rng))
            .collect();
        let limit = |index: usize| plan.accounts[index].limit;
        Self {
            account_ids: (0..count)
                .filter_map(|index| format!("account-{index}").parse().ok())
                .collect(),
            limits: (0..count)
                .map(|index| {
                    vec![LimitChange {
                        at: 0,
                        limit: limit(index),
                    }]
                })
                .collect(),
            ideal: (0..count)
                .map(|index| vec![CentralBucket::new(limit(index))])
                .collect(),
            shadow: (0..count)
                .map(|index| CentralBucket::new(limit(index)))
                .collect(),
            cut_until: vec![0; plan.centres.len()],
            traffic: (0..count as u64)
                .map(|index| ChaCha8Rng::seed_from_u64(plan.seed ^ ((index + 1) << 32)))
                .collect(),
            bursts: vec![(0, false); count],
            outcome: FleetOutcome {
                accounts: (0..count).map(|_| AccountOutcome::default()).collect(),
                measured_time: plan.length - plan.warm_up,
                vms: vms.len() as u64,
                ..FleetOutcome::default()
            },
            preferred_vms,
            rng,
            now: 0,
            queue: BTreeMap::new(),
            next_event: 0,
            vms,
            roster,
            pending: BTreeMap::new(),
            streams: BTreeMap::new(),
            stream_count: 0,
            next_ticket: 0,
            table_version: 0,
            plan,
        }
    }

    pub(super) fn push(&mut self, at: u64, event: FleetEvent) {
        self.next_event += 1;
        self.queue
            .insert((at.max(self.now), self.next_event), event);
    }

    pub(super) fn next_ticket(&mut self) -> TicketId {
        self.next_ticket += 1;
        TicketId::new(self.next_ticket)
    }

    fn start(&mut self) {
        self.send_roster(true);
        self.send_table(true);
        for vm in 0..self.vms.len() {
            let at = self.rng.random_range(0..self.plan.tick_interval);
            self.push(
                at,
                FleetEvent::Tick {
                    vm,
                    incarnation: FIRST_INCARNATION,
                },
            );
        }
        for account in 0..self.plan.accounts.len() {
            let at = self.rng.random_range(0..SECOND);
            self.push(at, FleetEvent::Arrive { account });
        }
        if self.plan.audit_interval > 0 {
            self.push(self.plan.audit_interval, FleetEvent::Audit);
        }
        for fault in self.plan.faults.clone() {
            self.push(fault.at, FleetEvent::Fault(fault.kind));
        }
    }

    /// Sends every VM the rosters, each after a random delay unless immediate.
    pub(super) fn send_roster(&mut self, is_immediate: bool) {
        self.roster.advance();
        for vm in 0..self.vms.len() {
            let centre = self.vms[vm].centre;
            let view = self.roster.view(vm, centre);
            self.send_update(vm, LimitEvent::PartsChanged(view), is_immediate);
        }
    }

    /// Sends every VM the account limits, each after a random delay unless immediate.
    pub(super) fn send_table(&mut self, is_immediate: bool) {
        self.table_version += 1;
        let table = self.table();
        for vm in 0..self.vms.len() {
            self.send_update(vm, LimitEvent::AccountsChanged(table.clone()), is_immediate);
        }
    }

    pub(super) fn table(&self) -> AccountTable {
        let current = |changes: &Vec<LimitChange>| changes.last().map(|change| change.limit);
        AccountTable {
            version: ObjectVersion::new(self.table_version),
            limits: self
                .account_ids
                .iter()
                .cloned()
                .zip(self.limits.iter().filter_map(current))
                .collect(),
        }
    }

    fn send_update(&mut self, vm: usize, event: LimitEvent, is_immediate: bool) {
        let delay = if is_immediate {
            0
        } else {
            self.rng.random_range(0..UPDATE_DELAY_LIMIT_US)
        };
        let incarnation = self.vms[vm].incarnation;
        let at = self.now + delay;
        self.push(
            at,
            FleetEvent::Vm {
                vm,
                incarnation,
                event,
            },
        );
    }

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Arrive { account } => self.arrive(account),
            FleetEvent::Vm {
                vm,
                incarnation,
                event,
            } => self.deliver(vm, incarnation, event),
            FleetEvent::Tick { vm, incarnation } => self.tick(vm, incarnation),
            FleetEvent::Dispatch {
                vm,
                incarnation,
                ticket,
                deadline,
            } => {
                self.dispatch(vm, incarnation, ticket, deadline);
            }
            FleetEvent::Generate { stream } => self.generate(stream),
            FleetEvent::RequestPart { stream } => self.request_part(stream),
            FleetEvent::Fault(kind) => self.inject_fault(kind),
            FleetEvent::Heal { centre } => self.heal(centre),
            FleetEvent::MoveParts { vm } => self.move_parts(vm),
            FleetEvent::Audit => self.audit(),
        }
    }

    fn tick(&mut self, vm: usize, incarnation: u32) {
        if self.vms[vm].incarnation != incarnation || self.vms[vm].is_stopped {
            return;
        }
        let next = self.now.max(self.vms[vm].paused_until) + self.plan.tick_interval;
        self.push(next, FleetEvent::Tick { vm, incarnation });
        self.deliver(vm, incarnation, LimitEvent::Tick);
    }

    /// Delivers an event to a VM, after the end of its pause if it is paused.
    ///
    /// Events of an earlier incarnation or for a stopped VM are dropped.
    pub(super) fn deliver(&mut self, vm: usize, incarnation: u32, event: LimitEvent) {
        let host = &mut self.vms[vm];
        if host.incarnation != incarnation || host.is_stopped {
            return;
        }
        if host.paused_until > self.now {
            let at = host.paused_until;
            return self.push(
                at,
                FleetEvent::Vm {
                    vm,
                    incarnation,
                    event,
                },
            );
        }
        let local = host.local_time(self.now);
        for effect in host.policy.handle(event, local) {
            self.apply_effect(vm, effect);
        }
    }

    fn apply_effect(&mut self, vm: usize, effect: LimitEffect) {
        match effect {
            LimitEffect::Admitted { ticket, deadline } => {
                self.handle_admitted(vm, ticket, deadline)
            }
            LimitEffect::Refused {
                ticket,
                retry_after,
                ..
            } => {
                self.handle_refused(ticket, retry_after);
            }
            LimitEffect::Send { to, message } => self.transmit(vm, &to, message),
            LimitEffect::Released => self.push(self.now, FleetEvent::MoveParts { vm }),
        }
    }

    fn transmit(&mut self, from: usize, to: &VmId, message: LimitMessage) {
        let Some(to) = self.roster.index(to) else {
            return;
        };
        if self.now >= self.plan.warm_up {
            self.outcome.messages += 1;
            self.outcome.bytes += super::wire::size(&message);
        }
        if !self.is_connected(from, to) {
            return;
        }
        let is_near = self.vms[from].centre == self.vms[to].centre;
        let delays = self.plan.network.deliveries(is_near, &mut self.rng);
        for delay in delays {
            let event = LimitEvent::Received {
                from: self.vms[from].name.clone(),
                message: message.clone(),
            };
            let incarnation = self.vms[to].incarnation;
            let at = self.now + delay;
            self.push(
                at,
                FleetEvent::Vm {
                    vm: to,
                    incarnation,
                    event,
                },
            );
        }
    }

    fn is_connected(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.vms[from], &self.vms[to]);
        let is_cut = |centre: usize| self.cut_until[centre] > self.now;
        let is_apart = from.centre != to.centre && (is_cut(from.centre) || is_cut(to.centre));
        from.isolated_until <= self.now && to.isolated_until <= self.now && !is_apart
    }

    fn finish(mut self) -> FleetOutcome {
        for (index, account) in self.outcome.accounts.iter_mut().enumerate() {
            let changes = &self.limits[index];
            let settle_time = self.plan.settle_time;
            account.admitted_excess = account.admitted.excess(changes, settle_time);
            account.generated_excess = account.generated.excess(changes, settle_time);
        }
        self.outcome
    }
}

fn sample_indexes(count: usize, whole: usize, rng: &mut ChaCha8Rng) -> Vec<usize> {
    let mut all: Vec<usize> = (0..whole).collect();
    for index in 0..count.min(whole) {
        let other = rng.random_range(index..whole);
        all.swap(index, other);
    }
    all.truncate(count);
    all
}
