//! What VMs tell each other about limits.
//!
//! A message holds every item for one VM, so that control costs grow with
//! VMs and with used accounts, not with their product. Each item states
//! totals, never changes, so that repeated or reordered items do no harm.

use super::effect::RefusalReason;
use super::event::{PartFraction, TicketId};
use clementinepond_types::{AccountId, PriorityClass, TimeSpan, TokenCount, TokenRate};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Number of one channel between a borrower and a lender.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{incarnation}/{counter}")]
pub struct ChannelId {
    /// Incarnation of the borrower.
    pub incarnation: u32,
    /// Counter within the incarnation.
    pub counter: u32,
}

/// Number of one poll for part loans.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{incarnation}/{counter}")]
pub struct LoanStep {
    /// Incarnation of the borrower.
    pub incarnation: u32,
    /// Counter within the incarnation.
    pub counter: u32,
}

/// Request of a home for the slices of the accounts that it serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanPoll {
    /// Number of the poll.
    pub step: LoanStep,
    /// Loan in use; the borrower has given up every earlier one.
    pub using: Option<LoanStep>,
}

/// Capacity of one account that the lender of parts keeps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptCapacity {
    /// The account.
    pub account: AccountId,
    /// Capacity kept.
    #[serde(with = "super::compact::count")]
    pub capacity: TokenCount,
}

/// Loan of the lender's parts, for the accounts that the borrower serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartLoan {
    /// Number of the poll that is answered.
    pub step: LoanStep,
    /// Member lists under each of which the borrower must be the home.
    pub rosters: Vec<u64>,
    /// Parts lent.
    pub fraction: PartFraction,
    /// Capacity that the lender keeps, for accounts with running requests.
    pub kept: Vec<KeptCapacity>,
    /// Life of the loan.
    #[serde(with = "super::compact::span")]
    pub time_left: TimeSpan,
}

/// One waiting request, as its VM describes it to the home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotItem {
    /// Admission that waits.
    pub ticket: TicketId,
    /// Tokens needed.
    #[serde(with = "super::compact::count")]
    pub cost: TokenCount,
    /// Priority class.
    pub priority: PriorityClass,
    /// Time until it is refused.
    #[serde(with = "super::compact::span")]
    pub time_left: TimeSpan,
}

/// State of a channel, told by the borrower.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotReport {
    /// Account of the channel.
    pub account: AccountId,
    /// The channel.
    pub channel: ChannelId,
    /// Number of the report within the channel.
    pub step: u32,
    /// Capacity granted since the channel was opened, as far as is known.
    #[serde(with = "super::compact::count")]
    pub granted: TokenCount,
    /// Capacity returned since the channel was opened.
    #[serde(with = "super::compact::count")]
    pub returned_capacity: TokenCount,
    /// Tokens returned since the channel was opened.
    #[serde(with = "super::compact::count")]
    pub returned_level: TokenCount,
    /// Every waiting request that the lender may serve.
    pub items: Vec<LotItem>,
    /// Tokens wanted at once, or as many of them as can be spared.
    #[serde(with = "super::compact::count")]
    pub want: TokenCount,
}

/// Request that the lender will not serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemDenial {
    /// Admission that is denied.
    pub ticket: TicketId,
    /// Why it is denied.
    pub reason: RefusalReason,
    /// Time after which it could be served.
    #[serde(with = "super::compact::span")]
    pub retry_after: TimeSpan,
}

/// What a lender has left, as an estimate for the borrower's planning.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelHint {
    /// Tokens at hand.
    #[serde(with = "super::compact::count")]
    pub level: TokenCount,
    /// Refill rate.
    #[serde(with = "super::compact::rate")]
    pub rate: TokenRate,
    /// Capacity.
    #[serde(with = "super::compact::count")]
    pub capacity: TokenCount,
}

/// State of a channel, told by the lender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotGrant {
    /// Account of the channel.
    pub account: AccountId,
    /// The channel.
    pub channel: ChannelId,
    /// Incarnation of the lender.
    pub lender: u32,
    /// Number of the last report seen.
    pub step: u32,
    /// Capacity and tokens granted since the channel was opened.
    #[serde(with = "super::compact::count")]
    pub granted: TokenCount,
    /// Life of everything granted in the channel, from that report.
    #[serde(with = "super::compact::span")]
    pub time_left: TimeSpan,
    /// Requests that are denied.
    pub denied: Vec<ItemDenial>,
    /// What the lender has left, for a borrower that wants more.
    pub hint: Option<LevelHint>,
}

/// Everything that one VM tells another at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitMessage {
    /// Request for a part loan.
    pub poll: Option<LoanPoll>,
    /// Part loan.
    pub loan: Option<PartLoan>,
    /// Reports of channels in which the sender borrows.
    pub reports: Vec<LotReport>,
    /// Grants in channels in which the sender lends.
    pub grants: Vec<LotGrant>,
}
