//! VM processes, their network and the platform, in virtual time.

mod life;

use super::ledger::UsageLedger;
use super::platform::PlatformFake;
use super::process::{PartEvent, PeerMessage, PlatformCall, ProcessOutput, VmProcess};
use super::traffic::TrafficCount;
use clementinepond_decide::configuration::{ConfigurationEvent, ConfigurationSettings};
use clementinepond_decide::roster::{RosterEvent, RosterSettings, WHOLE_PARTS};
use clementinepond_types::VmId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Microseconds in a second.
pub(crate) const SECOND: u64 = 1_000_000;
/// Microseconds in a millisecond.
pub(crate) const MILLISECOND: u64 = 1_000;
/// Delay of a message within a data centre, in microseconds.
const NEAR_DELAY: u64 = 500;
/// Delay of a message between data centres, in microseconds.
const FAR_DELAY: u64 = 1_500;
/// Time to the platform and back, in microseconds.
const PLATFORM_DELAY: u64 = 5 * MILLISECOND;
/// Time after which a call without answer is given up, in microseconds.
const CALL_LIMIT: u64 = 2 * SECOND;
/// Longest wait of a watch, in microseconds.
const WATCH_WAIT: u64 = 25 * SECOND;
/// Number of a process that takes no answers.
const NO_PROCESS: u64 = 0;
/// Delay of a late message or late update, in microseconds.
const LATE_DELAY: u64 = 4 * SECOND;

/// Sizes, settings and chances of one run.
#[derive(Debug, Clone)]
pub(crate) struct WorldPlan {
    /// Seed of all chances.
    pub(crate) seed: u64,
    /// Data centres.
    pub(crate) data_centres: usize,
    /// VMs over all data centres.
    pub(crate) vms: usize,
    /// Time between two ticks of a process, in microseconds.
    pub(crate) tick: u64,
    /// Messages lost, in thousandths.
    pub(crate) lost: u32,
    /// Messages doubled, in thousandths.
    pub(crate) doubled: u32,
    /// Messages and updates that arrive late, in thousandths.
    pub(crate) late: u32,
    /// Platform answers lost, in thousandths.
    pub(crate) answers_lost: u32,
    /// Settings of the roster.
    pub(crate) roster: RosterSettings,
    /// Settings of the configuration.
    pub(crate) configuration: ConfigurationSettings,
}

impl WorldPlan {
    /// Plans a run without chances.
    pub(crate) fn quiet(seed: u64, data_centres: usize, vms: usize) -> Self {
        Self {
            seed,
            data_centres,
            vms,
            tick: 250 * MILLISECOND,
            lost: 0,
            doubled: 0,
            late: 0,
            answers_lost: 0,
            roster: RosterSettings::default(),
            configuration: ConfigurationSettings::default(),
        }
    }

    /// Adds losses, doubles and delays.
    pub(crate) fn with_chances(mut self) -> Self {
        self.lost = 10;
        self.doubled = 5;
        self.late = 5;
        self.answers_lost = 50;
        self
    }
}

/// What happens at one moment.
#[derive(Debug)]
pub(super) enum WorldEvent {
    /// A process does its periodic work.
    Tick(usize, u64),
    /// Something reaches a process.
    Reach(usize, u64, PartEvent),
    /// A message reaches a VM.
    Deliver(VmId, VmId, PeerMessage),
    /// A call reaches the platform.
    Arrive(usize, u64, PlatformCall),
    /// A waiting watch ends.
    EndWatch(u64),
}

/// Watch that waits at the platform.
#[derive(Debug)]
pub(super) struct WaitingWatch {
    pub(super) slot: usize,
    pub(super) incarnation: u64,
    pub(super) call: PlatformCall,
}

/// Everything that one run holds.
#[derive(Debug)]
pub(crate) struct World {
    pub(super) plan: WorldPlan,
    /// True time.
    pub(crate) now: u64,
    pub(super) sequence: u64,
    pub(super) queue: BTreeMap<(u64, u64), WorldEvent>,
    pub(super) random: ChaCha8Rng,
    /// The platform.
    pub(crate) platform: PlatformFake,
    pub(super) watches: BTreeMap<u64, WaitingWatch>,
    /// Processes by slot; none while a slot is empty.
    pub(crate) processes: Vec<Option<VmProcess>>,
    names: BTreeMap<VmId, usize>,
    incarnations: u64,
    /// When the platform's list begins and ceases to show a VM.
    pub(super) listed: BTreeMap<VmId, (u64, u64)>,
    /// Whether the platform is away.
    pub(crate) outage: bool,
    /// Data centres cut off from the platform.
    pub(crate) cut_platform: BTreeSet<usize>,
    /// Data centres cut off from the others.
    pub(crate) cut_peers: BTreeSet<usize>,
    /// VMs that run and reach nobody.
    pub(crate) separated: BTreeSet<usize>,
    /// Use of parts.
    pub(crate) ledger: UsageLedger,
    /// Bytes sent and received.
    pub(crate) traffic: TrafficCount,
    /// Fleet shares by data centre.
    pub(crate) targets: Vec<u32>,
    /// When graceful shutdowns began, by slot.
    pub(super) leaving: BTreeMap<usize, u64>,
    /// Times that graceful shutdowns took.
    pub(crate) leave_times: Vec<u64>,
    /// Ended processes whose entry is still in the table.
    pub(super) ended: BTreeMap<(VmId, u64), (usize, u64)>,
    /// Times from an end to the entry's removal or takeover.
    pub(crate) recover_times: Vec<u64>,
}

