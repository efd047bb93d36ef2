//! Requests and the parts that they pass through.

use super::NodeEffect;
use super::run::NodeRun;
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

/// Endpoints that the crash guard may choose from.
const CANDIDATE_LIMIT: usize = 8;
/// Account under which claims of routes that are open to all are kept.
const OPEN_ACCOUNT: &str = "open";

impl NodeRun<'_> {
    pub(super) fn take_request(&mut self, event: RequestEvent) {
        match &event {
            RequestEvent::AttemptEnded {
                ticket,
                attempt,
                outcome,
            } => self.note_attempt(*ticket, *attempt, outcome),
            RequestEvent::Arrived { profile, .. } => self.count_demand(profile),
            _ => {}
        }
        let effects = request::reduce(&mut self.state.requests, event, self.now);
        for effect in effects {
            self.carry_request(effect);
        }
    }

    fn count_demand(&mut self, profile: &RequestProfile) {
        if let RouteTarget::Model { model, .. } = &profile.target {
            let tokens = profile.output.whole();
            self.state.demand.count(model, tokens);
        }
    }

    /// Tells routing and the crash guard that an attempt ended.
    fn note_attempt(
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
        let Some(ticket) = self.state.run_of.remove(&ticket) else {
            return;
        };
        self.take_crash(match outcome {
            AttemptOutcome::Complete { .. } | AttemptOutcome::Rejected => {
                CrashEvent::Completed { ticket }
            }
            AttemptOutcome::NotSent | AttemptOutcome::RefusedNotRun => {
                CrashEvent::Stopped { ticket }
            }
            AttemptOutcome::Broken { .. } => CrashEvent::StreamBroken { ticket },
        });
    }

    fn carry_request(&mut self, effect: RequestEffect) {
        match effect {
            RequestEffect::RequestAdmission { ticket, profile } => self.ask_limit(ticket, &profile),
            RequestEffect::RenewAdmission { ticket, profile } => {
                self.settle(ticket, TokenCount::ZERO);
                self.ask_limit(ticket, &profile);
            }
            RequestEffect::RequestClaim { ticket, profile } => self.ask_claim(ticket, &profile),
            RequestEffect::Dispatch {
                ticket,
                attempt,
                query,
                resume_from,
                deadline,
            } => self.ask_guard(PendingRun {
                ticket,
                attempt,
                query,
                resume_from,
                deadline,
            }),
            RequestEffect::Cancel { ticket, endpoint } => self.cancel(ticket, endpoint),
            RequestEffect::Progress { ticket, tokens } => {
                self.take_limit(LimitEvent::Progress {
                    ticket: TicketId::new(ticket.get()),
                    generated: TokenCount::new(tokens),
                });
            }
            RequestEffect::Settle { ticket, used } => self.settle(ticket, used),
            RequestEffect::CloseClaim { ticket, end } => self.close_claim(ticket, end),
            RequestEffect::Finish { ticket, end } => {
                self.drop_run(ticket);
                self.effects.push(NodeEffect::Finish { ticket, end });
            }
        }
    }

    fn ask_limit(&mut self, ticket: RequestTicket, profile: &RequestProfile) {
        let Some(account) = profile.account.clone() else {
            return;
        };
        self.take_limit(LimitEvent::Request(AdmissionRequest {
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
        self.take_limit(if used == TokenCount::ZERO {
            LimitEvent::Cancel { ticket }
        } else {
            LimitEvent::Settle { ticket, used }
        });
    }

    fn ask_claim(&mut self, ticket: RequestTicket, profile: &RequestProfile) {
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
        self.take_claim(ClaimEvent::Requested {
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
        self.take_claim(event);
    }

    /// Asks the crash guard whether the run may take place.
    fn ask_guard(&mut self, run: PendingRun) {
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
        self.drop_run(run.ticket);
        self.state.run_of.insert(run.ticket, ticket);
        self.state.runs.insert(ticket, run);
        self.take_crash(CrashEvent::RunRequested {
            ticket,
            fingerprint,
            candidates,
            deadline,
        });
    }

    fn wait_for_endpoint(&mut self, ticket: RequestTicket) {
        let RouteError::NoReplica { retry_after } = RouteError::no_replica();
        self.follow_request(RequestEvent::NoEndpoint {
            ticket,
            retry_after,
        });
    }

    /// Dispatches a run, away from endpoints where suspects run alone if another serves it.
    pub(super) fn dispatch_anywhere(&mut self, guard: CrashTicket, avoid: Vec<EndpointId>) {
        if let Some(run) = self.state.runs.get_mut(&guard) {
            run.query.avoided.extend(avoid);
        }
        self.dispatch(guard, None);
    }

    /// Dispatches a run that the crash guard lets pass.
    pub(super) fn dispatch(&mut self, guard: CrashTicket, only: Option<EndpointId>) {
        let Some(run) = self.state.runs.remove(&guard) else {
            return;
        };
        let choice = match only {
            Some(endpoint) => Ok(endpoint),
            None => self.state.routes.choose(&run.query, self.now),
        };
        match choice {
            Ok(endpoint) => self.send_run(guard, run, endpoint),
            Err(_) => {
                self.state.run_of.remove(&run.ticket);
                self.take_crash(CrashEvent::Stopped { ticket: guard });
                self.wait_for_endpoint(run.ticket);
            }
        }
    }

    fn send_run(&mut self, guard: CrashTicket, run: PendingRun, endpoint: EndpointId) {
        let Some(stage) = self.state.requests.get(run.ticket) else {
            return self.take_crash(CrashEvent::Stopped { ticket: guard });
        };
        let fingerprint = stage.profile().fingerprint;
        let is_claimed = stage.dispatched().is_some_and(|stage| stage.is_claimed);
        self.state.routes.record_sent(&endpoint, run.query.prefix);
        self.state
            .requests
            .record_endpoint(run.ticket, endpoint.clone());
        let incarnation = self.incarnation(&endpoint);
        self.take_crash(CrashEvent::Dispatched {
            ticket: guard,
            fingerprint,
            endpoint: endpoint.clone(),
            incarnation,
        });
        self.take_limit(LimitEvent::Started {
            ticket: TicketId::new(run.ticket.get()),
        });
        if is_claimed {
            self.take_claim(ClaimEvent::Dispatched {
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
        guard: CrashTicket,
        reason: EndReason,
        retry_after: Option<clementinepond_types::TimeSpan>,
    ) {
        let Some(run) = self.state.runs.remove(&guard) else {
            return;
        };
        self.state.run_of.remove(&run.ticket);
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
        self.follow_request(RequestEvent::Stopped {
            ticket: run.ticket,
            end,
        });
    }

    fn cancel(&mut self, ticket: RequestTicket, endpoint: Option<EndpointId>) {
        if let Some(endpoint) = &endpoint {
            self.state.routes.record_ended(endpoint, false, self.now);
        }
        self.drop_run(ticket);
        self.effects.push(NodeEffect::Cancel { ticket, endpoint });
    }

    /// Tells the crash guard that the latest run of a request is over.
    fn drop_run(&mut self, ticket: RequestTicket) {
        if let Some(guard) = self.state.run_of.remove(&ticket) {
            self.state.runs.remove(&guard);
            self.take_crash(CrashEvent::Stopped { ticket: guard });
        }
    }
}
