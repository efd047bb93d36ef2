//! Exceptions to the fleet-wide defaults.

use clementinepond_types::{AccountId, EndpointId, ModelId};
use serde::{Deserialize, Serialize};

/// What an exception changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ExceptionChange {
    /// Most tokens that one answer for the account may have.
    AnswerTokens {
        /// The account.
        account: AccountId,
        /// The limit, in tokens.
        limit: u64,
    },
    /// Fewest replicas of the model in each data centre.
    ReplicaMinimum {
        /// The model.
        model: ModelId,
        /// The fewest replicas.
        replicas: u32,
    },
    /// The model stays on the endpoint.
    Pin {
        /// The model.
        model: ModelId,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The model never goes to the endpoint.
    Forbid {
        /// The model.
        model: ModelId,
        /// The endpoint.
        endpoint: EndpointId,
    },
}

/// One exception.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetException {
    /// What it changes.
    pub change: ExceptionChange,
    /// Why it exists; never empty.
    pub reason: Box<str>,
}
