//! Events of the claim part.

use super::key::{BodyFingerprint, KeyDate, ShardNumber};
use super::message::ClaimMessage;
use super::object::ShardObject;
use super::record::{ClaimTicket, RecordedAnswer};
use crate::port::{ReadReply, StoreReply};
use clementinepond_types::{AccountId, DataCentreId, Epoch, LocalTime, RouteName, VmId};
use serde::{Deserialize, Serialize};

/// Outcome of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The endpoint answered. `None` if the answer is not kept, for example because
    /// it exceeds `answer_limit`.
    Answered(Option<RecordedAnswer>),
    /// The request may have run, but no complete answer arrived.
    Unknown,
}

/// Event of the claim part.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ClaimEvent {
    /// A call with an idempotency key arrived at this VM and requests its claim.
    Requested {
        /// Number of the call; a process must never reuse one.
        ticket: ClaimTicket,
        /// Client account of the call.
        account: AccountId,
        /// Route of the call.
        route: RouteName,
        /// Caller's idempotency key.
        key: Box<str>,
        /// Creation time of the key, from [`super::key_date`].
        date: KeyDate,
        /// Hash of the request body.
        fingerprint: BodyFingerprint,
        /// Latest time at which the call may be dispatched.
        deadline: LocalTime,
    },
    /// The granted call is sent to an endpoint now.
    Dispatched {
        /// Number of the call.
        ticket: ClaimTicket,
    },
    /// The run ended.
    Ended {
        /// Number of the call.
        ticket: ClaimTicket,
        /// Outcome of the run.
        outcome: RunOutcome,
    },
    /// The granted call provably did not run and will not run.
    NotDispatched {
        /// Number of the call.
        ticket: ClaimTicket,
    },
    /// The caller disconnected before the grant.
    Abandoned {
        /// Number of the call.
        ticket: ClaimTicket,
    },
    /// A message arrived from another VM.
    Received {
        /// Sending VM.
        from: VmId,
        /// Received message.
        message: ClaimMessage,
    },
    /// A roster became known; ignored unless its epoch is newer than the known one.
    RosterChanged {
        /// Data centre of the roster.
        data_centre: DataCentreId,
        /// Epoch of the roster.
        epoch: Epoch,
        /// VMs of the data centre among which shards are assigned.
        members: Vec<VmId>,
    },
    /// The conditional update of a shard's object was answered.
    StoreReplied {
        /// Shard of the object.
        shard: ShardNumber,
        /// Number of the write, as in the written object.
        write: u64,
        /// Platform's answer.
        reply: StoreReply<ShardObject>,
    },
    /// The read of a shard's object was answered.
    ReadReplied {
        /// Shard of the object.
        shard: ShardNumber,
        /// Platform's answer.
        reply: ReadReply<ShardObject>,
    },
    /// Periodic event that drives timeouts and resends.
    Tick,
    /// The list of data centres that own shards changed.
    DataCentresChanged(Vec<DataCentreId>),
    /// This VM must hand over its shards because it stops.
    Release,
}
