//! Discrete-event simulation of VMs, network, platform and callers.

use super::node::FakeNode;
use super::platform::FakePlatform;
use super::queue::EventQueue;
use super::scenario::ClaimScenario;
use super::tally::ClaimTally;
use clementinepond_decide::claim::{
    ClaimEffect, ClaimEvent, ClaimMessage, ClaimTicket, ShardNumber, ShardObject,
};
use clementinepond_decide::port::{ReadReply, StoreReply};
use clementinepond_types::{DataCentreId, Epoch, LocalTime, ObjectVersion, VmId};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Number of VMs in each data centre.
pub(super) const NODES_PER_CENTRE: [usize; 3] = [3, 3, 2];
/// Microseconds in one millisecond.
pub(super) const MS: u64 = 1_000;
/// Time between ticks of a VM, in microseconds.
const TICK_INTERVAL: u64 = 20 * MS;
/// Time after which the I/O layer stops waiting for the platform, in microseconds.
const PLATFORM_TIMEOUT: u64 = 300 * MS;

/// Event of the simulation; VMs and data centres are given by index.
#[derive(Debug)]
pub(super) enum WorldEvent {
    Tick(usize),
    Node {
        node: usize,
        incarnation: u64,
        event: ClaimEvent,
    },
    Message {
        from: usize,
        to: usize,
        message: ClaimMessage,
    },
    StoreArrives {
        node: usize,
        incarnation: u64,
        shard: ShardNumber,
        expected: Option<ObjectVersion>,
        object: Box<ShardObject>,
        is_awaited: bool,
    },
    ReadArrives {
        node: usize,
        incarnation: u64,
        shard: ShardNumber,
    },
    Dispatch {
        node: usize,
        incarnation: u64,
        ticket: ClaimTicket,
        deadline: LocalTime,
    },
    RunDone {
        node: usize,
        incarnation: u64,
        ticket: ClaimTicket,
    },
    Arrival,
    Call {
        key: u64,
        attempt: u32,
    },
    Pause,
    Restart,
    Started(usize),
    OutageStarts,
    OutageEnds,
    PartitionStarts,
    PartitionEnds(usize),
    Release,
    Stopped(usize),
    Removed(usize),
    Joined(usize),
}

/// Roster of one data centre, as stored on the platform.
#[derive(Debug)]
pub(super) struct FakeRoster {
    pub(super) data_centre: DataCentreId,
    pub(super) epoch: u64,
    pub(super) members: Vec<VmId>,
}

/// Call sent to a VM; every attempt is a separate call.
#[derive(Debug)]
pub(super) struct FakeCall {
    pub(super) key: u64,
    pub(super) attempt: u32,
    pub(super) node: usize,
    pub(super) incarnation: u64,
    pub(super) at: u64,
    pub(super) is_ended: bool,
    pub(super) is_dispatched: bool,
}

/// Idempotency key and how often it ran.
#[derive(Debug)]
pub(super) struct FakeKey {
    pub(super) created_at: u64,
    pub(super) is_dated: bool,
    pub(super) runs: u64,
}

/// State of one simulation run.
pub(super) struct ClaimWorld {
    pub(super) scenario: ClaimScenario,
    pub(super) random: ChaCha8Rng,
    pub(super) queue: EventQueue<WorldEvent>,
    pub(super) nodes: Vec<FakeNode>,
    pub(super) rosters: Vec<FakeRoster>,
    pub(super) platform: FakePlatform<ShardObject>,
    pub(super) is_partitioned: Vec<bool>,
    pub(super) is_cut_off_from_platform: Vec<bool>,
    pub(super) calls: BTreeMap<u64, FakeCall>,
    pub(super) keys: BTreeMap<u64, FakeKey>,
    pub(super) next_ticket: u64,
    pub(super) next_incarnation: u64,
    pub(super) tally: ClaimTally,
}

impl ClaimWorld {
    pub(super) fn new(mut scenario: ClaimScenario) -> Self {
        let centres: Vec<DataCentreId> = (0..NODES_PER_CENTRE.len())
            .filter_map(|number| format!("dc-{number}").parse().ok())
            .collect();
        scenario.settings.data_centres.clone_from(&centres);
        let mut nodes = Vec::new();
        let mut rosters = Vec::new();
        for (centre, count) in centres.iter().zip(NODES_PER_CENTRE) {
            let first = nodes.len();
            for number in first..first + count {
                nodes.extend(fake_node(number, centre, &scenario));
            }
            rosters.push(FakeRoster {
                data_centre: centre.clone(),
                epoch: 1,
                members: nodes[first..].iter().map(|node| node.vm.clone()).collect(),
            });
        }
        Self {
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            queue: EventQueue::new(),
            next_incarnation: 1_000,
            nodes,
            rosters,
            platform: FakePlatform::new(),
            is_partitioned: vec![false; NODES_PER_CENTRE.len()],
            is_cut_off_from_platform: vec![false; NODES_PER_CENTRE.len()],
            calls: BTreeMap::new(),
            keys: BTreeMap::new(),
            next_ticket: 1,
            tally: ClaimTally::default(),
            scenario,
        }
    }

