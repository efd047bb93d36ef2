//! What claims ask their edge to do.

use super::key::ShardNumber;
use super::message::ClaimMessage;
use super::object::ShardObject;
use super::record::{ClaimTicket, RecordedAnswer};
use clementinepond_types::{LocalTime, ObjectVersion, VmId};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Reason for which a call was refused; the call itself did not run.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRefusal {
    /// The key was used before with another body.
    #[display(
        "idempotency key was used with another request body; use a new key for a new request"
    )]
    FingerprintMismatch,
    /// The key names a moment before the retention window.
    #[display(
        "idempotency key is older than the retention window; check whether the request ran before you send it under a new key"
    )]
    KeyTooOld,
    /// The key names a moment in the future.
    #[display("idempotency key is dated in the future; correct the clock that makes the keys")]
    KeyFromFuture,
    /// The shard has no room for another claim.
    #[display("claim store is full; send the request again later with the same key")]
    Full,
    /// The records of the shard were lost, and the key may be among them.
    #[display(
        "claims of this key's shard were lost; use a version 7 UUID made now, or wait for the retention window"
    )]
    Quarantined,
    /// The shard's owner did not answer.
    #[display("claim owner is not reachable; send the request again later with the same key")]
    OwnerUnreachable,
    /// The call's deadline came before the claim was granted.
    #[display(
        "claim was not granted before the deadline; send the request again with the same key"
    )]
    DeadlinePassed,
    /// The caller went away before the claim was granted.
    #[display("caller went away before the claim was granted")]
    Abandoned,
}

impl ClaimRefusal {
    /// Returns whether no earlier call under the key can have run either.
    ///
    /// Otherwise the refusal speaks for this call alone, and the caller must
    /// repeat it with the same key.
    #[must_use]
    pub const fn rules_out_earlier_run(self) -> bool {
        matches!(self, Self::Full)
    }
}

/// Reason for which an outcome is unknown.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The first call under the key is still running.
    #[display("a call with this key is still running; ask again with the same key")]
    StillRunning,
    /// The first call under the key ended without a known outcome.
    #[display("a call with this key may have run; check its effect before you use a new key")]
    OutcomeLost,
}

/// One effect of claims.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ClaimEffect {
    /// The call may leave for an endpoint until the deadline, and no later.
    Granted {
        /// Number of the call.
        ticket: ClaimTicket,
        /// Latest moment of dispatch.
        deadline: LocalTime,
    },
    /// The call did not run and will not.
    Refused {
        /// Number of the call.
        ticket: ClaimTicket,
        /// Reason.
        reason: ClaimRefusal,
    },
    /// The key's call already ran.
    Replay {
        /// Number of the call.
        ticket: ClaimTicket,
        /// Its answer, if it is still held.
        answer: Option<RecordedAnswer>,
    },
    /// The key's call may have run and will not run again.
    Unknown {
        /// Number of the call.
        ticket: ClaimTicket,
        /// Reason.
        reason: UnknownReason,
    },
    /// Send a message to another VM.
    Send {
        /// Receiver.
        to: VmId,
        /// Message.
        message: ClaimMessage,
    },
    /// Read a shard's object.
    Read {
        /// Shard.
        shard: ShardNumber,
    },
    /// Update a shard's object if it has the expected version.
    Store {
        /// Shard.
        shard: ShardNumber,
        /// Expected version; `None` creates the object.
        expected: Option<ObjectVersion>,
        /// New value.
        object: ShardObject,
    },
    /// Every shard of this VM is handed over.
    Released,
}
