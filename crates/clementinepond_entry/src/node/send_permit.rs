//! Permits for calls to endpoints that state a limit, and the exchange of limits with the
//! peers.

use super::message_age::{age_ms, time_before};
use super::{EntryNode, NodeState, RefusalCause};
use crate::clock::BootClock;
use clementinepond_dispatch::directory::KnownEndpoint;
use clementinepond_dispatch::fleet::Stated;
use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::peer::{LimitReport, PeerMessage, PermitReply};
use clementinepond_dispatch::select::{AdapterReadiness, EngineCandidate};
use clementinepond_dispatch::send_limit::{PermitVerdict, SendRate};
use clementinepond_types::{EndpointId, LocalTime, TimeSpan};
use fnv::FnvHashMap;
use std::net::SocketAddrV4;
use tokio::sync::oneshot;

/// Time that the owner of a limit has to reply; the request goes elsewhere afterwards.
const REPLY_TIMEOUT: TimeSpan = TimeSpan::from_millis(60);
/// Time for which an endpoint is left out after its owner did not reply.
const SILENT_OWNER_HOLD: TimeSpan = TimeSpan::from_millis(300);
/// Time after which a VM asks again that asked another VM than the owner; membership is the
/// same everywhere after about a heartbeat.
const WRONG_OWNER_DELAY: TimeSpan = TimeSpan::from_millis(150);

/// Queries for permits that await their reply, by ticket.
#[derive(Debug, Default)]
pub(crate) struct PermitWaits {
    replies: FnvHashMap<u64, oneshot::Sender<PermitReply>>,
}

/// Removes a query from those that await a reply when dropped.
struct WaitGuard<'a> {
    node: &'a EntryNode,
    ticket: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        state.permit_waits.replies.remove(&self.ticket);
    }
}

impl EntryNode {
    /// Returns whether a call may be sent to an endpoint now; takes a permit if the endpoint
    /// states a limit, and leaves the endpoint out for a while if there is none.
    pub(crate) async fn take_send_permit(&self, id: &EndpointId) -> bool {
        let endpoint = NameHash::of(id.as_str());
        let now = BootClock::now();
        let (rate, owner) = {
            let state = self.state.borrow();
            let Some(rate) = state.limits.rate(endpoint) else {
                return true;
            };
            if state.limits.held_until(endpoint, now).is_some() {
                return false;
            }
            let is_stopping = self.stopping_since.get().is_some();
            let peers = &state.peers;
            let owner = peers.permit_owner(endpoint, &self.settings().vm, is_stopping, now);
            (rate, owner.and_then(|vm| peers.address(vm)))
        };
        let reply = match owner {
            None => self.issue_permit(endpoint, rate, now),
            Some(address) => self.query_permit(endpoint, address).await,
        };
        let held = match reply {
            Some(PermitReply::Granted) => return true,
            Some(PermitReply::Unlimited { known_ms_ago }) => {
                let known_at = time_before(BootClock::now(), known_ms_ago);
                let mut state = self.state.borrow_mut();
                state.limits.record_report(endpoint, None, known_at);
                return state.limits.rate(endpoint).is_none();
            }
            Some(PermitReply::Denied { retry_ms }) => TimeSpan::from_millis(retry_ms.into()),
            None => SILENT_OWNER_HOLD,
        };
        log::debug!(
            "event=permit_denied endpoint={id} rate={rate} replied={} retry_ms={}",
            reply.is_some(),
            held.millis()
        );
        let mut state = self.state.borrow_mut();
        state.limits.hold(endpoint, BootClock::now() + held);
        false
    }

    /// Issues a permit for an endpoint that this VM owns.
    fn issue_permit(
        &self,
        endpoint: NameHash,
        rate: SendRate,
        now: LocalTime,
    ) -> Option<PermitReply> {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let (live, known) = state.peers.peer_counts(now);
        let share = (live + 1) as f64 / (known + 1) as f64;
        Some(match state.permits.take(endpoint, rate, share, now) {
            PermitVerdict::Granted => PermitReply::Granted,
            PermitVerdict::Denied { retry_after } => PermitReply::Denied {
                retry_ms: u32::try_from(retry_after.millis()).unwrap_or(u32::MAX),
            },
        })
    }

    /// Asks the owner for a permit; `None` if it does not reply in time.
    async fn query_permit(&self, endpoint: NameHash, owner: SocketAddrV4) -> Option<PermitReply> {
        let ticket = rand::random();
        let (sender, receiver) = oneshot::channel();
        let limit = {
            let mut state = self.state.borrow_mut();
            state.permit_waits.replies.insert(ticket, sender);
            limit_report(&state, endpoint, BootClock::now())?
        };
        let _guard = WaitGuard { node: self, ticket };
        self.send_to(PeerMessage::PermitQuery { ticket, limit }, owner);
        let replied = tokio::time::timeout(REPLY_TIMEOUT.duration(), receiver).await;
        replied.ok()?.ok()
    }