    /// Runs until the drain time is over and returns the counts.
    pub(super) fn run(mut self) -> ClaimTally {
        let end = (self.scenario.arrivals + self.scenario.drain).micros();
        for node in 0..self.nodes.len() {
            self.queue.push(node as u64 * MS, WorldEvent::Tick(node));
        }
        for centre in 0..self.rosters.len() {
            self.publish(centre, 0);
        }
        // Gives owners 1 s to take their shards before the first call.
        self.queue.push(1_000 * MS, WorldEvent::Arrival);
        self.schedule_faults();
        while let Some((at, event)) = self.queue.pop() {
            if at > end {
                break;
            }
            self.step(at, event);
        }
        self.finish(end)
    }

    fn step(&mut self, at: u64, event: WorldEvent) {
        if let Some(node) = acting_node(&event) {
            let paused_until = self.nodes[node].paused_until;
            if paused_until > at {
                self.queue.push(paused_until, event);
                return;
            }
        }
        match event {
            WorldEvent::Tick(node) => {
                self.queue.push(at + TICK_INTERVAL, WorldEvent::Tick(node));
                self.apply(node, ClaimEvent::Tick, at);
            }
            WorldEvent::Node {
                node,
                incarnation,
                event,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.apply(node, event, at);
                }
            }
            WorldEvent::Message { from, to, message } => {
                let from = self.nodes[from].vm.clone();
                self.apply(to, ClaimEvent::Received { from, message }, at);
            }
            WorldEvent::StoreArrives {
                node,
                incarnation,
                shard,
                expected,
                object,
                is_awaited,
            } => {
                let write = object.write;
                let reply = self
                    .platform
                    .store(shard.get().into(), expected, *object, at);
                if is_awaited {
                    self.answer_store(node, incarnation, shard, write, reply, at);
                }
            }
            WorldEvent::ReadArrives {
                node,
                incarnation,
                shard,
            } => {
                let reply = self.platform.read(shard.get().into());
                let event = ClaimEvent::ReadReplied { shard, reply };
                let delay = self.platform_delay();
                self.schedule(node, incarnation, event, at + delay);
            }
            WorldEvent::Dispatch {
                node,
                incarnation,
                ticket,
                deadline,
            } => self.dispatch(node, incarnation, ticket, deadline, at),
            WorldEvent::RunDone {
                node,
                incarnation,
                ticket,
            } => self.run_done(node, incarnation, ticket, at),
            WorldEvent::Arrival => self.arrival(at),
            WorldEvent::Call { key, attempt } => self.call(key, attempt, at),
            fault => self.inject_fault(fault, at),
        }
    }

    pub(super) fn apply(&mut self, node: usize, event: ClaimEvent, at: u64) {
        if !self.nodes[node].is_up {
            return;
        }
        let effects = self.nodes[node].apply(event, at);
        for effect in effects {
            self.apply_effect(node, effect, at);
        }
    }

    fn apply_effect(&mut self, node: usize, effect: ClaimEffect, at: u64) {
        let incarnation = self.nodes[node].incarnation;
        match effect {
            ClaimEffect::Send { to, message } => self.send(node, &to, message, at),
            ClaimEffect::Read { shard } => self.read(node, incarnation, shard, at),
            ClaimEffect::Store {
                shard,
                expected,
                object,
            } => self.store(node, incarnation, shard, expected, object, at),
            ClaimEffect::Granted { ticket, deadline } => {
                let delay = self.random.random_range(0..2 * MS);
                self.queue.push(
                    at + delay,
                    WorldEvent::Dispatch {
                        node,
                        incarnation,
                        ticket,
                        deadline,
                    },
                );
            }
            ClaimEffect::Released => {
                let stop = WorldEvent::Stopped(node);
                self.queue.push(at + 50 * MS, stop);
            }
            end => self.record_outcome(end, at),
        }
    }

    fn send(&mut self, from: usize, to: &VmId, message: ClaimMessage, at: u64) {
        self.tally.messages += 1;
        let Some(to) = self.nodes.iter().position(|node| node.vm == *to) else {
            return;
        };
        let (a, b) = (self.centre(from), self.centre(to));
        let is_partitioned = a != b && (self.is_partitioned[a] || self.is_partitioned[b]);
        if is_partitioned || self.chance(self.scenario.faults.lost_messages) {
            return;
        }
        let duplicates = u32::from(self.chance(self.scenario.faults.duplicated_messages));
        for _ in 0..=duplicates {
            let message = message.clone();
            let delay = self.message_delay(a == b);
            self.queue
                .push(at + delay, WorldEvent::Message { from, to, message });
        }
    }

    fn message_delay(&mut self, is_near: bool) -> u64 {
        if self.chance(self.scenario.faults.delayed_messages) {
            return self.random.random_range(10 * MS..1_000 * MS);
        }
        let base = if is_near { 200 } else { 1_500 };
        base + self.random.random_range(0..500)
    }

    fn read(&mut self, node: usize, incarnation: u64, shard: ShardNumber, at: u64) {
        if self.is_cut_off_from_platform[self.centre(node)] {
            let reply = ReadReply::Unavailable;
            let event = ClaimEvent::ReadReplied { shard, reply };
            self.schedule(node, incarnation, event, at + PLATFORM_TIMEOUT);
            return;
        }
        let arrival = at + self.platform_delay();
        self.queue.push(
            arrival,
            WorldEvent::ReadArrives {
                node,
                incarnation,
                shard,
            },
        );
    }

    fn store(
        &mut self,
        node: usize,
        incarnation: u64,
        shard: ShardNumber,
        expected: Option<ObjectVersion>,
        object: ShardObject,
        at: u64,
    ) {
        let write = object.write;
        let is_slow = self.chance(self.scenario.faults.lost_answers / 2);
        let is_awaited = !is_slow && !self.is_cut_off_from_platform[self.centre(node)];
        if !is_awaited {
            let reply = StoreReply::Unknown;
            self.answer_store(
                node,
                incarnation,
                shard,
                write,
                reply,
                at + PLATFORM_TIMEOUT,
            );
        }
        if self.is_cut_off_from_platform[self.centre(node)] {
            return;
        }
        let delay = if is_slow {
            // The write may take effect after the I/O layer stopped waiting for it.
            self.random.random_range(0..4 * PLATFORM_TIMEOUT)
        } else {
            self.platform_delay()
        };
        self.queue.push(
            at + delay,
            WorldEvent::StoreArrives {
                node,
                incarnation,
                shard,
                expected,
                object: Box::new(object),
                is_awaited,
            },
        );
    }

    fn answer_store(
        &mut self,
        node: usize,
        incarnation: u64,
        shard: ShardNumber,
        write: u64,
        reply: StoreReply<ShardObject>,
        at: u64,
    ) {
        let is_lost = self.chance(self.scenario.faults.lost_answers);
        let (reply, delay) = if is_lost {
            (StoreReply::Unknown, PLATFORM_TIMEOUT)
        } else {
            (reply, self.platform_delay())
        };
        let event = ClaimEvent::StoreReplied {
            shard,
            write,
            reply,
        };
        self.schedule(node, incarnation, event, at + delay);
    }

    fn platform_delay(&mut self) -> u64 {
        self.random.random_range(1_500..4_000)
    }

    pub(super) fn schedule(&mut self, node: usize, incarnation: u64, event: ClaimEvent, at: u64) {
        self.queue.push(
            at,
            WorldEvent::Node {
                node,
                incarnation,
                event,
            },
        );
    }

    /// Sends a roster to every VM, each after its own delay; the first roster arrives at once.
    pub(super) fn publish(&mut self, centre: usize, at: u64) {
        for node in 0..self.nodes.len() {
            let delay = if at == 0 {
                0
            } else {
                self.random.random_range(5 * MS..1_500 * MS)
            };
            let event = self.roster_event(centre);
            let incarnation = self.nodes[node].incarnation;
            self.schedule(node, incarnation, event, at + delay);
        }
    }

    pub(super) fn roster_event(&self, centre: usize) -> ClaimEvent {
        let roster = &self.rosters[centre];
        ClaimEvent::RosterChanged {
            data_centre: roster.data_centre.clone(),
            epoch: Epoch::new(roster.epoch),
            members: roster.members.clone(),
        }
    }

    pub(super) fn centre(&self, node: usize) -> usize {
        let data_centre = &self.nodes[node].data_centre;
        self.rosters
            .iter()
            .position(|roster| roster.data_centre == *data_centre)
            .unwrap_or(0)
    }

    pub(super) fn chance(&mut self, thousandths: u32) -> bool {
        thousandths > 0 && self.random.random_range(0..1_000) < thousandths
    }
}

fn fake_node(number: usize, centre: &DataCentreId, scenario: &ClaimScenario) -> Option<FakeNode> {
    let vm: VmId = format!("vm-{number}").parse().ok()?;
    Some(FakeNode::new(
        vm,
        centre.clone(),
        &scenario.settings,
        scenario.is_baseline,
        number as u64,
    ))
}

/// Returns the VM that processes an event, so that the event waits while the VM is paused.
fn acting_node(event: &WorldEvent) -> Option<usize> {
    match event {
        WorldEvent::Tick(node)
        | WorldEvent::Node { node, .. }
        | WorldEvent::Message { to: node, .. }
        | WorldEvent::Dispatch { node, .. }
        | WorldEvent::RunDone { node, .. } => Some(*node),
        _ => None,
    }
}
