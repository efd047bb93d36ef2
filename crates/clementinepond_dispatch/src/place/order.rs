//! Orders to endpoints and their answers.

use crate::fleet::HostedModel;
use clementinepond_types::{AdapterId, EndpointId, ModelId};
use std::net::SocketAddrV4;

/// Operation ordered of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum EndpointOrder {
    /// Load a model's newest weights.
    LoadModel(ModelId),
    /// Finish a model's runs and drop it.
    UnloadModel(ModelId),
    /// Load an adapter of a model that is there.
    LoadAdapter(ModelId, AdapterId),
    /// Drop an adapter.
    UnloadAdapter(ModelId, AdapterId),
}

/// An order on its way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentOrder {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddrV4,
    /// Order.
    pub order: EndpointOrder,
    /// Orders that the endpoint must have accepted before; makes a late copy
    /// of the order fail.
    pub after: u64,
    /// Fencing number of the holder.
    pub fence: u64,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// It is being carried out.
    Accepted,
    /// The endpoint is already in the requested state.
    Holds,
    /// Another order is under way, or the count of orders differs.
    Conflict,
    /// The endpoint refuses it for good.
    Refused,
    /// The address belongs to another endpoint.
    Stranger,
    /// No connection was made; the order was not sent.
    NotSent,
    /// No answer; it may be carried out later.
    Unknown,
}

/// An endpoint's own account of its state.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointStatus {
    /// Models with their adapters.
    pub models: Vec<HostedModel>,
    /// Whether an order is under way.
    pub is_busy: bool,
    /// Orders accepted.
    pub order_count: u64,
    /// Adapters in transit, as model and adapter.
    pub pending: Vec<(ModelId, AdapterId)>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}
