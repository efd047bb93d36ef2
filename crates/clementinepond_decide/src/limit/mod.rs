//! Limits: rate and burst of a client account over all VMs.
//!
//! Every VM holds a slice of each account: a refill rate and a capacity. The
//! slices of all VMs add up to at most the account's rate and burst, also when
//! messages are lost or VMs or data centres fail, because a slice moves only by a
//! grant with a deadline that the borrower reaches earlier than the lender.
//!
//! Two kinds of grants exist. A *part loan* moves a VM's whole slice of every
//! account to the account's owner, one VM per data centre chosen by rendezvous
//! hashing. A *token loan* moves capacity together with the tokens that fill
//! it, from an owner to a VM with a request to admit, or between owners of one
//! account in two data centres. Cumulative counters make lost, duplicated and
//! reordered messages harmless.
//!
//! An admitted request holds its capacity until its tokens are generated, so
//! that a refund never raises a bucket that has refilled in the meantime.

mod account;
mod admit;
mod bucket;
mod compact;
mod effect;
mod event;
mod message;
mod outbox;
mod owner;
mod part_loan;
mod peer;
mod periodic;
mod poll;
mod reduce;
mod reservation;
mod serve;
mod settings;
mod slice;
mod state;
mod token_loan;
mod token_loan_exchange;
mod upstream;

pub use effect::{LimitEffect, RefusalReason};
pub use event::{
    AccountLimit, AccountTable, AdmissionRequest, LimitEvent, PartFraction, RemoteDataCentre,
    RosterView, TicketId,
};
pub use message::{
    ChannelId, KeptCapacity, LevelHint, LimitMessage, LoanPoll, PartLoan, PollNumber,
    QueuedRequest, RequestDenial, TokenLoanGrant, TokenLoanReport,
};
pub use reduce::reduce;
pub use settings::{LimitMutation, LimitSettings};
pub use state::{AccountStatus, LimitState};
