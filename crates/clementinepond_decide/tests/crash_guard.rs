//! The crash guard of one VM and of a few that talk.

#![expect(clippy::unwrap_used, reason = "helpers of tests may stop the test")]

use clementinepond_decide::crash::{
    CrashEffect, CrashEvent, CrashMutation, CrashRefusal, CrashSettings, CrashState, CrashTicket,
    EndpointIncarnation, RequestFingerprint, VerdictObject, reduce,
};
use clementinepond_decide::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_types::{EndpointId, Epoch, LocalTime, ObjectVersion, TimeSpan, VmId};
use std::collections::VecDeque;

/// A few VMs with one platform object.
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
            fleet.start();
        }
        fleet
    }

    fn start(&mut self) {
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
            self.event(node, event);
        }
        self.pass(TimeSpan::from_secs(3));
    }

    fn event(&mut self, node: usize, event: CrashEvent) {
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

    fn pass(&mut self, span: TimeSpan) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TimeSpan::from_millis(20);
            for node in 0..self.nodes.len() {
                self.event(node, CrashEvent::Tick);
            }
        }
    }

    fn ask(&mut self, node: usize, name: &str) -> CrashTicket {
        self.next_ticket += 1;
        let ticket = CrashTicket::new(self.next_ticket);
        let event = CrashEvent::Ask {
            ticket,
            fingerprint: request(name),
            candidates: (0..4).map(endpoint).collect(),
            deadline: self.now + TimeSpan::from_secs(20),
        };
        self.event(node, event);
        self.pass(TimeSpan::from_millis(100));
        ticket
    }

    fn place(&self, ticket: CrashTicket) -> Option<EndpointId> {
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
        self.event(node, event);
    }

    /// Breaks a run and shows that its endpoint restarted, or did not.
    fn lose(&mut self, node: usize, ticket: CrashTicket, at: &EndpointId, incarnation: u64) {
        self.event(node, CrashEvent::StreamBroken { ticket });
        self.pass(TimeSpan::from_millis(100));
        let event = CrashEvent::EndpointSeen {
            endpoint: at.clone(),
            incarnation: EndpointIncarnation::new(incarnation),
            asked_at: self.now,
        };
        self.event(node, event);
        self.pass(TimeSpan::from_millis(100));
    }

    /// Runs a request that takes its first endpoint, then its second.
    fn poison(&mut self, name: &str) {
        let first = self.ask(0, name);
        assert!(self.is_passed(first));
        self.dispatch(0, first, name, &endpoint(0));
        self.lose(0, first, &endpoint(0), 2);
        let second = self.ask(1, name);
        let place = self.place(second).unwrap();
        self.dispatch(1, second, name, &place);
        self.lose(1, second, &place, 2);
    }
}

#[test]
fn a_poison_request_is_refused_at_every_vm_and_after_a_restart() {
    let mut fleet = Fleet::new(3, CrashSettings::default());
    fleet.poison("poison");
    fleet.pass(TimeSpan::from_secs(3));
    fleet.start();
    for node in 0..4 {
        let ticket = fleet.ask(node, "poison");
        assert!(fleet.is_refused(ticket), "vm {node}");
    }
    let other = fleet.ask(0, "other");
    assert!(fleet.is_passed(other));
    let views = fleet.nodes[2].1.verdicts(fleet.now);
    assert_eq!(
        (views.len(), views[0].lost, views[0].refused_calls),
        (1, 2, 1)
    );
}

#[test]
fn a_pending_loss_holds_the_next_run_back() {
    let mut fleet = Fleet::new(2, CrashSettings::default());
    let first = fleet.ask(0, "poison");
    fleet.dispatch(0, first, "poison", &endpoint(0));
    fleet.lose(0, first, &endpoint(0), 2);
    let second = fleet.ask(0, "poison");
    let place = fleet.place(second).unwrap();
    fleet.dispatch(0, second, "poison", &place);
    fleet.event(0, CrashEvent::StreamBroken { ticket: second });
    let third = fleet.ask(1, "poison");
    assert_eq!(fleet.place(third), None);
    assert!(!fleet.is_refused(third));
    let event = CrashEvent::EndpointLost { endpoint: place };
    fleet.event(0, event);
    fleet.pass(TimeSpan::from_millis(100));
    assert!(fleet.is_refused(third));
}

