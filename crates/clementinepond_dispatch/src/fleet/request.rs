//! Properties that callers declare in their requests.

use clementinepond_types::{AdapterId, ModelId, RequestId, TimeSpan};
use serde::{Deserialize, Serialize};

/// Model of a request, with its adapter if one is named.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ModelTarget {
    /// Model ID.
    pub model: ModelId,
    /// Adapter of the model; `None` for the base model.
    pub adapter: Option<AdapterId>,
}

/// Tokens that a request declares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenDemand {
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Maximum number of tokens to generate.
    pub output: u64,
}

impl TokenDemand {
    /// Returns the sum of prompt and output tokens.
    #[must_use]
    pub const fn total(self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}

/// Block of a prompt; blocks with equal IDs have equal text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptBlock {
    /// ID of the block's text.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u64,
}

/// Properties that a caller declares of a request.
#[derive(Debug, Clone)]
pub struct RequestProfile {
    /// Request ID of this attempt.
    pub id: Option<RequestId>,
    /// Time that the caller waits, counted from the request's arrival.
    pub timeout: Option<TimeSpan>,
    /// Model and adapter to run.
    pub target: Option<ModelTarget>,
    /// Declared prompt and output tokens.
    pub tokens: Option<TokenDemand>,
    /// Blocks of the prompt in order, from the most widely shared to the request's own.
    pub blocks: Vec<PromptBlock>,
    /// ID of the event after which a stream resumes.
    pub resume_after: Option<u64>,
    /// Request ID of the caller's attempt that brought the first event of the stream.
    pub resumes: Option<RequestId>,
    /// Caller's estimate of the output length, in tokens.
    pub output_hint: Option<u64>,
}
