//! Events of the limit reducer.

use super::message::LimitMessage;
use clementinepond_types::{
    AccountId, DataCentreId, Epoch, LocalTime, ObjectVersion, PartCount, PriorityClass, TokenCount,
    TokenRate, VmId,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of parts of a data centre, and of parts of the fleet.
const WHOLE_PARTS: u64 = 1_024;

/// Number that identifies one admission on this VM.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TicketId(u64);

impl TicketId {
    /// Wraps a number that is unique on this VM.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Fraction of every account's limit, in units of 1/1,048,576: 1/1,024 of a data
/// centre that holds 1/1,024 of the fleet.
#[derive(
    Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{_0}/1048576")]
#[serde(transparent)]
pub struct PartFraction(u64);

impl PartFraction {
    /// Empty fraction.
    pub const ZERO: Self = Self(0);

    /// Converts `parts` of a data centre that has `share` parts of the fleet.
    #[must_use]
    pub fn new(share: PartCount, parts: PartCount) -> Self {
        Self(u64::from(share.get()) * u64::from(parts.get()))
    }

    /// Adds another fraction.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns this fraction of a capacity, rounded down.
    #[must_use]
    pub fn of_burst(self, burst: TokenCount) -> TokenCount {
        burst.fraction(self.0, WHOLE_PARTS * WHOLE_PARTS)
    }

    /// Returns this fraction of a rate, rounded down.
    #[must_use]
    pub fn of_rate(self, rate: TokenRate) -> TokenRate {
        rate.fraction(self.0, WHOLE_PARTS * WHOLE_PARTS)
    }
}

/// Rate and burst of one account over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountLimit {
    /// Refill rate, in tokens per second.
    pub rate: TokenRate,
    /// Most tokens that the account may use at once.
    pub burst: TokenCount,
}

/// Limits of all active accounts, with their version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountTable {
    /// Version of the configuration that holds the limits.
    pub version: ObjectVersion,
    /// Limits by account; a missing account may run nothing.
    pub limits: BTreeMap<AccountId, AccountLimit>,
}

/// Members of another data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemoteDataCentre {
    /// Name of the data centre.
    pub data_centre: DataCentreId,
    /// VMs in the roster of the data centre.
    pub members: Vec<VmId>,
}

/// Roster data that the limits depend on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterView {
    /// Epoch of the roster of this VM's data centre.
    pub epoch: Epoch,
    /// Parts of the data centre that this VM holds, of 1,024.
    pub parts: PartCount,
    /// Parts of the fleet that the data centre holds, of 1,024.
    pub share: PartCount,
    /// VMs in the roster of this VM's data centre.
    pub members: Vec<VmId>,
    /// Members of the other data centres.
    pub remote: Vec<RemoteDataCentre>,
}

/// Request to admit a call of an account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Number of the admission, unique on this VM.
    pub ticket: TicketId,
    /// Account that is charged.
    pub account: AccountId,
    /// Tokens of the prompt, spent when the request starts.
    pub prompt: TokenCount,
    /// Most tokens that may be generated under this admission.
    pub output: TokenCount,
    /// Priority class; larger ones are admitted first.
    pub priority: PriorityClass,
    /// Latest time at which an admission is useful.
    pub deadline: LocalTime,
}

/// Event of the limit reducer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitEvent {
    /// A request needs admission.
    Request(AdmissionRequest),
    /// An admitted request was sent to an endpoint.
    Started {
        /// Ticket of the request.
        ticket: TicketId,
    },
    /// An admitted request has generated tokens.
    Progress {
        /// Ticket of the request.
        ticket: TicketId,
        /// Tokens generated under the admission so far.
        generated: TokenCount,
    },
    /// An admitted request ended.
    Settle {
        /// Ticket of the request.
        ticket: TicketId,
        /// Prompt and generated tokens used under the admission; tokens that `Started` or
        /// `Progress` marked as spent are not refunded if this is less.
        used: TokenCount,
    },
    /// A waiting request was withdrawn, or an admitted one was never started.
    Cancel {
        /// Ticket of the request.
        ticket: TicketId,
    },
    /// A message from another VM arrived.
    Received {
        /// Sender.
        from: VmId,
        /// Received message.
        message: LimitMessage,
    },
    /// A roster changed.
    PartsChanged(RosterView),
    /// The limits of accounts changed.
    AccountsChanged(AccountTable),
    /// Periodic timer.
    Tick,
    /// This VM shuts down gracefully and stops lending.
    Release,
}
