//! Simulated VM processes, their network and the platform, in virtual time.

mod life;

use super::ledger::UsageLedger;
use super::platform::FakePlatform;
use super::process::{PeerMessage, PlatformCall, ProcessOutput, ReducerEvent, VmProcess};
use super::traffic::TrafficCounter;
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
/// Base delay of a message within a data centre; up to as much is added at random.
const LOCAL_DELAY_US: u64 = 500;
/// Base delay of a message between data centres; up to as much is added at random.
const REMOTE_DELAY_US: u64 = 1_500;
/// Round-trip time of a platform call.
const PLATFORM_ROUND_TRIP_US: u64 = 5 * MILLISECOND;
/// Time after which the caller treats a call as unanswered.
const CALL_TIMEOUT_US: u64 = 2 * SECOND;
/// Time after which a watch without changes is answered.
const WATCH_TIMEOUT_US: u64 = 25 * SECOND;
/// Incarnation number that no process has, for calls whose answer is discarded.
const NO_PROCESS: u64 = 0;
/// Upper bound of the extra delay of a late message; twice as much for a late call.
const MAX_EXTRA_DELAY_US: u64 = 4 * SECOND;

/// Fleet size, settings and fault probabilities of one run.
#[derive(Debug, Clone)]
pub(crate) struct WorldPlan {
    /// Seed of the random number generator.
    pub(crate) seed: u64,
    /// Number of data centres.
    pub(crate) data_centres: usize,
    /// Number of VMs in all data centres.
    pub(crate) vms: usize,
    /// Interval between the ticks of a process, in microseconds.
    pub(crate) tick: u64,
    /// Probability that a message is lost, in thousandths.
    pub(crate) lost: u32,
    /// Probability that a message is duplicated, in thousandths.
    pub(crate) duplicated: u32,
    /// Probability that a message or a platform call arrives late, in thousandths.
    pub(crate) late: u32,
    /// Probability that an answer of the platform is lost, in thousandths.
    pub(crate) answers_lost: u32,
    /// Settings of the roster reducer.
    pub(crate) roster: RosterSettings,
    /// Settings of the configuration reducer.
    pub(crate) configuration: ConfigurationSettings,
}

impl WorldPlan {
    /// Creates a plan without random faults and with default settings.
    pub(crate) fn quiet(seed: u64, data_centres: usize, vms: usize) -> Self {
        Self {
            seed,
            data_centres,
            vms,
            tick: 250 * MILLISECOND,
            lost: 0,
            duplicated: 0,
            late: 0,
            answers_lost: 0,
            roster: RosterSettings::default(),
            configuration: ConfigurationSettings::default(),
        }
    }

    /// Adds lost, duplicated and late messages, and lost answers.
    pub(crate) fn with_random_faults(mut self) -> Self {
        self.lost = 10;
        self.duplicated = 5;
        self.late = 5;
        self.answers_lost = 50;
        self
    }
}

/// Scheduled event of the simulation; slots come with an incarnation number.
#[derive(Debug)]
pub(super) enum WorldEvent {
    /// Periodic tick of a process.
    Tick(usize, u64),
    /// A process receives a reducer event.
    HandleEvent(usize, u64, ReducerEvent),
    /// A message (sender, receiver, content) arrives at a VM.
    DeliverMessage(VmId, VmId, PeerMessage),
    /// A call arrives at the platform.
    CallArrived(usize, u64, PlatformCall),
    /// A pending watch, by number, times out.
    EndWatch(u64),
}

/// Watch that is pending at the platform.
#[derive(Debug)]
pub(super) struct WaitingWatch {
    pub(super) slot: usize,
    pub(super) incarnation: u64,
    pub(super) call: PlatformCall,
}

