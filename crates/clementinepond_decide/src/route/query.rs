//! What a request needs of an endpoint.

use super::PrefixHash;
use clementinepond_types::{AdapterId, EndpointId, ModelId, RouteName, TimeSpan};
use derive_more::{Display, Error};
use std::collections::BTreeSet;

/// What a request is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteTarget {
    /// A model, with an adapter or without.
    Model {
        /// The model.
        model: ModelId,
        /// The adapter, when the caller named one.
        adapter: Option<AdapterId>,
    },
    /// A plain service.
    Service(RouteName),
}

/// What a request needs of an endpoint.
#[derive(Debug, Clone)]
pub struct RouteQuery {
    /// What the request is for.
    pub target: RouteTarget,
    /// Prefix of the prompt.
    pub prefix: Option<PrefixHash>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Endpoints that failed this request.
    pub excluded: BTreeSet<EndpointId>,
    /// Endpoints used only when no other serves the target.
    pub avoided: BTreeSet<EndpointId>,
    /// Random number for the choice.
    pub seed: u64,
}

/// Time after which a caller may ask again for a target without a replica.
const NO_REPLICA_RETRY: TimeSpan = TimeSpan::from_secs(2);

/// Reason for which no endpoint can be named.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum RouteError {
    /// No endpoint serves the target now.
    #[display("no endpoint serves it now; send it again after {retry_after}")]
    NoReplica {
        /// Time after which another try makes sense.
        retry_after: TimeSpan,
    },
}

impl RouteError {
    /// The error when no endpoint serves the target.
    #[must_use]
    pub const fn none() -> Self {
        Self::NoReplica {
            retry_after: NO_REPLICA_RETRY,
        }
    }
}
