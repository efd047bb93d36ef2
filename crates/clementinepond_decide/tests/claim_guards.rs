//! Tests of claims on a few VMs with simulated messages, writes and time.
//!
//! Tests with a [`ClaimMutation`] also disable the guard that they cover and check
//! that two calls under one key are then granted.

#![expect(
    clippy::unwrap_used,
    reason = "a failed unwrap in a helper fails the test"
)]

use clementinepond_decide::claim::{
    BodyFingerprint, ClaimEffect, ClaimEvent, ClaimMutation, ClaimRefusal, ClaimSettings,
    ClaimState, ClaimTicket, KeyDate, RecordedAnswer, RunOutcome, ShardNumber, ShardObject,
    UnknownReason, VmIncarnation, key_date, rank_members, reduce,
};
use clementinepond_decide::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_types::{
    AccountId, DataCentreId, Epoch, LocalTime, ObjectVersion, RouteName, TimeSpan, VmId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const SHARD: ShardNumber = ShardNumber::new(0);
const STEP: TimeSpan = TimeSpan::from_millis(20);

/// VMs of one data centre with one shard and a simulated platform.
struct Cluster {
    nodes: BTreeMap<VmId, ClaimState>,
    settings: ClaimSettings,
    object: Option<VersionedObject<ShardObject>>,
    now: LocalTime,
    queue: VecDeque<(VmId, ClaimEvent)>,
    /// VMs whose messages and platform calls are dropped.
    disconnected: BTreeSet<VmId>,
    is_platform_down: bool,
    next_ticket: u64,
    next_incarnation: u64,
    outcomes: Vec<ClaimEffect>,
}

fn vm(number: u32) -> VmId {
    format!("vm-{number}").parse().unwrap()
}

fn data_centre() -> DataCentreId {
    "dc".parse().unwrap()
}

fn answer() -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        headers: Vec::new(),
        body: b"done".to_vec().into(),
    }
}

impl Cluster {
    fn new(count: u32, mutation: ClaimMutation) -> Self {
        let settings = ClaimSettings {
            data_centres: vec![data_centre()],
            shard_count: 1,
            mutation,
            ..ClaimSettings::default()
        };
        let mut cluster = Self {
            nodes: BTreeMap::new(),
            settings,
            object: None,
            now: LocalTime::from_micros(1_000_000),
            queue: VecDeque::new(),
            disconnected: BTreeSet::new(),
            is_platform_down: false,
            next_ticket: 0,
            next_incarnation: 0,
            outcomes: Vec::new(),
        };
        let members: Vec<VmId> = (0..count).map(vm).collect();
        for member in &members {
            cluster.start(member);
        }
        cluster.roster(1, &members, &members);
        cluster.settle();
        cluster
    }

    fn start(&mut self, member: &VmId) {
        self.next_incarnation += 1;
        let incarnation = VmIncarnation::new(self.next_incarnation);
        let state = ClaimState::new(
            self.settings.clone(),
            member.clone(),
            data_centre(),
            incarnation,
        );
        self.nodes.insert(member.clone(), state);
    }

    fn roster(&mut self, epoch: u64, members: &[VmId], receivers: &[VmId]) {
        for to in receivers {
            self.event(
                to,
                ClaimEvent::RosterChanged {
                    data_centre: data_centre(),
                    epoch: Epoch::new(epoch),
                    members: members.to_vec(),
                },
            );
        }
    }

    fn event(&mut self, to: &VmId, event: ClaimEvent) {
        self.queue.push_back((to.clone(), event));
        while let Some((to, event)) = self.queue.pop_front() {
            let Some(state) = self.nodes.get_mut(&to) else {
                continue;
            };
            let effects = reduce(state, event, self.now);
            for effect in effects {
                self.execute(&to, effect);
            }
        }
    }

