//! Properties of a request, known when it arrives.

use crate::claim::{BodyFingerprint, KeyDate};
use crate::crash::RequestFingerprint;
use crate::route::{PrefixHash, RouteTarget};
use clementinepond_types::{AccountId, LocalTime, PriorityClass, TokenCount};
use derive_more::Display;

/// Number of an attempt; 1 for the first one after each admission. A choice that finds
/// no endpoint counts too.
#[derive(Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(u32);

impl AttemptNumber {
    /// Returns the number as an integer.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }

    /// Returns the number of the next attempt; stays at the maximum.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Key by which a caller marks retries of one call.
#[derive(Debug, Clone, PartialEq)]
pub struct IdempotencyKey {
    /// The key as the caller sent it.
    pub key: Box<str>,
    /// Date that the key contains, if any.
    pub date: KeyDate,
    /// Hash of the request body.
    pub fingerprint: BodyFingerprint,
}

/// Properties of a request, known when it arrives.
#[derive(Debug, Clone)]
pub struct RequestProfile {
    /// Client account of the caller's key; `None` on a route that needs no key.
    pub account: Option<AccountId>,
    /// Model or service that the request addresses.
    pub target: RouteTarget,
    /// Tokens of the prompt, reserved at admission.
    pub prompt: TokenCount,
    /// Largest number of tokens that it can generate, reserved at admission.
    pub output: TokenCount,
    /// Priority class of the request.
    pub priority: PriorityClass,
    /// Whether it may be retried after an attempt that may have run.
    pub repeatable: bool,
    /// Idempotency key, if the caller sent one.
    pub idempotency: Option<IdempotencyKey>,
    /// Hash of account, target and body.
    pub fingerprint: RequestFingerprint,
    /// Hash of the prompt's prefix; `None` if prefix caches do not apply.
    pub prefix: Option<PrefixHash>,
    /// Time until which it may wait for admission, and for an endpoint while no
    /// attempt may have run.
    pub admission_deadline: LocalTime,
    /// Time at which it ends if it has not ended before.
    pub deadline: LocalTime,
}
