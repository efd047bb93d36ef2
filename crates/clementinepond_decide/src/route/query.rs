//! Requirements of a request for its endpoint.

use super::PrefixHash;
use clementinepond_types::{AdapterId, EndpointId, ModelId, RouteName, TimeSpan};
use derive_more::{Display, Error};
use std::collections::BTreeSet;

/// Model or service that a request addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteTarget {
    /// A model, with an adapter or without.
    Model {
        /// Model that answers.
        model: ModelId,
        /// Adapter, if the caller named one.
        adapter: Option<AdapterId>,
    },
    /// A service that is not a model, by its route.
    Service(RouteName),
}

/// Requirements of a request for its endpoint.
#[derive(Debug, Clone)]
pub struct RouteQuery {
    /// Model or service that the request addresses.
    pub target: RouteTarget,
    /// Hash of the prompt's prefix; `None` if prefix caches do not apply.
    pub prefix: Option<PrefixHash>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Endpoints that must not be used, because they failed this request.
    pub excluded: BTreeSet<EndpointId>,
    /// Endpoints that are used only when no other serves the target.
    pub avoided: BTreeSet<EndpointId>,
    /// Random number that selects the candidates.
    pub seed: u64,
}

/// Time after which a caller may retry a request whose target has no replica.
const NO_REPLICA_RETRY: TimeSpan = TimeSpan::from_secs(2);

/// Reason why no endpoint was chosen.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum RouteError {
    /// No endpoint serves the target.
    #[display(
        "no endpoint serves the requested model or service at present; retry after {retry_after}"
    )]
    NoReplica {
        /// Time after which a retry is useful.
        retry_after: TimeSpan,
    },
}

impl RouteError {
    /// Creates the error for a target that no endpoint serves.
    #[must_use]
    pub const fn no_replica() -> Self {
        Self::NoReplica {
            retry_after: NO_REPLICA_RETRY,
        }
    }
}