#[test]
fn suspects_of_one_loss_run_on_different_endpoints_until_they_complete() {
    let mut fleet = Fleet::new(2, CrashSettings::default());
    let first = fleet.ask(0, "a");
    let second = fleet.ask(0, "b");
    fleet.dispatch(0, first, "a", &endpoint(0));
    fleet.dispatch(0, second, "b", &endpoint(0));
    fleet.lose(0, first, &endpoint(0), 2);
    fleet.lose(0, second, &endpoint(0), 2);
    let first = fleet.ask(0, "a");
    let second = fleet.ask(1, "b");
    let places = (fleet.place(first).unwrap(), fleet.place(second).unwrap());
    assert_ne!(places.0, places.1);
    fleet.dispatch(0, first, "a", &places.0);
    fleet.event(0, CrashEvent::Completed { ticket: first });
    fleet.pass(TimeSpan::from_millis(100));
    let again = fleet.ask(1, "a");
    assert!(fleet.is_passed(again), "a completed run clears");
}

/// Asks for two copies of a suspect at once.
fn copies_at_once(mutation: CrashMutation) -> usize {
    let mut fleet = Fleet::new(
        2,
        CrashSettings {
            mutation,
            ..CrashSettings::default()
        },
    );
    let first = fleet.ask(0, "poison");
    fleet.dispatch(0, first, "poison", &endpoint(0));
    fleet.lose(0, first, &endpoint(0), 2);
    let copies = [fleet.ask(0, "poison"), fleet.ask(1, "poison")];
    let places = copies.iter().filter_map(|&copy| fleet.place(copy));
    places.count()
}

#[test]
fn copies_of_a_suspect_run_one_after_the_other() {
    assert_eq!(copies_at_once(CrashMutation::None), 1);
    assert_eq!(copies_at_once(CrashMutation::RunCopies), 2);
}

#[test]
fn a_broken_connection_to_a_living_endpoint_is_forgotten() {
    let mut fleet = Fleet::new(2, CrashSettings::default());
    for _ in 0..3 {
        let ticket = fleet.ask(0, "a");
        assert!(fleet.is_passed(ticket));
        fleet.dispatch(0, ticket, "a", &endpoint(0));
        fleet.lose(0, ticket, &endpoint(0), 1);
    }
}

/// Releases a request, after which an old verdict comes again.
fn is_released(mutation: CrashMutation) -> bool {
    let mut fleet = Fleet::new(
        2,
        CrashSettings {
            mutation,
            ..CrashSettings::default()
        },
    );
    fleet.poison("poison");
    fleet.pass(TimeSpan::from_secs(2));
    let old = fleet.object.clone().unwrap();
    let fingerprint = request("poison");
    fleet.event(1, CrashEvent::Release { fingerprint });
    fleet.pass(TimeSpan::from_secs(2));
    let reply = ReadReply::Found(old);
    fleet.event(0, CrashEvent::ReadReplied { reply });
    let ticket = fleet.ask(0, "poison");
    fleet.is_passed(ticket)
}

#[test]
fn a_release_outlives_the_verdict_that_it_ends() {
    assert!(is_released(CrashMutation::None));
    assert!(!is_released(CrashMutation::ForgetRelease));
}

/// Lets a verdict grow old.
fn is_expired(mutation: CrashMutation) -> bool {
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
    fleet.poison("poison");
    fleet.pass(TimeSpan::from_secs(12));
    let ticket = fleet.ask(0, "poison");
    fleet.is_passed(ticket)
}

#[test]
fn a_verdict_expires() {
    assert!(is_expired(CrashMutation::None));
    assert!(!is_expired(CrashMutation::KeepVerdict));
}
