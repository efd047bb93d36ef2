//! Limits: rate and burst of a client account over all VMs.
//!
//! Every VM holds a slice of each account: a refill rate and a capacity. The
//! slices of all VMs add up to at most the account's rate and burst, whatever
//! happens to messages, VMs or data centres, because a slice is moved only
//! by a grant with a deadline that the borrower observes earlier than the
//! lender.
//!
//! Two kinds of grants exist. A *part loan* moves a VM's whole slice of every
//! account to the account's home, one VM a data centre chosen by rendezvous
//! hashing. A *lot* moves capacity together with the tokens that fill it,
//! from a home to a VM with a request to admit, or between homes of one
//! account in two data centres. Cumulative counters make lost, doubled and
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
mod home;
mod loan;
mod lot;
mod lot_exchange;
mod message;
mod outbox;
mod peer;
mod periodic;
mod reduce;
mod reservation;
mod serve;
mod settings;
mod slice;
mod state;
mod upstream;

pub use effect::{LimitEffect, RefusalReason};
pub use event::{
    AccountLimit, AccountTable, AdmissionAsk, LimitEvent, PartFraction, RemoteCentre, RosterView,
    TicketId,
};
pub use message::{
    ChannelId, ItemDenial, KeptCapacity, LevelHint, LimitMessage, LoanPoll, LoanStep, LotGrant,
    LotItem, LotReport, PartLoan,
};
pub use reduce::reduce;
pub use settings::{LimitMutation, LimitSettings};
pub use state::{AccountStatus, LimitState};