    fn execute(&mut self, from: &VmId, effect: ClaimEffect) {
        let is_disconnected = self.disconnected.contains(from);
        match effect {
            ClaimEffect::Send { to, message } => {
                if !is_disconnected && !self.disconnected.contains(&to) {
                    let from = from.clone();
                    self.queue
                        .push_back((to, ClaimEvent::Received { from, message }));
                }
            }
            ClaimEffect::Read { shard } => {
                let reply = match &self.object {
                    _ if is_disconnected || self.is_platform_down => ReadReply::Unavailable,
                    Some(object) => ReadReply::Found(object.clone()),
                    None => ReadReply::Missing,
                };
                let event = ClaimEvent::ReadReplied { shard, reply };
                self.queue.push_back((from.clone(), event));
            }
            ClaimEffect::Store {
                shard,
                expected,
                object,
            } => {
                let write = object.write;
                let reply = self.store(is_disconnected, expected, object);
                let event = ClaimEvent::StoreReplied {
                    shard,
                    write,
                    reply,
                };
                self.queue.push_back((from.clone(), event));
            }
            end => self.outcomes.push(end),
        }
    }

    fn store(
        &mut self,
        is_disconnected: bool,
        expected: Option<ObjectVersion>,
        value: ShardObject,
    ) -> StoreReply<ShardObject> {
        if is_disconnected || self.is_platform_down {
            return StoreReply::Unknown;
        }
        let version = self.object.as_ref().map(|object| object.version);
        if version != expected {
            return StoreReply::Conflict(self.object.clone());
        }
        let version = version.unwrap_or_default().next();
        self.object = Some(VersionedObject { version, value });
        StoreReply::Stored { version }
    }

    fn advance(&mut self, span: TimeSpan) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            let members: Vec<VmId> = self.nodes.keys().cloned().collect();
            for member in members {
                self.event(&member, ClaimEvent::Tick);
            }
        }
    }

    fn settle(&mut self) {
        self.advance(TimeSpan::from_secs(1));
    }

    fn request(&mut self, at: &VmId, key: &str, body: &[u8]) -> ClaimTicket {
        self.next_ticket += 1;
        let ticket = ClaimTicket::new(self.next_ticket);
        let event = ClaimEvent::Requested {
            ticket,
            account: "account".parse::<AccountId>().unwrap(),
            route: "submit".parse::<RouteName>().unwrap(),
            key: key.into(),
            date: KeyDate::Undated,
            fingerprint: BodyFingerprint::of(body),
            deadline: self.now + TimeSpan::from_secs(4),
        };
        self.event(at, event);
        ticket
    }

    fn is_granted(&self, ticket: ClaimTicket) -> bool {
        let granted = |end: &ClaimEffect| matches!(end, ClaimEffect::Granted { ticket: one, .. } if *one == ticket);
        self.outcomes.iter().any(granted)
    }

    fn outcome(&self, ticket: ClaimTicket) -> Option<&ClaimEffect> {
        self.outcomes.iter().rev().find(|end| match end {
            ClaimEffect::Granted { ticket: one, .. }
            | ClaimEffect::Refused { ticket: one, .. }
            | ClaimEffect::Replay { ticket: one, .. }
            | ClaimEffect::Unknown { ticket: one, .. } => *one == ticket,
            _ => false,
        })
    }

    fn ended(&mut self, at: &VmId, ticket: ClaimTicket) {
        let outcome = RunOutcome::Answered(Some(answer()));
        self.event(at, ClaimEvent::Ended { ticket, outcome });
    }
}

/// Returns the number of grants when the former owner does not learn that it lost the
/// shard, and both owners receive a request for the same key.
fn grants_by_former_and_new_owner(mutation: ClaimMutation) -> usize {
    let mut cluster = Cluster::new(4, mutation);
    let ranked = rank_members(SHARD, &(0..4).map(vm).collect::<Vec<_>>());
    let (former, rest) = ranked.split_first().unwrap();
    cluster.disconnected.insert(former.clone());
    cluster.roster(2, rest, rest);
    cluster.settle();
    let second = cluster.request(&rest[0], "key", b"body");
    cluster.settle();
    cluster.disconnected.clear();
    // The former owner has not received the new roster; only the replies of its
    // replicas reach it.
    let first = cluster.request(former, "key", b"body");
    usize::from(cluster.is_granted(first)) + usize::from(cluster.is_granted(second))
}

#[test]
fn former_owner_cannot_grant() {
    assert_eq!(grants_by_former_and_new_owner(ClaimMutation::None), 1);
    assert_eq!(
        grants_by_former_and_new_owner(ClaimMutation::AcknowledgeOldTerm),
        2
    );
}

