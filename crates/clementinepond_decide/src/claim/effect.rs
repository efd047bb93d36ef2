//! Effects of the claim part, to be executed by the I/O layer.

use super::key::ShardNumber;
use super::message::ClaimMessage;
use super::object::ShardObject;
use super::record::{ClaimTicket, RecordedAnswer};
use clementinepond_types::{LocalTime, ObjectVersion, VmId};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Reason why a claim was refused; the call itself did not run.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRefusal {
    /// The key was used before with another request body.
    #[display(
        "idempotency key was used with another request body; use a new key for a new request"
    )]
    FingerprintMismatch,
    /// The key was created before the retention window.
    #[display(
        "idempotency key is older than the retention window; check whether the request ran before you send it under a new key"
    )]
    KeyTooOld,
    /// The key's creation time is too far in the future.
    #[display(
        "idempotency key has a creation time in the future; correct the clock that generates the keys"
    )]
    KeyFromFuture,
    /// The shard object has reached its size limit.
    #[display("claim store is full; send the request again later with the same key")]
    Full,
    /// The records of the shard were lost, and a call under the key may be among them.
    #[display(
        "claim records for this key were lost; use a new version 7 UUID as the key, or wait until the retention window has passed"
    )]
    Quarantined,
    /// The shard's owner did not grant or refuse the claim within `owner_wait`.
    #[display("claim owner did not answer in time; send the request again later with the same key")]
    OwnerUnreachable,
    /// The call's deadline came before the claim was granted.
    #[display(
        "claim was not granted before the deadline; send the request again with the same key"
    )]
    DeadlinePassed,
    /// The caller disconnected before the claim was granted.
    #[display("caller disconnected before the claim was granted")]
    Abandoned,
}

impl ClaimRefusal {
    /// Returns whether the refusal implies that no earlier call under the key ran.
    ///
    /// For other reasons only this call is known not to have run, and the caller
    /// must retry with the same key.
    #[must_use]
    pub const fn rules_out_earlier_run(self) -> bool {
        matches!(self, Self::Full)
    }
}

/// Reason why the outcome of a call is unknown.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnknownReason {
    /// Another call under the key had not ended when this one stopped waiting.
    #[display(
        "a call with this key is still running; send the request again later with the same key"
    )]
    StillRunning,
    /// An earlier call under the key ended without a known outcome.
    #[display(
        "a call with this key may have run; check its effect before you send it under a new key"
    )]
    OutcomeLost,
}

/// Effect of the claim part.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ClaimEffect {
    /// The call may be sent to an endpoint until the deadline.
    Granted {
        /// Number of the call.
        ticket: ClaimTicket,
        /// Latest time at which the call may be dispatched.
        deadline: LocalTime,
    },
    /// The call did not run and must not run.
    Refused {
        /// Number of the call.
        ticket: ClaimTicket,
        /// Why the claim was refused.
        reason: ClaimRefusal,
    },
    /// An earlier call under the key has run; this one must not.
    Replay {
        /// Number of the call.
        ticket: ClaimTicket,
        /// Answer of the earlier call; `None` if it is no longer kept.
        answer: Option<RecordedAnswer>,
    },
    /// An earlier call under the key may have run; this one must not.
    Unknown {
        /// Number of the call.
        ticket: ClaimTicket,
        /// Why the outcome is unknown.
        reason: UnknownReason,
    },
    /// Send a message to another VM.
    Send {
        /// Receiving VM.
        to: VmId,
        /// Message to send.
        message: ClaimMessage,
    },
    /// Read a shard's object; answer with `ReadReplied`.
    Read {
        /// Number of the shard.
        shard: ShardNumber,
    },
    /// Update a shard's object if it has the expected version; answer with
    /// `StoreReplied`.
    Store {
        /// Number of the shard.
        shard: ShardNumber,
        /// Expected version; `None` creates the object.
        expected: Option<ObjectVersion>,
        /// New content.
        object: ShardObject,
    },
    /// The platform holds all claims of the shards that this VM released.
    Released,
}
