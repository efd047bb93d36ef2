//! Requests of clients and the token streams that answer them.

use super::plan::{AccountPlan, ReservePlan};
use clementinepond_decide::limit::TicketId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// Upper bound of the length of a prompt.
const MAX_PROMPT_TOKENS: u64 = 2_000;
/// Length of the shortest prompt.
const MIN_PROMPT_TOKENS: u64 = 50;
/// Upper bound of the tokens that a request may generate.
const MAX_OUTPUT_TOKENS: u64 = 512;

/// Mean cost of a request, in tokens.
pub(super) const MEAN_REQUEST_TOKENS: u64 = 690;

/// Request of a client.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestPlan {
    /// Index of the account.
    pub(super) account: usize,
    /// Number of prompt tokens.
    pub(super) prompt: u64,
    /// Upper bound of the tokens that it may generate.
    pub(super) limit: u64,
    /// Tokens that it will generate.
    pub(super) output: u64,
}

impl RequestPlan {
    /// Draws a random request whose parts fit into the account's burst.
    pub(super) fn draw(account: usize, plan: &AccountPlan, rng: &mut ChaCha8Rng) -> Self {
        let burst = plan.limit.burst.whole();
        let most = MAX_PROMPT_TOKENS.min(burst / 4).max(MIN_PROMPT_TOKENS + 1);
        let small = rng.random_range(MIN_PROMPT_TOKENS..most);
        let prompt = rng.random_range(MIN_PROMPT_TOKENS..=small);
        let limit = MAX_OUTPUT_TOKENS.min(burst / 4).max(4);
        Self {
            account,
            prompt,
            limit,
            output: rng.random_range(1..=limit * 6 / 10),
        }
    }

    /// Returns the tokens of prompt and answer together.
    #[must_use]
    pub(super) const fn cost(&self) -> u64 {
        self.prompt + self.output
    }
}

/// Reservation for one part of a stream.
#[derive(Debug, Clone, Copy)]
pub(super) struct StreamPart {
    /// Ticket of the part's admission.
    pub(super) ticket: TicketId,
    /// Prompt tokens that it covers.
    pub(super) prompt: u64,
    /// Generated tokens that it covers.
    pub(super) output: u64,
}

/// Running request.
#[derive(Debug)]
pub(super) struct TokenStream {
    /// The request.
    pub(super) request: RequestPlan,
    /// VM that serves it.
    pub(super) vm: usize,
    /// Incarnation of the VM that admitted it.
    pub(super) incarnation: u32,
    /// Reserved parts that aren't used up, oldest first.
    pub(super) parts: VecDeque<StreamPart>,
    /// Total of generated tokens.
    pub(super) generated: u64,
    /// Tokens generated under the oldest part.
    pub(super) generated_in_part: u64,
    /// Whether a further part has been requested and isn't admitted yet.
    pub(super) is_part_requested: bool,
    /// Time that the stream stalled for lack of tokens, in microseconds.
    pub(super) stall_time: u64,
}

impl TokenStream {
    /// Returns the reserved tokens that aren't generated yet.
    #[must_use]
    pub(super) fn reserved(&self) -> u64 {
        let parts: u64 = self.parts.iter().map(|part| part.output).sum();
        parts - self.generated_in_part
    }

    /// Returns the size of the next part to request, or none if it isn't due.
    #[must_use]
    pub(super) fn next_part(&self, reserve: ReservePlan) -> Option<u64> {
        let ReservePlan::Parts(size) = reserve else {
            return None;
        };
        let covered = self.generated + self.reserved();
        let is_needed = covered < self.request.limit && self.reserved() <= size / 2;
        (is_needed && !self.is_part_requested).then(|| size.min(self.request.limit - covered))
    }
}
