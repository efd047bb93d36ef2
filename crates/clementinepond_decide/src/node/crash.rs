//! Routes events and effects of the crash guard.

use super::NodeEffect;
use super::node_reducer::NodeReducer;
use crate::crash::{self, CrashEffect, CrashEvent, CrashRefusal};
use crate::request::EndReason;
use clementinepond_types::{EndpointId, TimeSpan};

/// Time without a report after which an endpoint counts as unreachable.
const ENDPOINT_REPORT_TIMEOUT: TimeSpan = TimeSpan::from_secs(3);

impl NodeReducer<'_> {
    pub(super) fn reduce_crash(&mut self, event: CrashEvent) {
        let effects = crash::reduce(&mut self.state.crash, event, self.now);
        for effect in effects {
            self.handle_crash_effect(effect);
        }
    }

    fn handle_crash_effect(&mut self, effect: CrashEffect) {
        match effect {
            CrashEffect::Pass { ticket, avoid } => self.dispatch_avoiding(ticket, avoid),
            CrashEffect::RunAlone { ticket, endpoint } => self.dispatch(ticket, Some(endpoint)),
            CrashEffect::Wait { .. } => {}
            CrashEffect::Refused {
                ticket,
                retry_after,
                reason,
            } => {
                let reason = match reason {
                    CrashRefusal::Poison => EndReason::CrashesEndpoints,
                    CrashRefusal::Crowded => EndReason::Overloaded,
                };
                self.refuse_run(ticket, reason, Some(retry_after));
            }
            CrashEffect::Send { to, message } => self.send(to, message),
            other => self.effects.push(NodeEffect::Crash(other)),
        }
    }

    /// Notifies the crash guard, once per outage, of endpoints whose latest report is older
    /// than [`ENDPOINT_REPORT_TIMEOUT`].
    pub(super) fn report_unreachable_endpoints(&mut self) {
        let unreachable: Vec<EndpointId> = self
            .state
            .routes
            .endpoints
            .iter()
            .filter(|(id, _)| !self.state.unreachable.contains(*id))
            .filter(|(_, state)| state.report.is_some())
            .filter(|(_, state)| self.now.since(state.reported_at) > ENDPOINT_REPORT_TIMEOUT)
            .map(|(id, _)| id.clone())
            .collect();
        for endpoint in unreachable {
            self.state.unreachable.insert(endpoint.clone());
            self.reduce_crash(CrashEvent::EndpointUnreachable { endpoint });
        }
    }
}
