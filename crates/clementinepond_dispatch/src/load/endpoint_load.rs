//! Load that one VM, or all of them, put on one endpoint.

use serde::{Deserialize, Serialize};

/// Load on one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// Requests sent and not yet ended.
    pub runs: u32,
    /// Tokens of prompts and outputs that the runs may come to hold.
    pub context_tokens: u32,
}

impl EndpointLoad {
    /// Adds another share.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            runs: self.runs.saturating_add(other.runs),
            context_tokens: self.context_tokens.saturating_add(other.context_tokens),
        }
    }

    /// Takes a share off, stopping at zero.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            runs: self.runs.saturating_sub(other.runs),
            context_tokens: self.context_tokens.saturating_sub(other.context_tokens),
        }
    }
}
