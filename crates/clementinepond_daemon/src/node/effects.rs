//! Effects that the node task carries out itself or passes to the I/O clients.

use super::task::NodeTask;
use crate::endpoint::PlanOrder;
use clementinepond_decide::configuration::{ConfigurationEffect, ConfigurationEvent};
use clementinepond_decide::crash::CrashEffect;
use clementinepond_decide::node::NodeEvent;
use clementinepond_decide::plan::PlanEffect;
use clementinepond_decide::request::{DispatchOrder, RequestEnd, RequestEvent};
use clementinepond_decide::roster::RosterEffect;
use clementinepond_types::{EndpointId, KeyDigest, ObjectVersion, RequestTicket};

impl NodeTask {
    pub(super) fn dispatch(&mut self, order: DispatchOrder) {
        let Some(running) = self.calls.get(&order.ticket) else {
            return;
        };
        self.io
            .endpoints
            .start_attempt(order, &running.call, &self.io.handle);
    }

    pub(super) fn cancel(&mut self, ticket: RequestTicket, endpoint: Option<EndpointId>) {
        let Some(running) = self.calls.get(&ticket) else {
            return;
        };
        running.call.cancellation.cancel();
        if let Some(endpoint) = endpoint {
            let request_id = running.call.body.request_id.clone();
            self.io.endpoints.cancel(endpoint, request_id);
        }
    }

    pub(super) fn finish(&mut self, ticket: RequestTicket, end: RequestEnd) {
        if let Some(running) = self.calls.remove(&ticket) {
            running.call.cancellation.cancel();
            // The receiver is gone if the caller has disconnected.
            let _ = running.call.end.send(end);
        }
    }

    pub(super) fn handle_roster_effect(&mut self, effect: RosterEffect) {
        match effect {
            RosterEffect::LearnAddress { vm, address } => self.io.peers.connect(vm, address),
            other => self.io.platform.roster(other),
        }
    }

    pub(super) fn handle_crash_effect(&self, effect: CrashEffect) {
        match effect {
            CrashEffect::VerdictChanged {
                fingerprint,
                released,
            } => log::warn!("event=verdict_changed request={fingerprint} released={released}"),
            other => self.io.platform.crash(other),
        }
    }

    pub(super) fn handle_plan_effect(&mut self, effect: PlanEffect) {
        match effect {
            PlanEffect::Order {
                endpoint,
                number,
                fencing_number,
                action,
                deadline,
            } => {
                let order = PlanOrder {
                    endpoint,
                    number,
                    fencing_number,
                    action,
                    deadline,
                };
                self.io.endpoints.start_order(order, &self.io.handle);
            }
            PlanEffect::Publish { status } => self.plan = Some(status),
            other => self.io.platform.plan(other),
        }
    }

    pub(super) fn handle_configuration_effect(&mut self, effect: ConfigurationEffect) {
        match effect {
            ConfigurationEffect::Apply { version, text } => self.apply(version, &text),
            ConfigurationEffect::KeyWithdrawn { key } => {
                self.io.active_configuration.withdraw(key);
                self.end_streams(&[key]);
            }
            ConfigurationEffect::CheckKeys { keys } => self.check_keys(keys),
            ConfigurationEffect::AcceptKeys { deadline } => {
                self.io.active_configuration.accept_keys(deadline);
            }
            ConfigurationEffect::WithdrawalAccepted { request, copies } => {
                self.answer_withdrawal(request, Ok(copies));
            }
            ConfigurationEffect::WithdrawalRefused { request, limit } => {
                self.answer_withdrawal(request, Err(limit));
            }
            other => self.io.platform.configuration(other),
        }
    }

    fn apply(&mut self, version: ObjectVersion, text: &str) {
        match self.io.active_configuration.apply(version, text) {
            Ok(applied) => {
                self.reduce(NodeEvent::FleetChanged(Box::new(applied.view)));
                self.end_streams(&applied.withdrawn);
                self.reduce(NodeEvent::Configuration(ConfigurationEvent::Applied {
                    version,
                }));
            }
            Err(faults) => {
                log::error!("event=configuration_refused version={version} faults=\"{faults}\"");
                self.reduce(NodeEvent::Configuration(ConfigurationEvent::Refused {
                    version,
                }));
            }
        }
    }

    fn check_keys(&mut self, checked: Vec<KeyDigest>) {
        let present = self.io.active_configuration.present_keys(&checked);
        let version = self.io.active_configuration.version();
        self.reduce(NodeEvent::Configuration(ConfigurationEvent::KeysChecked {
            version,
            checked,
            present,
        }));
    }

    fn answer_withdrawal(&mut self, request: u64, answer: super::task::WithdrawalAnswer) {
        if let Some(sender) = self.withdrawals.remove(&request) {
            // The receiver is gone if the operator has disconnected.
            let _ = sender.send(answer);
        }
    }

    /// Ends the requests that were made with keys that are no longer valid.
    fn end_streams(&mut self, keys: &[KeyDigest]) {
        let tickets: Vec<RequestTicket> = self
            .calls
            .iter()
            .filter(|(_, running)| running.key.is_some_and(|key| keys.contains(&key)))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in tickets {
            log::info!("event=request_stopped ticket={ticket} reason=key_withdrawn");
            self.reduce(NodeEvent::Request(RequestEvent::KeyWithdrawn { ticket }));
        }
    }
}
