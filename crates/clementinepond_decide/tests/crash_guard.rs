//! Tests of the crash guard on several VMs that exchange messages.

#![expect(clippy::unwrap_used, reason = "test helpers may panic")]

use clementinepond_decide::crash::{
    CrashEffect, CrashEvent, CrashMutation, CrashRefusal, CrashSettings, CrashState, CrashTicket,
    EndpointIncarnation, RequestFingerprint, VerdictObject, reduce,
};
use clementinepond_decide::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_types::{EndpointId, Epoch, LocalTime, ObjectVersion, TimeSpan, VmId};
use std::collections::VecDeque;

/// VMs with a shared verdict object; messages and platform replies arrive without
/// delay.
struct Fleet {
    nodes: Vec<(VmId, CrashState)>,
    settings: CrashSettings,
    object: Option<VersionedObject<VerdictObject>>,
    now: LocalTime,
    next_ticket: u64,
    effects: Vec<CrashEffect>,
}

fn request(name: &str) -> RequestFingerprint {
    let account = "account".parse().unwrap();
    RequestFingerprint::new(&account, &"model".parse().unwrap(), name.as_bytes())
}

fn endpoint(number: u32) -> EndpointId {
    format!("endpoint-{number}").parse().unwrap()
}

impl Fleet {
    fn new(count: usize, settings: CrashSettings) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            settings,
            object: None,
            now: LocalTime::from_micros(1_000_000),
            next_ticket: 0,
            effects: Vec::new(),
        };
        for _ in 0..count {
            fleet.add_vm();
        }
        fleet
    }

    fn add_vm(&mut self) {
        let name: VmId = format!("vm-{}", self.nodes.len()).parse().unwrap();
        let state = CrashState::new(self.settings.clone(), name.clone());
        self.nodes.push((name, state));
        let members: Vec<VmId> = self.nodes.iter().map(|(name, _)| name.clone()).collect();
        for node in 0..self.nodes.len() {
            let event = CrashEvent::RosterChanged {
                data_centre: "dc".parse().unwrap(),
                epoch: Epoch::new(members.len() as u64),
                members: members.clone(),
            };
            self.apply(node, event);
        }
        self.advance(TimeSpan::from_secs(3));
    }

    fn apply(&mut self, node: usize, event: CrashEvent) {
        let mut queue = VecDeque::from([(node, event)]);
        while let Some((node, event)) = queue.pop_front() {
            let (name, state) = &mut self.nodes[node];
            let from = name.clone();
            for effect in reduce(state, event, self.now) {
                match effect {
                    CrashEffect::Send { to, message } => {
                        let to = self.nodes.iter().position(|(name, _)| *name == to);
                        let from = from.clone();
                        queue.push_back((to.unwrap(), CrashEvent::Received { from, message }));
                    }
                    CrashEffect::Read => {
                        let reply = match &self.object {
                            Some(object) => ReadReply::Found(object.clone()),
                            None => ReadReply::Missing,
                        };
                        queue.push_back((node, CrashEvent::ReadReplied { reply }));
                    }
                    CrashEffect::Store { expected, object } => {
                        let version = self.object.as_ref().map(|object| object.version);
                        assert_eq!(version, expected);
                        let version = version.unwrap_or(ObjectVersion::new(0)).next();
                        let value = object;
                        self.object = Some(VersionedObject { version, value });
                        let reply = StoreReply::Stored { version };
                        queue.push_back((node, CrashEvent::StoreReplied { reply }));
                    }
                    other => self.effects.push(other),
                }
            }
        }
    }

    fn advance(&mut self, span: TimeSpan) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TimeSpan::from_millis(20);
            for node in 0..self.nodes.len() {
                self.apply(node, CrashEvent::Tick);
            }
        }
    }

    fn request_run(&mut self, node: usize, name: &str) -> CrashTicket {
        self.next_ticket += 1;
        let ticket = CrashTicket::new(self.next_ticket);
        let event = CrashEvent::RunRequested {
            ticket,
            fingerprint: request(name),
            candidates: (0..4).map(endpoint).collect(),
            deadline: self.now + TimeSpan::from_secs(20),
        };
        self.apply(node, event);
        self.advance(TimeSpan::from_millis(100));
        ticket
    }

    fn permitted_endpoint(&self, ticket: CrashTicket) -> Option<EndpointId> {
        self.effects.iter().find_map(|effect| match effect {
            CrashEffect::RunAlone {
                ticket: one,
                endpoint,
            } if *one == ticket => Some(endpoint.clone()),
            _ => None,
        })
    }

    fn is_passed(&self, ticket: CrashTicket) -> bool {
        let passed = |effect: &CrashEffect| matches!(effect, CrashEffect::Pass { ticket: one, .. } if *one == ticket);
        self.effects.iter().any(passed)
    }

    fn is_refused(&self, ticket: CrashTicket) -> bool {
        self.effects.iter().any(|effect| {
            matches!(effect, CrashEffect::Refused { ticket: one, reason: CrashRefusal::Poison, .. } if *one == ticket)
        })
    }

    fn dispatch(&mut self, node: usize, ticket: CrashTicket, name: &str, at: &EndpointId) {
        let event = CrashEvent::Dispatched {
            ticket,
            fingerprint: request(name),
            endpoint: at.clone(),
            incarnation: EndpointIncarnation::new(1),
        };
        self.apply(node, event);
    }

    /// Breaks the connection of a run, after which its endpoint reports the given
    /// incarnation; 1 is the one that ran the request.
    fn lose(&mut self, node: usize, ticket: CrashTicket, at: &EndpointId, incarnation: u64) {
        self.apply(node, CrashEvent::StreamBroken { ticket });
        self.advance(TimeSpan::from_millis(100));
        let event = CrashEvent::EndpointReported {
            endpoint: at.clone(),
            incarnation: EndpointIncarnation::new(incarnation),
            requested_at: self.now,
        };
        self.apply(node, event);
        self.advance(TimeSpan::from_millis(100));
    }

    /// Runs a request that crashes two endpoints, so that it is blocked.
    fn crash_two_endpoints(&mut self, name: &str) {
        let first = self.request_run(0, name);
        assert!(self.is_passed(first));
        self.dispatch(0, first, name, &endpoint(0));
        self.lose(0, first, &endpoint(0), 2);
        let second = self.request_run(1, name);
        let permitted = self.permitted_endpoint(second).unwrap();
        self.dispatch(1, second, name, &permitted);
        self.lose(1, second, &permitted, 2);
    }
}

