//! Effects of the limit reducer, carried out by the I/O layer.

use super::event::TicketId;
use super::message::LimitMessage;
use clementinepond_types::{LocalTime, TimeSpan, TokenCount, VmId};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Reason why a request was refused; the request has not run.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// Too few tokens of the account are available before the request's deadline.
    #[display("account is over its rate; send the request again after the stated time")]
    OverRate,
    /// The request costs more than the account's burst.
    #[display(
        "request needs {cost}, more than the account's burst of {burst}; shorten it or raise the burst"
    )]
    LargerThanBurst {
        /// Tokens that the request needs.
        cost: TokenCount,
        /// Burst of the account.
        burst: TokenCount,
    },
    /// The VMs that answer hold too little of the account's limit.
    #[display(
        "the VMs that answer hold too little of the account's limit; send the request again later"
    )]
    OutOfReach,
    /// The account is disabled or unknown.
    #[display("account is not active; ask an operator to create or enable it")]
    NoAccount,
}

/// Effect of the limit reducer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitEffect {
    /// Allows the request to be dispatched until the deadline.
    ///
    /// The I/O layer reads the clock again before it dispatches. When the
    /// deadline has passed, it sends the event `Cancel` and requests admission
    /// again.
    Admitted {
        /// Ticket of the request.
        ticket: TicketId,
        /// Time at which the admission expires.
        deadline: LocalTime,
    },
    /// Refuses the request, which has not run.
    Refused {
        /// Ticket of the request.
        ticket: TicketId,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time until the request could be admitted; `None` when waiting does not
        /// help.
        retry_after: Option<TimeSpan>,
    },
    /// Sends a message to another VM.
    Send {
        /// Receiver.
        to: VmId,
        /// Message to send.
        message: LimitMessage,
    },
    /// Reports that this VM has no running or waiting request and lends
    /// nothing; repeated at each tick after `Release`.
    Released,
}
