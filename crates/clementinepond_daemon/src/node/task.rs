//! The loop of the node task.

use super::input::EndpointStatus;
use super::{CallerCall, NodeHandle, NodeInput, NodeStatus};
use crate::clock::LocalClock;
use crate::endpoint::EndpointEdge;
use clementinepond_decide::node::{NodeEffect, NodeEvent, NodeState, reduce};
use clementinepond_decide::request::{DispatchOrder, RequestEnd, RequestEvent};
use clementinepond_types::{EndpointId, KeyDigest, RequestTicket};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Interval between two ticks of the reducer.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// What the node task needs to carry out effects.
pub(crate) struct NodeEdges {
    pub(crate) clock: LocalClock,
    pub(crate) endpoints: EndpointEdge,
    pub(crate) random: ChaCha8Rng,
    pub(crate) handle: NodeHandle,
}

/// A request that runs, with the key that it came with.
struct RunningCall {
    call: CallerCall,
    key: Option<KeyDigest>,
}

struct NodeTask {
    state: NodeState,
    edges: NodeEdges,
    calls: HashMap<RequestTicket, RunningCall>,
}

/// Runs the reducer until the token is cancelled.
pub(crate) async fn run_node(
    state: NodeState,
    edges: NodeEdges,
    mut inputs: mpsc::UnboundedReceiver<NodeInput>,
    cancellation: CancellationToken,
) {
    let mut task = NodeTask {
        state,
        edges,
        calls: HashMap::new(),
    };
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            () = cancellation.cancelled() => return,
            input = inputs.recv() => match input {
                Some(input) => task.take(input),
                None => return,
            },
            _ = ticks.tick() => task.tick(),
        }
    }
}

impl NodeTask {
    fn take(&mut self, input: NodeInput) {
        match input {
            NodeInput::Event(event) => self.reduce(event),
            NodeInput::Arrival {
                ticket,
                profile,
                key,
                call,
            } => {
                self.calls.insert(ticket, RunningCall { call, key });
                let seed = self.edges.random.random();
                self.reduce(NodeEvent::Request(RequestEvent::Arrived {
                    ticket,
                    profile,
                    seed,
                }));
            }
            NodeInput::Status(sender) => {
                // The asker may have gone.
                let _ = sender.send(self.status());
            }
            NodeInput::KeysWithdrawn(keys) => self.withdraw(&keys),
        }
    }

    fn tick(&mut self) {
        let seed = self.edges.random.random();
        self.reduce(NodeEvent::Tick { seed });
    }

    fn reduce(&mut self, event: NodeEvent) {
        let now = self.edges.clock.now();
        for effect in reduce(&mut self.state, event, now) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: NodeEffect) {
        match effect {
            NodeEffect::Dispatch(order) => self.dispatch(order),
            NodeEffect::Cancel { ticket, endpoint } => self.cancel(ticket, endpoint),
            NodeEffect::Finish { ticket, end } => self.finish(ticket, end),
        }
    }

    fn dispatch(&mut self, order: DispatchOrder) {
        let Some(running) = self.calls.get(&order.ticket) else {
            return;
        };
        self.edges
            .endpoints
            .start_attempt(order, &running.call, &self.edges.handle);
    }

    fn cancel(&mut self, ticket: RequestTicket, endpoint: Option<EndpointId>) {
        let Some(running) = self.calls.get(&ticket) else {
            return;
        };
        running.call.cancellation.cancel();
        if let Some(endpoint) = endpoint {
            let request_id = running.call.body.request_id.clone();
            self.edges.endpoints.cancel(endpoint, request_id);
        }
    }

    fn finish(&mut self, ticket: RequestTicket, end: RequestEnd) {
        if let Some(running) = self.calls.remove(&ticket) {
            running.call.cancellation.cancel();
            // The caller may have gone.
            let _ = running.call.end.send(end);
        }
    }

    fn withdraw(&mut self, keys: &[KeyDigest]) {
        let tickets: Vec<RequestTicket> = self
            .calls
            .iter()
            .filter(|(_, running)| running.key.is_some_and(|key| keys.contains(&key)))
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in tickets {
            log::info!("event=request_ended ticket={ticket} reason=key_withdrawn");
            self.reduce(NodeEvent::Request(RequestEvent::KeyWithdrawn { ticket }));
        }
    }

    fn status(&self) -> NodeStatus {
        let endpoints = self.state.routes.endpoints.iter();
        NodeStatus {
            running_requests: self.state.requests.len(),
            endpoints: endpoints
                .map(|(id, state)| EndpointStatus::new(id, state))
                .collect(),
        }
    }
}
