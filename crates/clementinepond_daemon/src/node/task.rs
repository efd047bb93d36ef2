//! Event loop of the node task.

use super::{CallerCall, NodeHandle, NodeInput};
use crate::clock::LocalClock;
use crate::configuration::ActiveConfiguration;
use crate::endpoint::EndpointClient;
use crate::peer::PeerSender;
use crate::platform::PlatformWorker;
use clementinepond_decide::configuration::ConfigurationEvent;
use clementinepond_decide::node::{NodeEffect, NodeEvent, NodeState, reduce};
use clementinepond_decide::plan::PlanStatus;
use clementinepond_decide::request::RequestEvent;
use clementinepond_types::{KeyDigest, RequestTicket};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

/// Interval between two ticks of the reducer.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Clients and shared state through which the node task carries out effects.
pub(crate) struct NodeIo {
    pub(crate) clock: LocalClock,
    pub(crate) endpoints: EndpointClient,
    pub(crate) peers: PeerSender,
    pub(crate) platform: PlatformWorker,
    pub(crate) active_configuration: ActiveConfiguration,
    pub(crate) random: ChaCha8Rng,
    pub(crate) handle: NodeHandle,
    /// Token that is cancelled once the VM has released what it holds.
    pub(crate) released: CancellationToken,
    /// Whether the load balancer may send callers to this VM.
    pub(crate) ready: watch::Sender<bool>,
}

/// Request that has not ended, with the key that it was made with.
pub(super) struct RunningCall {
    pub(super) call: CallerCall,
    pub(super) key: Option<KeyDigest>,
}

/// Result of a withdrawal: the number of copies on other VMs, or the limit of pending
/// withdrawals if it is reached.
pub(crate) type WithdrawalAnswer = Result<usize, usize>;

pub(super) struct NodeTask {
    pub(super) state: NodeState,
    pub(super) io: NodeIo,
    pub(super) calls: HashMap<RequestTicket, RunningCall>,
    pub(super) withdrawals: HashMap<u64, oneshot::Sender<WithdrawalAnswer>>,
    pub(super) next_withdrawal: u64,
    pub(super) plan: Option<Box<PlanStatus>>,
}

/// Runs the reducer until the token is cancelled.
pub(crate) async fn run_node(
    state: NodeState,
    io: NodeIo,
    mut inputs: mpsc::UnboundedReceiver<NodeInput>,
    cancellation: CancellationToken,
) {
    let mut task = NodeTask {
        state,
        io,
        calls: HashMap::new(),
        withdrawals: HashMap::new(),
        next_withdrawal: 0,
        plan: None,
    };
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            () = cancellation.cancelled() => return,
            input = inputs.recv() => match input {
                Some(input) => task.handle_input(input),
                None => return,
            },
            _ = ticks.tick() => task.tick(),
        }
    }
}

impl NodeTask {
    fn handle_input(&mut self, input: NodeInput) {
        match input {
            NodeInput::Event(event) => self.reduce(event),
            NodeInput::Arrival {
                ticket,
                profile,
                key,
                call,
            } => {
                self.calls.insert(ticket, RunningCall { call, key });
                self.reduce(NodeEvent::Request(RequestEvent::Arrived {
                    ticket,
                    profile,
                }));
            }
            NodeInput::Status(sender) => {
                // The receiver is gone if the operator has disconnected.
                let _ = sender.send(self.status());
            }
            NodeInput::Withdrawal { key, answer } => self.request_withdrawal(key, answer),
        }
    }

    fn tick(&mut self) {
        let seed = self.io.random.random();
        self.reduce(NodeEvent::Tick { seed });
        let is_ready = self.state.is_ready();
        self.io
            .ready
            .send_if_modified(|ready| std::mem::replace(ready, is_ready) != is_ready);
    }

    pub(super) fn reduce(&mut self, event: NodeEvent) {
        let now = self.io.clock.now();
        for effect in reduce(&mut self.state, event, now) {
            self.handle_effect(effect);
        }
    }

    fn handle_effect(&mut self, effect: NodeEffect) {
        match effect {
            NodeEffect::Dispatch(order) => self.dispatch(order),
            NodeEffect::Cancel { ticket, endpoint } => self.cancel(ticket, endpoint),
            NodeEffect::Finish { ticket, end } => self.finish(ticket, end),
            NodeEffect::Send { to, message } => self.io.peers.send(to, *message),
            NodeEffect::SendAddress { address, message } => {
                self.io.peers.send_address(address, *message);
            }
            NodeEffect::Roster(effect) => self.handle_roster_effect(effect),
            NodeEffect::Configuration(effect) => self.handle_configuration_effect(effect),
            NodeEffect::Claim(effect) => self.io.platform.claim(effect),
            NodeEffect::Crash(effect) => self.handle_crash_effect(effect),
            NodeEffect::Plan(effect) => self.handle_plan_effect(effect),
            NodeEffect::Released => self.io.released.cancel(),
        }
    }

    fn request_withdrawal(&mut self, key: KeyDigest, answer: oneshot::Sender<WithdrawalAnswer>) {
        self.next_withdrawal += 1;
        let request = self.next_withdrawal;
        self.withdrawals.insert(request, answer);
        self.reduce(NodeEvent::Configuration(
            ConfigurationEvent::WithdrawalRequested {
                request,
                keys: vec![key],
            },
        ));
    }
}