#[test]
fn poison_request_is_refused_at_every_vm_and_at_a_new_vm() {
    let mut fleet = Fleet::new(3, CrashSettings::default());
    fleet.crash_two_endpoints("poison");
    fleet.advance(TimeSpan::from_secs(3));
    fleet.add_vm();
    for node in 0..4 {
        let ticket = fleet.request_run(node, "poison");
        assert!(fleet.is_refused(ticket), "vm {node}");
    }
    let other = fleet.request_run(0, "other");
    assert!(fleet.is_passed(other));
    let views = fleet.nodes[2].1.verdicts(fleet.now);
    assert_eq!(
        (views.len(), views[0].lost, views[0].refused_calls),
        (1, 2, 1)
    );
}

#[test]
fn pending_loss_delays_next_run_until_decided() {
    let mut fleet = Fleet::new(2, CrashSettings::default());
    let first = fleet.request_run(0, "poison");
    fleet.dispatch(0, first, "poison", &endpoint(0));
    fleet.lose(0, first, &endpoint(0), 2);
    let second = fleet.request_run(0, "poison");
    let permitted = fleet.permitted_endpoint(second).unwrap();
    fleet.dispatch(0, second, "poison", &permitted);
    fleet.apply(0, CrashEvent::StreamBroken { ticket: second });
    let third = fleet.request_run(1, "poison");
    assert_eq!(fleet.permitted_endpoint(third), None);
    assert!(!fleet.is_refused(third));
    let event = CrashEvent::EndpointUnreachable {
        endpoint: permitted,
    };
    fleet.apply(0, event);
    fleet.advance(TimeSpan::from_millis(100));
    assert!(fleet.is_refused(third));
}

