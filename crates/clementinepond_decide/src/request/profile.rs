//! What is known of a request when it arrives.

use crate::claim::{BodyFingerprint, KeyDate};
use crate::crash::RequestFingerprint;
use crate::route::{PrefixHash, RouteTarget};
use clementinepond_types::{AccountId, LocalTime, PriorityClass, TokenCount};
use derive_more::Display;

/// Number of one attempt of a request; the first is 1.
#[derive(Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(u32);

impl AttemptNumber {
    /// Returns the plain number.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the number of the next attempt.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Key by which a caller marks repeats of one call.
#[derive(Debug, Clone, PartialEq)]
pub struct IdempotencyKey {
    /// The key as the caller sent it.
    pub key: Box<str>,
    /// Moment that the key names.
    pub date: KeyDate,
    /// Hash of the request body.
    pub fingerprint: BodyFingerprint,
}

/// What is known of a request when it arrives.
#[derive(Debug, Clone)]
pub struct RequestProfile {
    /// Account of the key; `None` on a route that is open to all.
    pub account: Option<AccountId>,
    /// What the request is for.
    pub target: RouteTarget,
    /// Tokens that count when it starts.
    pub prompt: TokenCount,
    /// Most tokens that it can generate.
    pub output: TokenCount,
    /// Priority class.
    pub priority: PriorityClass,
    /// Whether it may be run again after a failure.
    pub repeatable: bool,
    /// Key that marks repeats.
    pub idempotency: Option<IdempotencyKey>,
    /// Hash of account, target and body.
    pub fingerprint: RequestFingerprint,
    /// Prefix of the prompt.
    pub prefix: Option<PrefixHash>,
    /// Moment until which it may wait for admission.
    pub admission_deadline: LocalTime,
    /// Moment at which its life ends.
    pub deadline: LocalTime,
}
