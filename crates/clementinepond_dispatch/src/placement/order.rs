//! Orders to endpoints and the replies.

use crate::fleet::HostedModel;
use clementinepond_types::{AdapterId, EndpointId, ModelId};
use std::net::SocketAddrV4;

/// Operation that an endpoint is ordered to perform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum EndpointOrder {
    /// Load the newest version of a model's weights.
    LoadModel(ModelId),
    /// Unload a model once its running requests have ended.
    UnloadModel(ModelId),
    /// Load an adapter of a model that the endpoint holds.
    LoadAdapter(ModelId, AdapterId),
    /// Unload an adapter.
    UnloadAdapter(ModelId, AdapterId),
}

/// Order as it is sent to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentOrder {
    /// Endpoint that receives the order.
    pub endpoint: EndpointId,
    /// Address of the endpoint.
    pub address: SocketAddrV4,
    /// Operation to perform.
    pub order: EndpointOrder,
    /// Number of orders that the endpoint must have accepted before this one; the
    /// endpoint rejects a delayed duplicate, whose number no longer matches.
    pub after: u64,
    /// Fencing number of the lease holder.
    pub fence: u64,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The endpoint performs the order.
    Accepted,
    /// The endpoint is already in the requested state; in reply to the unload of an
    /// adapter, it may have unloaded an idle one at once.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The endpoint rejects the order permanently.
    Refused,
    /// The address belongs to another endpoint.
    Stranger,
    /// No connection was made, so the order was not sent.
    NotSent,
    /// No reply came; the order may still be performed.
    Unknown,
}

/// State that an endpoint reports about itself.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStatus {
    /// Loaded models, each with its loaded adapters.
    pub models: Vec<HostedModel>,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Number of orders that the endpoint has accepted.
    pub order_count: u64,
    /// Adapters being loaded, as model and adapter.
    pub pending: Vec<(ModelId, AdapterId)>,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
}