/// Returns the number of grants when an owner whose object names no witness yet
/// receives a request and then crashes.
fn grants_around_unstored_witnesses(mutation: ClaimMutation) -> usize {
    let mut cluster = Cluster::new(1, mutation);
    let members: Vec<VmId> = (0..4).map(vm).collect();
    let (owner, others) = members.split_first().unwrap();
    for member in others {
        cluster.start(member);
    }
    let ranked = rank_members(SHARD, &members);
    // Only members ranked below the first VM are added, so that it stays the owner.
    let below: Vec<VmId> = ranked
        .iter()
        .skip_while(|member| *member != owner)
        .cloned()
        .collect();
    assert!(
        below.len() > 2,
        "the test needs at least two replicas ranked below the owner"
    );
    cluster.is_platform_down = true;
    cluster.roster(2, &below, &members);
    cluster.settle();
    let first = cluster.request(&below[1], "key", b"body");
    cluster.settle();
    cluster.nodes.remove(owner);
    cluster.is_platform_down = false;
    cluster.roster(3, &below[1..], &members);
    cluster.settle();
    let second = cluster.request(&below[1], "key", b"body");
    cluster.settle();
    usize::from(cluster.is_granted(first)) + usize::from(cluster.is_granted(second))
}

#[test]
fn copies_do_not_count_before_witnesses_are_stored() {
    assert_eq!(grants_around_unstored_witnesses(ClaimMutation::None), 1);
    let mutation = ClaimMutation::CopyBeforeWitness;
    assert_eq!(grants_around_unstored_witnesses(mutation), 2);
}

/// Returns the number of grants when the owner crashes after a request that its
/// replicas did not receive.
fn grants_around_owner_crash(mutation: ClaimMutation) -> usize {
    let mut cluster = Cluster::new(4, mutation);
    let ranked = rank_members(SHARD, &(0..4).map(vm).collect::<Vec<_>>());
    let (owner, rest) = ranked.split_first().unwrap();
    cluster
        .disconnected
        .extend([rest[0].clone(), rest[1].clone()]);
    let first = cluster.request(owner, "key", b"body");
    cluster.disconnected.clear();
    cluster.nodes.remove(owner);
    cluster.roster(2, rest, rest);
    cluster.settle();
    let second = cluster.request(&rest[0], "key", b"body");
    cluster.settle();
    usize::from(cluster.is_granted(first)) + usize::from(cluster.is_granted(second))
}

#[test]
fn claim_is_durable_before_grant() {
    assert_eq!(grants_around_owner_crash(ClaimMutation::None), 1);
    let mutation = ClaimMutation::GrantBeforeDurable;
    assert_eq!(grants_around_owner_crash(mutation), 2);
}

#[test]
fn retry_on_any_vm_gets_recorded_answer() {
    let mut cluster = Cluster::new(3, ClaimMutation::None);
    let first = cluster.request(&vm(0), "key", b"body");
    assert!(cluster.is_granted(first));
    let joined = cluster.request(&vm(1), "key", b"body");
    assert_eq!(cluster.outcome(joined), None);
    cluster.ended(&vm(0), first);
    let late = cluster.request(&vm(2), "key", b"body");
    for ticket in [joined, late] {
        let answer = Some(answer());
        let replay = ClaimEffect::Replay { ticket, answer };
        assert_eq!(cluster.outcome(ticket), Some(&replay));
    }
}

#[test]
fn other_body_under_same_key_is_refused() {
    let mut cluster = Cluster::new(3, ClaimMutation::None);
    cluster.request(&vm(0), "key", b"body");
    let ticket = cluster.request(&vm(1), "key", b"other body");
    let reason = ClaimRefusal::FingerprintMismatch;
    let refused = ClaimEffect::Refused { ticket, reason };
    assert_eq!(cluster.outcome(ticket), Some(&refused));
}

