//! Load that the requests of one or all VMs put on an endpoint.

use serde::{Deserialize, Serialize};

/// Load on one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Number of requests sent and not yet ended.
    pub runs: u32,
    /// Prompt and output tokens that these requests may occupy in the KV cache.
    pub context_tokens: u32,
}

impl EndpointLoad {
    /// Returns the sum of two loads.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            runs: self.runs.saturating_add(other.runs),
            context_tokens: self.context_tokens.saturating_add(other.context_tokens),
        }
    }

    /// Returns the difference of two loads, with zero as the lower bound.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            runs: self.runs.saturating_sub(other.runs),
            context_tokens: self.context_tokens.saturating_sub(other.context_tokens),
        }
    }
}
