//! The function from an event to effects.

use super::{NodeEffect, NodeEvent, NodeState};
use crate::request::{
    self, AttemptNumber, AttemptOutcome, DispatchOrder, RequestEffect, RequestEvent, RequestStage,
};
use crate::route::{PrefixHash, RouteError, RouteQuery};
use clementinepond_types::{EndpointId, LocalTime, RequestTicket};
use std::collections::VecDeque;

/// Takes one event and returns what the edges must do.
pub fn reduce(state: &mut NodeState, event: NodeEvent, now: LocalTime) -> Vec<NodeEffect> {
    let mut run = NodeRun {
        state,
        now,
        pending: VecDeque::from([event]),
        effects: Vec::new(),
    };
    while let Some(event) = run.pending.pop_front() {
        run.take(event);
    }
    run.effects
}

/// One event and all that follows from it at once.
struct NodeRun<'a> {
    state: &'a mut NodeState,
    now: LocalTime,
    pending: VecDeque<NodeEvent>,
    effects: Vec<NodeEffect>,
}

impl NodeRun<'_> {
    fn take(&mut self, event: NodeEvent) {
        match event {
            NodeEvent::Request(event) => self.take_request(event),
            NodeEvent::EndpointsConfigured(profiles) => self.state.routes.configure(profiles),
            NodeEvent::EndpointReported { endpoint, report } => {
                self.state.routes.take_report(&endpoint, report, self.now);
            }
            NodeEvent::CacheChanged {
                endpoint,
                sequence,
                prefix,
                stored,
            } => self.take_cache(&endpoint, sequence, prefix, stored),
            NodeEvent::Tick { seed } => self.take_request(RequestEvent::Tick { seed }),
        }
    }

    fn take_request(&mut self, event: RequestEvent) {
        if let RequestEvent::AttemptEnded {
            ticket,
            attempt,
            outcome,
        } = &event
        {
            self.note_attempt(*ticket, *attempt, outcome);
        }
        let effects = request::reduce(&mut self.state.requests, event, self.now);
        for effect in effects {
            self.carry(effect);
        }
    }

    /// Tells the route table that an endpoint ended an attempt.
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
        self.state.routes.note_ended(&endpoint, failed, self.now);
    }

    fn carry(&mut self, effect: RequestEffect) {
        match effect {
            RequestEffect::AskGuard { ticket, .. } => {
                self.follow(RequestEvent::GuardPassed { ticket });
            }
            RequestEffect::AskLimit { ticket, profile } => self.follow(RequestEvent::Admitted {
                ticket,
                deadline: profile.deadline,
            }),
            RequestEffect::AskClaim { ticket, profile } => {
                self.follow(RequestEvent::ClaimGranted {
                    ticket,
                    deadline: profile.deadline,
                });
            }
            RequestEffect::Dispatch {
                ticket,
                attempt,
                query,
                resume_from,
                deadline,
            } => self.dispatch(ticket, attempt, &query, resume_from, deadline),
            RequestEffect::Cancel { ticket, endpoint } => self.cancel(ticket, endpoint),
            RequestEffect::Finish { ticket, end } => {
                self.effects.push(NodeEffect::Finish { ticket, end });
            }
            RequestEffect::Progress { .. }
            | RequestEffect::Settle { .. }
            | RequestEffect::CloseClaim { .. } => {}
        }
    }

    fn cancel(&mut self, ticket: RequestTicket, endpoint: Option<EndpointId>) {
        if let Some(endpoint) = &endpoint {
            self.state.routes.note_ended(endpoint, false, self.now);
        }
        self.effects.push(NodeEffect::Cancel { ticket, endpoint });
    }

    fn follow(&mut self, event: RequestEvent) {
        self.pending.push_back(NodeEvent::Request(event));
    }

    fn dispatch(
        &mut self,
        ticket: RequestTicket,
        attempt: AttemptNumber,
        query: &RouteQuery,
        resume_from: u64,
        deadline: LocalTime,
    ) {
        match self.state.routes.choose(query, self.now) {
            Ok(endpoint) => {
                self.state.routes.note_sent(&endpoint, query.prefix);
                self.state.requests.note_endpoint(ticket, endpoint.clone());
                self.effects.push(NodeEffect::Dispatch(DispatchOrder {
                    ticket,
                    attempt,
                    endpoint,
                    resume_from,
                    deadline,
                }));
            }
            Err(RouteError::NoReplica { retry_after }) => {
                self.follow(RequestEvent::NoEndpoint {
                    ticket,
                    retry_after,
                });
            }
        }
    }

    fn take_cache(
        &mut self,
        endpoint: &EndpointId,
        sequence: u64,
        prefix: PrefixHash,
        stored: bool,
    ) {
        let limit = self.state.routes.settings.prefix_limit;
        let Some(state) = self.state.routes.endpoints.get_mut(endpoint) else {
            return;
        };
        state.prefixes.observe_sequence(sequence);
        if stored {
            state.prefixes.insert(prefix, limit);
        } else {
            state.prefixes.remove(prefix);
        }
    }
}