#[test]
fn claims_without_platform_survive_owner_crash() {
    let mut cluster = Cluster::new(4, ClaimMutation::None);
    let ranked = rank_members(SHARD, &(0..4).map(vm).collect::<Vec<_>>());
    let (owner, rest) = ranked.split_first().unwrap();
    cluster.is_platform_down = true;
    let first = cluster.request(&rest[2], "key", b"body");
    assert!(cluster.is_granted(first));
    cluster.ended(&rest[2], first);
    cluster.nodes.remove(owner);
    cluster.is_platform_down = false;
    cluster.roster(2, rest, rest);
    cluster.settle();
    let ticket = cluster.request(&rest[1], "key", b"body");
    let answer = Some(answer());
    let replay = ClaimEffect::Replay { ticket, answer };
    assert_eq!(cluster.outcome(ticket), Some(&replay));
}

#[test]
fn unreported_run_is_unknown_until_late_report() {
    let mut cluster = Cluster::new(3, ClaimMutation::None);
    let ranked = rank_members(SHARD, &(0..3).map(vm).collect::<Vec<_>>());
    let first = cluster.request(&ranked[0], "key", b"body");
    cluster.disconnected.insert(ranked[0].clone());
    let rest = &ranked[1..];
    cluster.roster(2, rest, rest);
    cluster.settle();
    cluster.advance(TimeSpan::from_secs(2));
    let ticket = cluster.request(&ranked[1], "key", b"body");
    cluster.settle();
    cluster.advance(TimeSpan::from_secs(4));
    let reason = UnknownReason::StillRunning;
    let unknown = ClaimEffect::Unknown { ticket, reason };
    assert_eq!(cluster.outcome(ticket), Some(&unknown));
    cluster.disconnected.clear();
    cluster.roster(2, rest, &ranked[..1]);
    cluster.ended(&ranked[0], first);
    cluster.settle();
    let ticket = cluster.request(&ranked[2], "key", b"body");
    let answer = Some(answer());
    let replay = ClaimEffect::Replay { ticket, answer };
    assert_eq!(cluster.outcome(ticket), Some(&replay));
}

#[test]
fn claim_not_dispatched_is_free_again() {
    let mut cluster = Cluster::new(3, ClaimMutation::None);
    let ticket = cluster.request(&vm(0), "key", b"body");
    cluster.event(&vm(0), ClaimEvent::NotDispatched { ticket });
    let again = cluster.request(&vm(1), "key", b"body");
    assert!(cluster.is_granted(again));
}

#[test]
fn released_shard_has_no_witnesses() {
    let mut cluster = Cluster::new(3, ClaimMutation::None);
    let ranked = rank_members(SHARD, &(0..3).map(vm).collect::<Vec<_>>());
    let first = cluster.request(&ranked[1], "key", b"body");
    cluster.ended(&ranked[1], first);
    cluster.event(&ranked[0], ClaimEvent::Release);
    cluster.settle();
    assert!(cluster.outcomes.contains(&ClaimEffect::Released));
    let object = cluster.object.clone().unwrap().value;
    assert!(object.witnesses.is_empty(), "{object:?}");
    assert_eq!(object.batches.len(), 1, "{object:?}");
}

#[test]
fn key_date_is_read_from_uuid_v7() {
    let created_at = 0x0193_8d3c_5a00;
    let key = "01938d3c-5a00-7abc-8def-0123456789ab";
    let age = TimeSpan::from_millis(500);
    assert_eq!(key_date(key, created_at + 500), KeyDate::Past(age));
    assert_eq!(key_date(key, created_at - 500), KeyDate::Future(age));
    for undated in ["", "key", "01938d3c-5a00-4abc-8def-0123456789ab"] {
        assert_eq!(key_date(undated, created_at), KeyDate::Undated);
    }
}

#[test]
fn shard_object_round_trips_through_json() {
    let mut cluster = Cluster::new(3, ClaimMutation::None);
    let ticket = cluster.request(&vm(0), "key", b"body");
    cluster.ended(&vm(0), ticket);
    cluster.request(&vm(1), "other key", b"body");
    cluster.advance(TimeSpan::from_secs(6));
    let object = cluster.object.unwrap().value;
    let text = serde_json::to_string(&object).unwrap();
    assert_eq!(serde_json::from_str::<ShardObject>(&text).unwrap(), object);
    assert!(text.len() < 2_000, "{text}");
}
