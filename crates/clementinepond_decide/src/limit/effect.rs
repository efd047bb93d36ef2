//! What the limits ask their edge to do.

use super::event::TicketId;
use super::message::LimitMessage;
use clementinepond_types::{LocalTime, TimeSpan, TokenCount, VmId};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Reason of a refusal; the refused request has not run.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The account has used what it is owed for now.
    #[display("account is over its rate; send the request again after the time given")]
    OverRate,
    /// The request costs more than the account's burst.
    #[display(
        "request needs {cost}, more than the account's burst of {burst}; shorten it or raise the burst"
    )]
    LargerThanBurst {
        /// Tokens that the request needs.
        cost: TokenCount,
        /// Tokens that the account may use at once.
        burst: TokenCount,
    },
    /// The VMs that hold the rest of the account's limit do not answer.
    #[display(
        "the part of the account's limit within reach is too small; send the request again later"
    )]
    OutOfReach,
    /// The account is withdrawn or unknown.
    #[display("account is not active; ask an operator to create or enable it")]
    NoAccount,
}

/// One effect of the limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LimitEffect {
    /// The request may be dispatched until the deadline.
    ///
    /// The edge reads the clock again before it dispatches. When the deadline
    /// has passed it sends the event `Cancel` and asks anew.
    Admitted {
        /// Admission of the request.
        ticket: TicketId,
        /// Moment after which the admission has lapsed.
        deadline: LocalTime,
    },
    /// The request is refused and has not run.
    Refused {
        /// Admission of the request.
        ticket: TicketId,
        /// Why it is refused.
        reason: RefusalReason,
        /// Time after which the request could be admitted; none when never.
        retry_after: Option<TimeSpan>,
    },
    /// A message has to go to another VM.
    Send {
        /// VM that receives it.
        to: VmId,
        /// The message.
        message: LimitMessage,
    },
    /// Every right of this VM has been given back.
    Released,
}