/// State of one simulation run; times are in microseconds.
#[derive(Debug)]
pub(crate) struct World {
    pub(super) plan: WorldPlan,
    /// Current true time.
    pub(crate) now: u64,
    pub(super) sequence: u64,
    pub(super) queue: BTreeMap<(u64, u64), WorldEvent>,
    pub(super) random: ChaCha8Rng,
    /// Simulated platform.
    pub(crate) platform: FakePlatform,
    pub(super) watches: BTreeMap<u64, WaitingWatch>,
    /// Processes by slot; `None` while a slot is empty.
    pub(crate) processes: Vec<Option<VmProcess>>,
    names: BTreeMap<VmId, usize>,
    incarnations: u64,
    /// Start and end of the time in which the platform's list shows a VM.
    pub(super) listed: BTreeMap<VmId, (u64, u64)>,
    /// Whether the platform is unavailable.
    pub(crate) outage: bool,
    /// Data centres cut off from the platform.
    pub(crate) cut_from_platform: BTreeSet<usize>,
    /// Data centres cut off from all other data centres.
    pub(crate) cut_from_peers: BTreeSet<usize>,
    /// Slots whose VM reaches neither the platform nor a peer.
    pub(crate) isolated: BTreeSet<usize>,
    /// Parts that the processes have in use.
    pub(crate) ledger: UsageLedger,
    /// Bytes sent and received by each VM.
    pub(crate) traffic: TrafficCounter,
    /// Configured fleet shares, by data centre.
    pub(crate) targets: Vec<u32>,
    /// Start times of the graceful shutdowns in progress, by slot.
    pub(super) leaving: BTreeMap<usize, u64>,
    /// Durations of the completed graceful shutdowns.
    pub(crate) leave_times: Vec<u64>,
    /// Data centre and end time of each ended process whose entry is still in
    /// the roster table.
    pub(super) ended: BTreeMap<(VmId, u64), (usize, u64)>,
    /// Times from the end of a process to the removal or takeover of its entry.
    pub(crate) recover_times: Vec<u64>,
}

impl World {
    /// Creates a world and starts all VMs at once.
    pub(crate) fn new(plan: WorldPlan) -> Self {
        let whole = WHOLE_PARTS / u32::try_from(plan.data_centres).unwrap_or(1);
        let loan = plan.roster.loan_span.micros();
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            now: 0,
            sequence: 0,
            queue: BTreeMap::new(),
            platform: FakePlatform::default(),
            watches: BTreeMap::new(),
            processes: Vec::new(),
            names: BTreeMap::new(),
            incarnations: 0,
            listed: BTreeMap::new(),
            outage: false,
            cut_from_platform: BTreeSet::new(),
            cut_from_peers: BTreeSet::new(),
            isolated: BTreeSet::new(),
            ledger: UsageLedger::new(loan),
            traffic: TrafficCounter::new(plan.vms),
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

    /// Returns a random number below a bound; a bound of 0 counts as 1.
    pub(crate) fn random_below(&mut self, bound: u64) -> u64 {
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

    /// Runs the simulation until a true time.
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
            WorldEvent::HandleEvent(slot, number, event) => {
                if self.is_running(slot, number) {
                    self.handle_event(slot, event);
                }
            }
            WorldEvent::DeliverMessage(from, to, message) => self.deliver(&from, &to, message),
            WorldEvent::CallArrived(slot, number, call) => self.handle_call(slot, number, call),
            WorldEvent::EndWatch(number) => self.end_watch(number),
        }
    }

