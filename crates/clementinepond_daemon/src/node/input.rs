//! What the edges send to the node task.

use super::task::WithdrawalAnswer;
use super::{CallerCall, NodeStatus};
use clementinepond_decide::node::NodeEvent;
use clementinepond_decide::request::RequestProfile;
use clementinepond_types::{KeyDigest, RequestTicket};
use tokio::sync::oneshot;

/// What the edges send to the node task.
#[derive(Debug)]
pub(crate) enum NodeInput {
    /// An event without a caller.
    Event(NodeEvent),
    /// A caller's request.
    Arrival {
        ticket: RequestTicket,
        profile: RequestProfile,
        key: Option<KeyDigest>,
        call: CallerCall,
    },
    /// A question of the administration API.
    Status(oneshot::Sender<NodeStatus>),
    /// An operator withdraws a key on this VM.
    Withdrawal {
        key: KeyDigest,
        answer: oneshot::Sender<WithdrawalAnswer>,
    },
}
