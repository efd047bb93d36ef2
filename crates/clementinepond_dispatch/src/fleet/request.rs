//! Requests as callers declare them.

use clementinepond_types::{AdapterId, ModelId, RequestId, TimeSpan};
use serde::{Deserialize, Serialize};

/// Model, and adapter where one is named.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ModelTarget {
    /// Model.
    pub model: ModelId,
    /// Adapter of that model.
    pub adapter: Option<AdapterId>,
}

/// Tokens that a request declares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TokenDemand {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Largest number of tokens to generate.
    pub output: u64,
}

impl TokenDemand {
    /// Returns prompt and output together.
    #[must_use]
    pub const fn total(self) -> u64 {
        self.prompt.saturating_add(self.output)
    }
}

/// One part of a prompt; equal identities stand for equal text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptBlock {
    /// Identity.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// What a caller declares of a request.
#[derive(Debug, Clone)]
pub struct RequestProfile {
    /// Identity of the caller's attempt.
    pub id: Option<RequestId>,
    /// How long the caller waits, counted from the arrival.
    pub timeout: Option<TimeSpan>,
    /// Model to run.
    pub target: Option<ModelTarget>,
    /// Tokens declared.
    pub tokens: Option<TokenDemand>,
    /// Parts of the prompt in order, from the most widely shared to its own.
    pub blocks: Vec<PromptBlock>,
    /// Event after which a stream resumes.
    pub resume_after: Option<u64>,
    /// Caller's estimate of the output, in tokens.
    pub output_hint: Option<u64>,
}