    /// Returns whether the process in a slot has the incarnation number.
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
            self.handle_event(slot, RosterEvent::Tick.into());
            self.handle_event(slot, ConfigurationEvent::Tick.into());
        }
    }

    fn paused_until(&self, slot: usize) -> u64 {
        let process = self.processes.get(slot).and_then(Option::as_ref);
        process.map_or(0, |process| process.paused_until)
    }

    /// Passes an event to a process, at the end of its pause if it is paused.
    pub(crate) fn handle_event(&mut self, slot: usize, event: ReducerEvent) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(slot).and_then(Option::as_mut) else {
            return;
        };
        if process.paused_until > now {
            let (until, number) = (process.paused_until, process.incarnation);
            self.schedule(until, WorldEvent::HandleEvent(slot, number, event));
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
            ProcessOutput::Use(usable) => self.record_use(slot, &usable),
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

    fn record_use(&mut self, slot: usize, usable: &clementinepond_decide::roster::UsableParts) {
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
            .record_use(&key, data_centre, level, deadline, now);
        let event = RosterEvent::PartsStopped {
            change: usable.change,
        };
        let stopped = until.unwrap_or(now) + MILLISECOND;
        self.schedule(stopped, WorldEvent::HandleEvent(slot, number, event.into()));
    }

    fn send(&mut self, slot: usize, to: &VmId, message: PeerMessage) {
        let Some(process) = self.processes.get(slot).and_then(Option::as_ref) else {
            return;
        };
        let from = process.vm.clone();
        let receiver = self.names.get(to).copied();
        self.traffic.record(slot, receiver, &message);
        let Some(receiver) = receiver else {
            return;
        };
        let (near, far) = (self.data_centre(slot), self.data_centre(receiver));
        let is_cut = near != far
            && (self.cut_from_peers.contains(&near) || self.cut_from_peers.contains(&far));
        let is_cut = is_cut || self.isolated.contains(&slot) || self.isolated.contains(&receiver);
        if is_cut || self.chance(self.plan.lost) {
            return;
        }
        let copies = 1 + usize::from(self.chance(self.plan.duplicated));
        for _ in 0..copies {
            let delay = self.delay(near == far);
            let event = WorldEvent::DeliverMessage(from.clone(), to.clone(), message.clone());
            self.schedule(self.now + delay, event);
        }
    }

    fn delay(&mut self, is_near: bool) -> u64 {
        let base = if is_near {
            LOCAL_DELAY_US
        } else {
            REMOTE_DELAY_US
        };
        let late = if self.chance(self.plan.late) {
            self.random_below(MAX_EXTRA_DELAY_US)
        } else {
            0
        };
        base + self.random_below(base) + late
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
        self.handle_event(slot, event);
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
            self.random_below(2 * MAX_EXTRA_DELAY_US)
        } else {
            0
        };
        let arrives = now + PLATFORM_ROUND_TRIP_US / 2 + late;
        if late < CALL_TIMEOUT_US {
            self.schedule(arrives, WorldEvent::CallArrived(slot, number, call));
            return;
        }
        // The call takes effect after the caller has timed out.
        let event = WorldEvent::HandleEvent(slot, number, call.no_answer());
        self.schedule(now + CALL_TIMEOUT_US, event);
        self.schedule(arrives, WorldEvent::CallArrived(slot, NO_PROCESS, call));
    }

    /// Returns whether the VM in a slot can reach the platform.
    pub(crate) fn reaches_platform(&self, slot: usize) -> bool {
        let is_cut = self.cut_from_platform.contains(&self.data_centre(slot));
        !self.outage && !is_cut && !self.isolated.contains(&slot)
    }

    /// Sends an answer of the platform, which may get lost.
    pub(super) fn answer(
        &mut self,
        slot: usize,
        number: u64,
        call: &PlatformCall,
        event: ReducerEvent,
    ) {
        let is_lost = self.chance(self.plan.answers_lost) || !self.reaches_platform(slot);
        let (event, delay) = if is_lost {
            (call.no_answer(), CALL_TIMEOUT_US)
        } else {
            (event, PLATFORM_ROUND_TRIP_US / 2)
        };
        self.schedule(
            self.now + delay,
            WorldEvent::HandleEvent(slot, number, event),
        );
    }

    /// Holds a watch at the platform until a change or the timeout.
    pub(super) fn wait(&mut self, slot: usize, incarnation: u64, call: PlatformCall) {
        self.sequence += 1;
        let number = self.sequence;
        let watch = WaitingWatch {
            slot,
            incarnation,
            call,
        };
        self.watches.insert(number, watch);
        self.schedule(self.now + WATCH_TIMEOUT_US, WorldEvent::EndWatch(number));
    }
}

/// Returns the name of a data centre.
pub(crate) fn centre_name(data_centre: usize) -> String {
    format!("dc-{data_centre}")
}

fn address(slot: usize) -> String {
    format!("10.0.0.{slot}:7000")
}