    /// Answers a peer that asks for a permit.
    pub(crate) fn answer_permit_query(
        &self,
        ticket: u64,
        limit: &LimitReport,
        sender: SocketAddrV4,
    ) {
        let now = BootClock::now();
        let endpoint = limit.endpoint;
        self.apply_limit_report(limit);
        let (known, is_owner) = {
            let state = self.state.borrow();
            let is_stopping = self.stopping_since.get().is_some();
            let vm = &self.settings().vm;
            let owner = state.peers.permit_owner(endpoint, vm, is_stopping, now);
            (state.limits.known(endpoint), owner.is_none())
        };
        let reply = match known {
            Some((None, known_at)) => Some(PermitReply::Unlimited {
                known_ms_ago: age_ms(known_at, now),
            }),
            Some((Some(rate), _)) if is_owner => self.issue_permit(endpoint, rate, now),
            _ => Some(PermitReply::Denied {
                retry_ms: WRONG_OWNER_DELAY.millis() as u32,
            }),
        };
        if let Some(reply) = reply {
            self.send_to(PeerMessage::PermitReply { ticket, reply }, sender);
        }
    }

    /// Applies the reply to one of this VM's queries.
    pub(crate) fn apply_permit_reply(&self, ticket: u64, reply: PermitReply) {
        let waiting = self.state.borrow_mut().permit_waits.replies.remove(&ticket);
        if let Some(sender) = waiting {
            // The query may have just timed out.
            let _ = sender.send(reply);
        }
    }

    /// Records what an endpoint's answer to a call that was sent at `sent_at` states about
    /// its limit, and announces a change to the peers.
    pub(crate) fn record_limit(
        &self,
        id: &EndpointId,
        statement: Stated<SendRate>,
        sent_at: LocalTime,
    ) {
        let now = BootClock::now();
        let endpoint = NameHash::of(id.as_str());
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        if statement == Stated::Unreadable {
            log::warn!("event=endpoint_limit_unreadable endpoint={id}");
            return;
        }
        let before = state.limits.rate(endpoint);
        let is_due = state
            .limits
            .record_answer(endpoint, statement, sent_at, now);
        let rate = state.limits.rate(endpoint);
        if before.is_some() != rate.is_some() {
            log::info!(
                "event=endpoint_limit endpoint={id} rate={} source=answer",
                rate.map_or("none".to_owned(), |rate| rate.to_string())
            );
        }
        if !is_due {
            return;
        }
        let report = limit_report(state, endpoint, now);
        let recipients = state.peers.recipients(None, now);
        drop(guard);
        if let Some(report) = report {
            self.send_through_relays(PeerMessage::SendLimit(report), recipients);
        }
    }

    /// Applies a peer's report of a limit.
    pub(crate) fn apply_limit_report(&self, report: &LimitReport) {
        let known_at = time_before(BootClock::now(), report.known_ms_ago);
        let mut state = self.state.borrow_mut();
        let is_changed = state
            .limits
            .record_report(report.endpoint, report.rate, known_at);
        if is_changed {
            log::info!(
                "event=endpoint_limit endpoint={} rate={} source=peer",
                report.endpoint,
                report
                    .rate
                    .map_or("none".to_owned(), |rate| rate.to_string())
            );
        }
    }
}

/// Returns the endpoints that may take a request of this VM now.
///
/// Fails if no endpoint does, since those that are left state a limit and have no permit.
pub(super) fn permitted<'a>(
    state: &NodeState,
    endpoints: Vec<&'a KnownEndpoint>,
    now: LocalTime,
) -> Result<Vec<&'a KnownEndpoint>, RefusalCause> {
    let held_until = |known: &&KnownEndpoint| {
        let endpoint = NameHash::of(known.entry.id.as_str());
        state.limits.held_until(endpoint, now)
    };
    let soonest = endpoints.iter().filter_map(held_until).min();
    let is_empty = endpoints.is_empty();
    let open: Vec<&KnownEndpoint> = endpoints
        .into_iter()
        .filter(|known| held_until(known).is_none())
        .collect();
    match soonest {
        Some(until) if open.is_empty() && !is_empty => Err(RefusalCause::Limited(now.until(until))),
        _ => Ok(open),
    }
}

/// Leaves out engines that state a limit and would need an order besides the request, if
/// others remain.
pub(super) fn without_limited_orders<'a>(
    state: &NodeState,
    candidates: Vec<EngineCandidate<'a>>,
) -> Vec<EngineCandidate<'a>> {
    let needs_two_permits = |candidate: &EngineCandidate<'_>| {
        let endpoint = NameHash::of(candidate.endpoint.id.as_str());
        candidate.adapter != AdapterReadiness::Ready && state.limits.rate(endpoint).is_some()
    };
    if candidates.iter().all(needs_two_permits) {
        return candidates;
    }
    candidates
        .into_iter()
        .filter(|candidate| !needs_two_permits(candidate))
        .collect()
}

fn limit_report(state: &NodeState, endpoint: NameHash, now: LocalTime) -> Option<LimitReport> {
    let (rate, known_at) = state.limits.known(endpoint)?;
    Some(LimitReport {
        endpoint,
        rate,
        known_ms_ago: age_ms(known_at, now),
    })
}
