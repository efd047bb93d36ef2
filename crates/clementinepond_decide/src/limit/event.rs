//! What can happen to the limits.

use super::message::LimitMessage;
use clementinepond_types::{
    AccountId, DataCentreId, Epoch, LocalTime, ObjectVersion, PartCount, PriorityClass, TokenCount,
    TokenRate, VmId,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Parts that make a whole, in a data centre and in the fleet.
const WHOLE_PARTS: u64 = 1_024;

/// Number that the edge gives to one admission.
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

    /// Returns the plain number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Share of every limit of the fleet, in parts of 1,024 times 1,024.
#[derive(
    Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{_0}/1048576")]
#[serde(transparent)]
pub struct PartFraction(u64);

impl PartFraction {
    /// Nothing.
    pub const ZERO: Self = Self(0);

    /// Takes parts of a data centre that has `share` parts of the fleet.
    #[must_use]
    pub fn new(share: PartCount, parts: PartCount) -> Self {
        Self(u64::from(share.get()) * u64::from(parts.get()))
    }

    /// Adds another share.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns this share of a capacity, rounded down.
    #[must_use]
    pub fn of_burst(self, burst: TokenCount) -> TokenCount {
        burst.fraction(self.0, WHOLE_PARTS * WHOLE_PARTS)
    }

    /// Returns this share of a rate, rounded down.
    #[must_use]
    pub fn of_rate(self, rate: TokenRate) -> TokenRate {
        rate.fraction(self.0, WHOLE_PARTS * WHOLE_PARTS)
    }
}

/// Rate and burst of one account over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountLimit {
    /// Tokens a second.
    pub rate: TokenRate,
    /// Tokens at once.
    pub burst: TokenCount,
}

/// Limits of every account that is in force, with the version they came with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountTable {
    /// Version of the configuration.
    pub version: ObjectVersion,
    /// Limits by account; an account that is missing may run nothing.
    pub limits: BTreeMap<AccountId, AccountLimit>,
}

/// Members of another data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RemoteCentre {
    /// Name of the data centre.
    pub data_centre: DataCentreId,
    /// VMs in its roster.
    pub members: Vec<VmId>,
}

/// Part of the rosters that the limits depend on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterView {
    /// Epoch of the own data centre's roster.
    pub epoch: Epoch,
    /// Parts that this VM holds in its data centre.
    pub parts: PartCount,
    /// Parts of the fleet that the data centre holds.
    pub share: PartCount,
    /// VMs of the own data centre's roster.
    pub members: Vec<VmId>,
    /// Members of the other data centres.
    pub remote: Vec<RemoteCentre>,
}

/// Request for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionAsk {
    /// Number of the admission, unique on this VM.
    pub ticket: TicketId,
    /// Account that pays.
    pub account: AccountId,
    /// Tokens spent when the request starts.
    pub prompt: TokenCount,
    /// Most tokens that may be generated under this admission.
    pub output: TokenCount,
    /// Priority class; a larger one is admitted first.
    pub priority: PriorityClass,
    /// Moment after which an admission is of no use.
    pub deadline: LocalTime,
}

/// One event for the limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitEvent {
    /// A request asks for admission.
    Ask(AdmissionAsk),
    /// An admitted request was sent to an endpoint.
    Started {
        /// Admission of the request.
        ticket: TicketId,
    },
    /// An admitted request has generated tokens.
    Progress {
        /// Admission of the request.
        ticket: TicketId,
        /// Tokens generated under the admission so far.
        generated: TokenCount,
    },
    /// An admitted request has ended.
    Settle {
        /// Admission of the request.
        ticket: TicketId,
        /// Prompt and generated tokens that were used under the admission.
        used: TokenCount,
    },
    /// A waiting request was withdrawn, or an admitted one never started.
    Cancel {
        /// Admission of the request.
        ticket: TicketId,
    },
    /// A message of another VM arrived.
    Received {
        /// VM that sent it.
        from: VmId,
        /// The message.
        message: LimitMessage,
    },
    /// A roster changed.
    PartsChanged(RosterView),
    /// The limits of accounts changed.
    AccountsChanged(AccountTable),
    /// The interval between ticks has passed.
    Tick,
    /// This VM stops gracefully and gives its rights back.
    Release,
}
