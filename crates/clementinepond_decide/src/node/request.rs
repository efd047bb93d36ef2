//! Routes the events and effects of requests to the rate limits, claims, crash
//! guard and endpoint selection.

use super::NodeEffect;
use super::node_reducer::NodeReducer;
use super::state::PendingRun;
use crate::claim::{ClaimEvent, ClaimTicket, RunOutcome};
use crate::crash::{CrashEvent, CrashTicket, EndpointIncarnation};
use crate::limit::{AdmissionRequest, LimitEvent, TicketId};
use crate::request::{
    self, AttemptNumber, AttemptOutcome, DispatchOrder, EndReason, RequestEffect, RequestEnd,
    RequestEvent, RequestProfile, RequestStage,
};
use crate::route::{RouteError, RouteTarget};
use clementinepond_types::{AccountId, EndpointId, RequestTicket, RouteName, TokenCount};

/// Number of best-ranked endpoints that the crash guard may choose from.
const CANDIDATE_LIMIT: usize = 8;
/// Client account that owns the claims of routes that need no key.
const OPEN_ACCOUNT: &str = "open";

impl NodeReducer<'_> {
    pub(super) fn reduce_request(&mut self, event: RequestEvent) {
        match &event {
            RequestEvent::AttemptEnded {
                ticket,
                attempt,
                outcome,
            } => self.record_attempt_end(*ticket, *attempt, outcome),
            RequestEvent::Arrived { profile, .. } => self.count_demand(profile),
            _ => {}
        }
        let effects = request::reduce(&mut self.state.requests, event, self.now);
        for effect in effects {
            self.handle_request_effect(effect);
        }
    }

    fn count_demand(&mut self, profile: &RequestProfile) {
        if let RouteTarget::Model { model, .. } = &profile.target {
            let tokens = profile.output.whole();
            self.state.demand.count(model, tokens);
        }
    }

    /// Notifies routing and the crash guard that an attempt ended. Ignores attempts other than
    /// the current one.
    fn record_attempt_end(
        &mut self,
        ticket: RequestTicket,
        attempt: AttemptNumber,
        outcome: &AttemptOutcome,
    ) {
        let endpoint = self
            .state
            .requests
            .get(ticket)
            .and_then(RequestStage::dispatched)
            .filter(|stage| stage.attempt == attempt)
            .and_then(|stage| stage.endpoint.clone());
        let Some(endpoint) = endpoint else {
            return;
        };
        let failed = matches!(
            outcome,
            AttemptOutcome::NotSent | AttemptOutcome::Broken { .. }
        );
        self.state.routes.record_ended(&endpoint, failed, self.now);
        let Some(ticket) = self.state.crash_tickets.remove(&ticket) else {
            return;
        };
        self.reduce_crash(match outcome {
            AttemptOutcome::Complete { .. } | AttemptOutcome::Rejected => {
                CrashEvent::Completed { ticket }
            }
            AttemptOutcome::NotSent | AttemptOutcome::RefusedNotRun => {
                CrashEvent::Stopped { ticket }
            }
            AttemptOutcome::Broken { .. } => CrashEvent::StreamBroken { ticket },
        });
    }

    fn handle_request_effect(&mut self, effect: RequestEffect) {
        match effect {
            RequestEffect::RequestAdmission { ticket, profile } => {
                self.request_admission(ticket, &profile)
            }
            RequestEffect::RenewAdmission { ticket, profile } => {
                self.settle(ticket, TokenCount::ZERO);
                self.request_admission(ticket, &profile);
            }
            RequestEffect::RequestClaim { ticket, profile } => self.request_claim(ticket, &profile),
            RequestEffect::Dispatch {
                ticket,
                attempt,
                query,
                resume_from,
                deadline,
            } => self.request_run(PendingRun {
                ticket,
                attempt,
                query,
                resume_from,
                deadline,
            }),
            RequestEffect::Cancel { ticket, endpoint } => self.cancel(ticket, endpoint),
            RequestEffect::Progress { ticket, tokens } => {
                self.reduce_limit(LimitEvent::Progress {
                    ticket: TicketId::new(ticket.get()),
                    generated: TokenCount::new(tokens),
                });
            }
            RequestEffect::Settle { ticket, used } => self.settle(ticket, used),
            RequestEffect::CloseClaim { ticket, end } => self.close_claim(ticket, end),
            RequestEffect::Finish { ticket, end } => {
                self.discard_run(ticket);
                self.effects.push(NodeEffect::Finish { ticket, end });
            }
        }
    }

    fn request_admission(&mut self, ticket: RequestTicket, profile: &RequestProfile) {
        let Some(account) = profile.account.clone() else {
            return;
        };
        self.reduce_limit(LimitEvent::Request(AdmissionRequest {
            ticket: TicketId::new(ticket.get()),
            account,
            prompt: profile.prompt,
            output: profile.output,
            priority: profile.priority,
            deadline: profile.admission_deadline,
        }));
    }

    fn settle(&mut self, ticket: RequestTicket, used: TokenCount) {
        let ticket = TicketId::new(ticket.get());
        self.reduce_limit(if used == TokenCount::ZERO {
            LimitEvent::Cancel { ticket }
        } else {
            LimitEvent::Settle { ticket, used }
        });
    }

    fn request_claim(&mut self, ticket: RequestTicket, profile: &RequestProfile) {
        let account = profile
            .account
            .clone()
            .or_else(|| OPEN_ACCOUNT.parse::<AccountId>().ok());
        let route = match &profile.target {
            RouteTarget::Model { model, .. } => model.as_str().parse::<RouteName>().ok(),
            RouteTarget::Service(route) => Some(route.clone()),
        };
        let (Some(account), Some(route), Some(key)) = (account, route, profile.idempotency.clone())
        else {
            return;
        };
        self.reduce_claim(ClaimEvent::Requested {
            ticket: ClaimTicket::new(ticket.get()),
            account,
            route,
            key: key.key,
            date: key.date,
            fingerprint: key.fingerprint,
            deadline: profile.deadline,
        });
    }

    fn close_claim(&mut self, ticket: RequestTicket, end: RequestEnd) {
        let ticket = ClaimTicket::new(ticket.get());
        let event = match end {
            RequestEnd::Complete { record, .. } => ClaimEvent::Ended {
                ticket,
                outcome: RunOutcome::Answered(record.map(|record| *record)),
            },
            RequestEnd::Rejected => ClaimEvent::Ended {
                ticket,
                outcome: RunOutcome::Answered(None),
            },
            RequestEnd::Unknown { .. } => ClaimEvent::Ended {
                ticket,
                outcome: RunOutcome::Unknown,
            },
            RequestEnd::NotRun { .. } | RequestEnd::Replayed { .. } | RequestEnd::Abandoned => {
                ClaimEvent::NotDispatched { ticket }
            }
        };
        self.reduce_claim(event);
    }

    /// Requests permission from the crash guard to run an attempt.
    fn request_run(&mut self, run: PendingRun) {
        let Some(stage) = self.state.requests.get(run.ticket) else {
            return;
        };
        let candidates = self.state.routes.ranked(&run.query, CANDIDATE_LIMIT);
        if candidates.is_empty() {
            return self.wait_for_endpoint(run.ticket);
        }
        let fingerprint = stage.profile().fingerprint;
        let deadline = run.deadline;
        self.state.next_run += 1;
        let ticket = CrashTicket::new(self.state.next_run);
        self.discard_run(run.ticket);
        self.state.crash_tickets.insert(run.ticket, ticket);
        self.state.pending_runs.insert(ticket, run);
        self.reduce_crash(CrashEvent::RunRequested {
            ticket,
            fingerprint,
            candidates,
            deadline,
        });
    }

    fn wait_for_endpoint(&mut self, ticket: RequestTicket) {
        let RouteError::NoReplica { retry_after } = RouteError::no_replica();
        self.enqueue_request(RequestEvent::NoEndpoint {
            ticket,
            retry_after,
        });
    }

    /// Dispatches a run, preferably not to endpoints in `avoid`, where suspects run alone.
    pub(super) fn dispatch_avoiding(&mut self, crash_ticket: CrashTicket, avoid: Vec<EndpointId>) {
        if let Some(run) = self.state.pending_runs.get_mut(&crash_ticket) {
            run.query.avoided.extend(avoid);
        }
        self.dispatch(crash_ticket, None);
    }

    /// Dispatches a run that the crash guard allowed, to `only` if it is given.
    pub(super) fn dispatch(&mut self, crash_ticket: CrashTicket, only: Option<EndpointId>) {
        let Some(run) = self.state.pending_runs.remove(&crash_ticket) else {
            return;
        };
        let choice = match only {
            Some(endpoint) => Ok(endpoint),
            None => self.state.routes.choose(&run.query, self.now),
        };
        match choice {
            Ok(endpoint) => self.send_run(crash_ticket, run, endpoint),
            Err(_) => {
                self.state.crash_tickets.remove(&run.ticket);
                self.reduce_crash(CrashEvent::Stopped {
                    ticket: crash_ticket,
                });
                self.wait_for_endpoint(run.ticket);
            }
        }
    }

    fn send_run(&mut self, crash_ticket: CrashTicket, run: PendingRun, endpoint: EndpointId) {
        let Some(stage) = self.state.requests.get(run.ticket) else {
            return self.reduce_crash(CrashEvent::Stopped {
                ticket: crash_ticket,
            });
        };
        let fingerprint = stage.profile().fingerprint;
        let is_claimed = stage.dispatched().is_some_and(|stage| stage.is_claimed);
        self.state.routes.record_sent(&endpoint, run.query.prefix);
        self.state
            .requests
            .record_endpoint(run.ticket, endpoint.clone());
        let incarnation = self.incarnation(&endpoint);
        self.reduce_crash(CrashEvent::Dispatched {
            ticket: crash_ticket,
            fingerprint,
            endpoint: endpoint.clone(),
            incarnation,
        });
        self.reduce_limit(LimitEvent::Started {
            ticket: TicketId::new(run.ticket.get()),
        });
        if is_claimed {
            self.reduce_claim(ClaimEvent::Dispatched {
                ticket: ClaimTicket::new(run.ticket.get()),
            });
        }
        self.effects.push(NodeEffect::Dispatch(DispatchOrder {
            ticket: run.ticket,
            attempt: run.attempt,
            endpoint,
            resume_from: run.resume_from,
            deadline: run.deadline,
        }));
    }

    fn incarnation(&self, endpoint: &EndpointId) -> EndpointIncarnation {
        let state = self.state.routes.endpoints.get(endpoint);
        let report = state.and_then(|state| state.report.as_ref());
        EndpointIncarnation::new(report.map_or(0, |report| report.incarnation))
    }

    /// Ends a request that the crash guard refuses.
    pub(super) fn refuse_run(
        &mut self,
        crash_ticket: CrashTicket,
        reason: EndReason,
        retry_after: Option<clementinepond_types::TimeSpan>,
    ) {
        let Some(run) = self.state.pending_runs.remove(&crash_ticket) else {
            return;
        };
        self.state.crash_tickets.remove(&run.ticket);
        let may_have_run = self
            .state
            .requests
            .get(run.ticket)
            .is_some_and(RequestStage::may_have_run);
        let end = if may_have_run {
            RequestEnd::Unknown { reason }
        } else {
            RequestEnd::NotRun {
                reason,
                retry_after,
            }
        };
        self.enqueue_request(RequestEvent::Stopped {
            ticket: run.ticket,
            end,
        });
    }

    fn cancel(&mut self, ticket: RequestTicket, endpoint: Option<EndpointId>) {
        if let Some(endpoint) = &endpoint {
            self.state.routes.record_ended(endpoint, false, self.now);
        }
        self.discard_run(ticket);
        self.effects.push(NodeEffect::Cancel { ticket, endpoint });
    }

    /// Notifies the crash guard that the latest run of a request has stopped.
    fn discard_run(&mut self, ticket: RequestTicket) {
        if let Some(crash_ticket) = self.state.crash_tickets.remove(&ticket) {
            self.state.pending_runs.remove(&crash_ticket);
            self.reduce_crash(CrashEvent::Stopped {
                ticket: crash_ticket,
            });
        }
    }
}
