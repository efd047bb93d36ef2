//! Inputs of the node task.

use super::task::WithdrawalAnswer;
use super::{CallerCall, NodeStatus};
use clementinepond_decide::node::NodeEvent;
use clementinepond_decide::request::RequestProfile;
use clementinepond_types::{KeyDigest, RequestTicket};
use tokio::sync::oneshot;

/// Input of the node task.
#[derive(Debug)]
pub(crate) enum NodeInput {
    /// Event for the reducer.
    Event(NodeEvent),
    /// New request of a caller.
    Arrival {
        ticket: RequestTicket,
        profile: RequestProfile,
        key: Option<KeyDigest>,
        call: CallerCall,
    },
    /// Status query of the administration API.
    Status(oneshot::Sender<NodeStatus>),
    /// Withdrawal of a key by an operator of this VM.
    Withdrawal {
        key: KeyDigest,
        answer: oneshot::Sender<WithdrawalAnswer>,
    },
}
