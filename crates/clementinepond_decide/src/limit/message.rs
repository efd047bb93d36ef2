//! Messages about limits between VMs.
//!
//! One message holds all items for one VM, so that control costs grow with VMs
//! and with accounts in use, not with their product. Each item states totals,
//! never changes, so that repeated or reordered items are harmless.

use super::effect::RefusalReason;
use super::event::{PartFraction, TicketId};
use clementinepond_types::{AccountId, PriorityClass, TimeSpan, TokenCount, TokenRate};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Identifies one channel for token loans of one account from a lender to a
/// borrower.
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

/// Identifies one poll for part loans.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{incarnation}/{counter}")]
pub struct PollNumber {
    /// Incarnation of the borrower.
    pub incarnation: u32,
    /// Counter within the incarnation.
    pub counter: u32,
}

/// Request of a VM for the receiver's slices of the accounts that the VM owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanPoll {
    /// Number of the poll.
    pub number: PollNumber,
    /// Poll whose loan is in use; the borrower no longer uses any earlier loan.
    /// `None` while no loan is confirmed.
    pub using: Option<PollNumber>,
}

/// Capacity of one account that the lender of parts keeps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptCapacity {
    /// Account whose capacity is kept.
    pub account: AccountId,
    /// Capacity kept.
    #[serde(with = "super::compact::count")]
    pub capacity: TokenCount,
}

/// Loan of the lender's parts, for the accounts that the borrower owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartLoan {
    /// Number of the poll that is answered.
    pub number: PollNumber,
    /// Digests of the member lists under each of which the borrower must be the
    /// owner.
    pub rosters: Vec<u64>,
    /// Fraction of the fleet's limits that is lent.
    pub fraction: PartFraction,
    /// Capacity that the lender keeps, for accounts with running requests.
    pub kept: Vec<KeptCapacity>,
    /// Remaining lifetime of the loan at the lender.
    #[serde(with = "super::compact::span")]
    pub time_left: TimeSpan,
}

/// Request that waits for tokens, as its VM reports it to the account's owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuedRequest {
    /// Ticket of the request on its VM.
    pub ticket: TicketId,
    /// Tokens needed.
    #[serde(with = "super::compact::count")]
    pub cost: TokenCount,
    /// Priority class.
    pub priority: PriorityClass,
    /// Time until the request is refused.
    #[serde(with = "super::compact::span")]
    pub time_left: TimeSpan,
}

/// State of a channel at the borrower.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenLoanReport {
    /// Account of the channel.
    pub account: AccountId,
    /// Channel that is described.
    pub channel: ChannelId,
    /// Number of the report within the channel.
    pub number: u32,
    /// Capacity granted since the channel was opened, as far as the borrower
    /// knows.
    #[serde(with = "super::compact::count")]
    pub granted: TokenCount,
    /// Capacity returned since the channel was opened.
    #[serde(with = "super::compact::count")]
    pub returned_capacity: TokenCount,
    /// Tokens returned since the channel was opened.
    #[serde(with = "super::compact::count")]
    pub returned_level: TokenCount,
    /// All waiting requests that the lender may serve.
    pub requests: Vec<QueuedRequest>,
    /// Tokens that an owner lacks and requests from an owner in another data centre,
    /// which grants as many of them as its own queue leaves over.
    #[serde(with = "super::compact::count")]
    pub want: TokenCount,
}

/// Request that the lender will not serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestDenial {
    /// Ticket of the denied request.
    pub ticket: TicketId,
    /// Reason for the denial.
    pub reason: RefusalReason,
    /// Time until the request could be served.
    #[serde(with = "super::compact::span")]
    pub retry_after: TimeSpan,
}

/// Estimate of the tokens that a lender can still lend, for the borrower's decisions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelHint {
    /// Tokens that the lender's queue leaves over.
    #[serde(with = "super::compact::count")]
    pub level: TokenCount,
    /// Refill rate of the lender's slice.
    #[serde(with = "super::compact::rate")]
    pub rate: TokenRate,
    /// Capacity of the lender's slice.
    #[serde(with = "super::compact::count")]
    pub capacity: TokenCount,
}

/// State of a channel at the lender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenLoanGrant {
    /// Account of the channel.
    pub account: AccountId,
    /// Channel that is described.
    pub channel: ChannelId,
    /// Incarnation of the lender.
    pub lender: u32,
    /// Largest number of a report that the lender received.
    pub number: u32,
    /// Capacity and tokens granted since the channel was opened.
    #[serde(with = "super::compact::count")]
    pub granted: TokenCount,
    /// Lifetime of everything granted in the channel, counted from that report.
    #[serde(with = "super::compact::span")]
    pub time_left: TimeSpan,
    /// Requests that the lender denies.
    pub denied: Vec<RequestDenial>,
    /// Estimate of the tokens that the lender can still lend; `None` unless the last
    /// report requested spare tokens.
    pub hint: Option<LevelHint>,
}

/// All items that one VM sends to another while it handles one event.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitMessage {
    /// Poll for a part loan.
    pub poll: Option<LoanPoll>,
    /// Part loan that answers a poll.
    pub loan: Option<PartLoan>,
    /// Reports of channels in which the sender borrows.
    pub reports: Vec<TokenLoanReport>,
    /// Grants in channels in which the sender lends.
    pub grants: Vec<TokenLoanGrant>,
}
