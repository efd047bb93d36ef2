//! What can happen to claims.

use super::key::{BodyFingerprint, KeyDate, ShardNumber};
use super::message::ClaimMessage;
use super::object::ShardObject;
use super::record::{ClaimTicket, RecordedAnswer};
use crate::port::{ReadReply, StoreReply};
use clementinepond_types::{AccountId, DataCentreId, Epoch, LocalTime, RouteName, VmId};
use serde::{Deserialize, Serialize};

/// End of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The endpoint answered; the answer is kept if it is small enough.
    Answered(Option<RecordedAnswer>),
    /// The request may have run; no complete answer came.
    Unknown,
}

/// One event of claims.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ClaimEvent {
    /// A keyed call arrived at this VM.
    Requested {
        /// Number of the call; never used twice by one process.
        ticket: ClaimTicket,
        /// Client account of the call.
        account: AccountId,
        /// Route of the call.
        route: RouteName,
        /// The caller's idempotency key.
        key: Box<str>,
        /// Moment that the key names, from [`super::key_date`].
        date: KeyDate,
        /// Hash of the request body.
        fingerprint: BodyFingerprint,
        /// Latest moment of dispatch.
        deadline: LocalTime,
    },
    /// The granted call leaves for an endpoint now.
    Dispatched {
        /// Number of the call.
        ticket: ClaimTicket,
    },
    /// The run ended.
    Ended {
        /// Number of the call.
        ticket: ClaimTicket,
        /// How it ended.
        outcome: RunOutcome,
    },
    /// The granted call provably ran nowhere and will not.
    NotDispatched {
        /// Number of the call.
        ticket: ClaimTicket,
    },
    /// The caller of a call that is not yet granted went away.
    Abandoned {
        /// Number of the call.
        ticket: ClaimTicket,
    },
    /// A message came from another VM.
    Received {
        /// Sender.
        from: VmId,
        /// Message.
        message: ClaimMessage,
    },
    /// A roster was learned.
    RosterChanged {
        /// Data centre of the roster.
        data_centre: DataCentreId,
        /// Generation of the roster.
        epoch: Epoch,
        /// VMs that own shards.
        members: Vec<VmId>,
    },
    /// A conditional update was answered.
    StoreReplied {
        /// Shard of the object.
        shard: ShardNumber,
        /// Number of the write, from the object that was sent.
        write: u64,
        /// Answer.
        reply: StoreReply<ShardObject>,
    },
    /// A read was answered.
    ReadReplied {
        /// Shard of the object.
        shard: ShardNumber,
        /// Answer.
        reply: ReadReply<ShardObject>,
    },
    /// Time passed.
    Tick,
    /// The data centres that own shards changed.
    DataCentresChanged(Vec<DataCentreId>),
    /// This VM is to hand its shards over and stop.
    Release,
}
