//! Handle to the node task.

use super::{NodeInput, NodeStatus, WithdrawalAnswer};
use clementinepond_decide::node::NodeEvent;
use clementinepond_types::{KeyDigest, RequestTicket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, oneshot};

/// Handle through which other tasks send inputs to the node task.
#[derive(Debug, Clone)]
pub(crate) struct NodeHandle {
    inputs: mpsc::UnboundedSender<NodeInput>,
    next_ticket: Arc<AtomicU64>,
}

impl NodeHandle {
    pub(crate) fn new(inputs: mpsc::UnboundedSender<NodeInput>) -> Self {
        Self {
            inputs,
            next_ticket: Arc::new(AtomicU64::new(1)),
        }
    }

    pub(crate) fn new_ticket(&self) -> RequestTicket {
        RequestTicket::new(self.next_ticket.fetch_add(1, Ordering::Relaxed))
    }

    /// Sends an input, or drops it if the node task has stopped.
    pub(crate) fn send(&self, input: NodeInput) {
        if self.inputs.send(input).is_err() {
            log::debug!("event=input_dropped reason=node_stopped");
        }
    }

    pub(crate) fn send_event(&self, event: NodeEvent) {
        self.send(NodeInput::Event(event));
    }

    /// Withdraws a key on this VM.
    ///
    /// Returns the number of copies of the withdrawal on other VMs, or as error the limit of
    /// pending withdrawals if it is reached; none if the node task has stopped.
    pub(crate) async fn withdraw(&self, key: KeyDigest) -> Option<WithdrawalAnswer> {
        let (answer, receiver) = oneshot::channel();
        self.send(NodeInput::Withdrawal { key, answer });
        receiver.await.ok()
    }

    pub(crate) async fn status(&self) -> Option<NodeStatus> {
        let (sender, receiver) = oneshot::channel();
        self.send(NodeInput::Status(sender));
        receiver.await.ok()
    }
}