#[test]
fn suspects_run_on_different_endpoints_until_completed() {
    let mut fleet = Fleet::new(2, CrashSettings::default());
    let first = fleet.request_run(0, "a");
    let second = fleet.request_run(0, "b");
    fleet.dispatch(0, first, "a", &endpoint(0));
    fleet.dispatch(0, second, "b", &endpoint(0));
    fleet.lose(0, first, &endpoint(0), 2);
    fleet.lose(0, second, &endpoint(0), 2);
    let first = fleet.request_run(0, "a");
    let second = fleet.request_run(1, "b");
    let endpoints = (
        fleet.permitted_endpoint(first).unwrap(),
        fleet.permitted_endpoint(second).unwrap(),
    );
    assert_ne!(endpoints.0, endpoints.1);
    fleet.dispatch(0, first, "a", &endpoints.0);
    fleet.apply(0, CrashEvent::Completed { ticket: first });
    fleet.advance(TimeSpan::from_millis(100));
    let again = fleet.request_run(1, "a");
    assert!(fleet.is_passed(again), "a completed run clears its request");
}

/// Requests two runs of a suspect at once; returns how many get a permit.
fn permitted_copies(mutation: CrashMutation) -> usize {
    let mut fleet = Fleet::new(
        2,
        CrashSettings {
            mutation,
            ..CrashSettings::default()
        },
    );
    let first = fleet.request_run(0, "poison");
    fleet.dispatch(0, first, "poison", &endpoint(0));
    fleet.lose(0, first, &endpoint(0), 2);
    let copies = [
        fleet.request_run(0, "poison"),
        fleet.request_run(1, "poison"),
    ];
    let endpoints = copies
        .iter()
        .filter_map(|&copy| fleet.permitted_endpoint(copy));
    endpoints.count()
}

#[test]
fn suspect_runs_one_copy_at_a_time() {
    assert_eq!(permitted_copies(CrashMutation::None), 1);
    assert_eq!(permitted_copies(CrashMutation::RunCopies), 2);
}

#[test]
fn broken_connection_to_live_endpoint_is_dismissed() {
    let mut fleet = Fleet::new(2, CrashSettings::default());
    for _ in 0..3 {
        let ticket = fleet.request_run(0, "a");
        assert!(fleet.is_passed(ticket));
        fleet.dispatch(0, ticket, "a", &endpoint(0));
        fleet.lose(0, ticket, &endpoint(0), 1);
    }
}

/// Releases a request, then delivers the verdict from before the release again;
/// returns whether the request passes.
fn passes_after_release(mutation: CrashMutation) -> bool {
    let mut fleet = Fleet::new(
        2,
        CrashSettings {
            mutation,
            ..CrashSettings::default()
        },
    );
    fleet.crash_two_endpoints("poison");
    fleet.advance(TimeSpan::from_secs(2));
    let old = fleet.object.clone().unwrap();
    let fingerprint = request("poison");
    fleet.apply(1, CrashEvent::Release { fingerprint });
    fleet.advance(TimeSpan::from_secs(2));
    let reply = ReadReply::Found(old);
    fleet.apply(0, CrashEvent::ReadReplied { reply });
    let ticket = fleet.request_run(0, "poison");
    fleet.is_passed(ticket)
}

#[test]
fn release_supersedes_its_verdict() {
    assert!(passes_after_release(CrashMutation::None));
    assert!(!passes_after_release(CrashMutation::ForgetRelease));
}

/// Lets 12 s pass with a verdict lifetime of 10 s; returns whether the request
/// passes.
fn passes_after_expiry(mutation: CrashMutation) -> bool {
    let mut fleet = Fleet::new(
        2,
        CrashSettings {
            mutation,
            suspect_lifetime: TimeSpan::from_secs(5),
            crash_window: TimeSpan::from_secs(5),
            verdict_lifetime: TimeSpan::from_secs(10),
            ..CrashSettings::default()
        },
    );
    fleet.crash_two_endpoints("poison");
    fleet.advance(TimeSpan::from_secs(12));
    let ticket = fleet.request_run(0, "poison");
    fleet.is_passed(ticket)
}

#[test]
fn verdict_expires() {
    assert!(passes_after_expiry(CrashMutation::None));
    assert!(!passes_after_expiry(CrashMutation::KeepVerdict));
}
