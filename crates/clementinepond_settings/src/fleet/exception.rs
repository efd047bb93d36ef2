//! Exceptions to the fleet-wide defaults.

use clementinepond_types::{AccountId, EndpointId, ModelId};
use serde::{Deserialize, Serialize};

/// Rule that an exception sets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ExceptionChange {
    /// Limits the tokens of an answer to the account.
    AnswerTokens {
        /// Account that the limit applies to.
        account: AccountId,
        /// Maximum number of tokens of an answer.
        limit: u64,
    },
    /// Sets a minimum number of replicas of the model in each data centre.
    ReplicaMinimum {
        /// Model that the rule applies to.
        model: ModelId,
        /// Minimum number of replicas.
        replicas: u32,
    },
    /// Keeps the model on the endpoint.
    Pin {
        /// Model that the rule applies to.
        model: ModelId,
        /// Endpoint that the rule applies to.
        endpoint: EndpointId,
    },
    /// Never places the model on the endpoint.
    Forbid {
        /// Model that the rule applies to.
        model: ModelId,
        /// Endpoint that the rule applies to.
        endpoint: EndpointId,
    },
}

/// Exception to the fleet-wide defaults.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetException {
    /// Rule that the exception sets.
    pub change: ExceptionChange,
    /// Reason for the exception; not blank.
    pub reason: Box<str>,
}