impl World {
    /// Starts all VMs at once.
    pub(crate) fn new(plan: WorldPlan) -> Self {
        let whole = WHOLE_PARTS / u32::try_from(plan.data_centres).unwrap_or(1);
        let loan = plan.roster.loan_span.micros();
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            now: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            platform: PlatformFake::default(),
            watches: BTreeMap::new(),
            processes: Vec::new(),
            names: BTreeMap::new(),
            incarnations: 0,
            listed: BTreeMap::new(),
            outage: false,
            cut_platform: BTreeSet::new(),
            cut_peers: BTreeSet::new(),
            separated: BTreeSet::new(),
            ledger: UsageLedger::new(loan),
            traffic: TrafficCount::new(plan.vms),
            targets: vec![whole; plan.data_centres],
            leaving: BTreeMap::new(),
            leave_times: Vec::new(),
            ended: BTreeMap::new(),
            recover_times: Vec::new(),
            plan,
        };
        for slot in 0..world.plan.vms {
            world.processes.push(None);
            world.start_new(slot);
        }
        world
    }

    /// Returns a random number below a bound.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.random.random_range(0..bound.max(1))
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        thousandths > 0 && self.random.random_range(0..1_000) < thousandths
    }

    pub(super) fn schedule(&mut self, at: u64, event: WorldEvent) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    /// Returns the data centre of a slot.
    pub(crate) fn data_centre(&self, slot: usize) -> usize {
        slot % self.plan.data_centres
    }

    /// Runs until a true time.
    pub(crate) fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.step(event);
        }
        self.now = end;
    }

    fn step(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick(slot, number) => self.tick(slot, number),
            WorldEvent::Reach(slot, number, event) => {
                if self.is_running(slot, number) {
                    self.reach(slot, event);
                }
            }
            WorldEvent::Deliver(from, to, message) => self.deliver(&from, &to, message),
            WorldEvent::Arrive(slot, number, call) => self.arrive(slot, number, call),
            WorldEvent::EndWatch(number) => self.end_watch(number),
        }
    }

    /// Returns whether a process of this number is in the slot.
    pub(super) fn is_running(&self, slot: usize, number: u64) -> bool {
        let process = self.processes.get(slot).and_then(Option::as_ref);
        process.is_some_and(|process| process.incarnation == number)
    }

    fn tick(&mut self, slot: usize, number: u64) {
        if !self.is_running(slot, number) {
            return;
        }
        let paused = self.paused_until(slot);
        let next = (self.now + self.plan.tick).max(paused);
        self.schedule(next, WorldEvent::Tick(slot, number));
        if paused <= self.now {
            self.reach(slot, RosterEvent::Tick.into());
            self.reach(slot, ConfigurationEvent::Tick.into());
        }
    }

    fn paused_until(&self, slot: usize) -> u64 {
        let process = self.processes.get(slot).and_then(Option::as_ref);
        process.map_or(0, |process| process.paused_until)
    }

    /// Gives an event to a process, after its pause if it is paused.
    pub(crate) fn reach(&mut self, slot: usize, event: PartEvent) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(slot).and_then(Option::as_mut) else {
            return;
        };
        if process.paused_until > now {
            let (until, number) = (process.paused_until, process.incarnation);
            self.schedule(until, WorldEvent::Reach(slot, number, event));
            return;
        }
        for output in process.handle(event, now) {
            self.carry_out(slot, output);
        }
    }

    fn carry_out(&mut self, slot: usize, output: ProcessOutput) {
        match output {
            ProcessOutput::Send(to, message) => self.send(slot, &to, message),
            ProcessOutput::SendAddress(address, message) => {
                if let Some(to) = self.vm_at(&address) {
                    self.send(slot, &to, message);
                }
            }
            ProcessOutput::Call(call, deadline) => self.call(slot, call, deadline),
            ProcessOutput::Use(usable) => self.note_use(slot, &usable),
            ProcessOutput::Released => self.finish_leaving(slot),
        }
    }

    fn vm_at(&self, address_text: &str) -> Option<VmId> {
        self.processes
            .iter()
            .flatten()
            .find(|process| {
                let slot = self.names.get(&process.vm).copied();
                slot.is_some_and(|slot| address(slot) == address_text)
            })
            .map(|process| process.vm.clone())
    }

    fn finish_leaving(&mut self, slot: usize) {
        if let Some(began) = self.leaving.remove(&slot) {
            self.leave_times.push(self.now - began);
            self.remove(slot);
        }
    }

    fn note_use(&mut self, slot: usize, usable: &clementinepond_decide::roster::UsableParts) {
        let now = self.now;
        let Some(process) = self.processes.get(slot).and_then(Option::as_ref) else {
            return;
        };
        let (key, number) = (process.key(), process.incarnation);
        let deadline = process.clock.true_time(usable.deadline);
        let level = (usable.parts.get(), usable.share.get());
        let data_centre = process.data_centre;
        let until = self
            .ledger
            .note_use(&key, data_centre, level, deadline, now);
        let event = RosterEvent::PartsStopped {
            change: usable.change,
        };
        let stopped = until.unwrap_or(now) + MILLISECOND;
        self.schedule(stopped, WorldEvent::Reach(slot, number, event.into()));
    }

    fn send(&mut self, slot: usize, to: &VmId, message: PeerMessage) {
        let Some(process) = self.processes.get(slot).and_then(Option::as_ref) else {
            return;
        };
        let from = process.vm.clone();
        let receiver = self.names.get(to).copied();
        self.traffic.note(slot, receiver, &message);
        let Some(receiver) = receiver else {
            return;
        };
        let (near, far) = (self.data_centre(slot), self.data_centre(receiver));
        let is_cut =
            near != far && (self.cut_peers.contains(&near) || self.cut_peers.contains(&far));
        let is_cut = is_cut || self.separated.contains(&slot) || self.separated.contains(&receiver);
        if is_cut || self.chance(self.plan.lost) {
            return;
        }
        let copies = 1 + usize::from(self.chance(self.plan.doubled));
        for _ in 0..copies {
            let delay = self.delay(near == far);
            let event = WorldEvent::Deliver(from.clone(), to.clone(), message.clone());
            self.schedule(self.now + delay, event);
        }
    }

    fn delay(&mut self, is_near: bool) -> u64 {
        let base = if is_near { NEAR_DELAY } else { FAR_DELAY };
        let late = if self.chance(self.plan.late) {
            self.below(LATE_DELAY)
        } else {
            0
        };
        base + self.below(base) + late
    }

    fn deliver(&mut self, from: &VmId, to: &VmId, message: PeerMessage) {
        let Some(&slot) = self.names.get(to) else {
            return;
        };
        let from = from.clone();
        let event = match message {
            PeerMessage::Roster(message) => RosterEvent::Received { from, message }.into(),
            PeerMessage::Configuration(message) => {
                ConfigurationEvent::Received { from, message }.into()
            }
        };
        self.reach(slot, event);
    }

    fn call(&mut self, slot: usize, call: PlatformCall, deadline: clementinepond_types::LocalTime) {
        let now = self.now;
        let Some(process) = self.processes.get(slot).and_then(Option::as_ref) else {
            return;
        };
        let number = process.incarnation;
        if process.clock.read(now) > deadline {
            return;
        }
        let late = if self.chance(self.plan.late) {
            self.below(2 * LATE_DELAY)
        } else {
            0
        };
        let arrives = now + PLATFORM_DELAY / 2 + late;
        if late < CALL_LIMIT {
            self.schedule(arrives, WorldEvent::Arrive(slot, number, call));
            return;
        }
        // The caller gives up before the call takes effect.
        let event = WorldEvent::Reach(slot, number, call.no_answer());
        self.schedule(now + CALL_LIMIT, event);
        self.schedule(arrives, WorldEvent::Arrive(slot, NO_PROCESS, call));
    }

    /// Returns whether a data centre reaches the platform.
    pub(crate) fn reaches_platform(&self, slot: usize) -> bool {
        let is_cut = self.cut_platform.contains(&self.data_centre(slot));
        !self.outage && !is_cut && !self.separated.contains(&slot)
    }

    /// Sends an answer of the platform, which may be lost.
    pub(super) fn answer(
        &mut self,
        slot: usize,
        number: u64,
        call: &PlatformCall,
        event: PartEvent,
    ) {
        let is_lost = self.chance(self.plan.answers_lost) || !self.reaches_platform(slot);
        let (event, delay) = if is_lost {
            (call.no_answer(), CALL_LIMIT)
        } else {
            (event, PLATFORM_DELAY / 2)
        };
        self.schedule(self.now + delay, WorldEvent::Reach(slot, number, event));
    }

    /// Lets a watch wait at the platform.
    pub(super) fn wait(&mut self, slot: usize, incarnation: u64, call: PlatformCall) {
        self.sequence += 1;
        let number = self.sequence;
        let watch = WaitingWatch {
            slot,
            incarnation,
            call,
        };
        self.watches.insert(number, watch);
        self.schedule(self.now + WATCH_WAIT, WorldEvent::EndWatch(number));
    }
}

/// Returns the name of a data centre.
pub(crate) fn centre_name(data_centre: usize) -> String {
    format!("dc-{data_centre}")
}

fn address(slot: usize) -> String {
    format!("10.0.0.{slot}:7000")
}
