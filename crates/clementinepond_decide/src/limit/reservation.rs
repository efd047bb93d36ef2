//! Life cycle of one admission.

use super::account::QueueKey;
use clementinepond_types::{AccountId, TokenCount};

/// Admission in life cycle state `S`.
#[derive(Debug)]
pub(super) struct Ticket<S> {
    pub(super) account: AccountId,
    pub(super) prompt: TokenCount,
    pub(super) output: TokenCount,
    pub(super) state: S,
}

/// State of a request that waits for tokens.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) key: QueueKey,
}

/// State of a request whose tokens are reserved.
#[derive(Debug)]
pub(super) struct Admitted {
    spent: TokenCount,
}

impl Ticket<Waiting> {
    pub(super) fn admit(self) -> Ticket<Admitted> {
        Ticket {
            account: self.account,
            prompt: self.prompt,
            output: self.output,
            state: Admitted {
                spent: TokenCount::ZERO,
            },
        }
    }
}

impl<S> Ticket<S> {
    pub(super) fn cost(&self) -> TokenCount {
        self.prompt + self.output
    }
}

impl Ticket<Admitted> {
    /// Raises the number of spent tokens to `total`, at most to the cost; returns the
    /// increase.
    pub(super) fn spend_up_to(&mut self, total: TokenCount) -> TokenCount {
        let total = total.min(self.cost());
        let spent = total.saturating_sub(self.state.spent);
        self.state.spent += spent;
        spent
    }

    /// Returns the reserved tokens that are not spent.
    pub(super) fn unspent(&self) -> TokenCount {
        self.cost().saturating_sub(self.state.spent)
    }
}

/// Admission in any state.
#[derive(Debug)]
pub(super) enum TicketState {
    /// Waits for tokens.
    Waiting(Ticket<Waiting>),
    /// Has reserved its tokens.
    Admitted(Ticket<Admitted>),
}
