//! State of the limit specification.

use crate::explore::Bounds;
use derive_more::Display;
use std::collections::{BTreeMap, BTreeSet};

/// Capacity of one part, in tokens.
pub(super) const PART_BURST: u8 = 2;
/// Refill of one part, in tokens per tick.
pub(super) const PART_RATE: u8 = 1;
/// Number of parts of the account.
pub(super) const PARTS: u8 = 2;
/// Lifetime of a loan on the lender's clock, in ticks.
pub(super) const LOAN_DURATION: u8 = 3;
/// Cost of a short request and of one that exceeds the capacity of one part, in tokens.
pub(super) const COSTS: [u8; 2] = [1, 3];
/// Largest drift between two clocks during a loan, in ticks.
pub(super) const DRIFT: u8 = 1;
/// Time after which no loan of a stopped or restarted VM is usable, in ticks.
pub(super) const HOLD_OFF: u8 = LOAN_DURATION + DRIFT;
/// Ticks left of an admission without a deadline.
pub(super) const NEVER: u8 = u8::MAX;

/// Bounds of one exploration: sizes, and how often each kind of step may happen.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
#[display(
    "2 VMs, {polls} polls, {missed_ticks} missed ticks, {restarts} restarts, {moves} moved parts"
)]
pub(super) struct LimitBounds {
    pub(super) polls: u8,
    pub(super) missed_ticks: u8,
    pub(super) restarts: u8,
    pub(super) moves: u8,
}

impl LimitBounds {
    pub(super) fn of(bounds: Bounds) -> Self {
        let polls = match bounds {
            Bounds::Small => 2,
            Bounds::Large => 3,
        };
        Self {
            polls,
            missed_ticks: 1,
            restarts: 1,
            moves: 1,
        }
    }
}

/// Stage of the lender's part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum PartStage {
    /// The part is in use, lent, or unused during the wait after a restart.
    Held,
    /// A release was sent; its outcome is unknown.
    Releasing,
    /// The VM has stopped and is no longer listed.
    Stopped,
}

/// VM that lends its part.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct LenderState {
    pub(super) level: u8,
    pub(super) stage: PartStage,
    /// Ticks until the lender reclaims its part, and the poll it answered with the loan.
    pub(super) lent: Option<(u8, u8)>,
    /// Ticks until a restarted VM may use its part.
    pub(super) start_wait: u8,
    /// Ticks until a stopped VM may be removed.
    pub(super) hold_off: u8,
}

/// Admitted request that is not dispatched yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct PendingAdmission {
    /// Ticks until the admission expires, or `NEVER`.
    pub(super) ticks_left: u8,
    /// Tokens that the request spends.
    pub(super) cost: u8,
}

/// VM that owns the account and borrows the other part.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct OwnerState {
    pub(super) level: u8,
    /// Ticks for which a loan in answer to each poll is usable, by poll number.
    pub(super) polls: BTreeMap<u8, u8>,
    /// Ticks for which the loan is usable, and the poll it answers.
    pub(super) borrowed: Option<(u8, u8)>,
    /// Whether the owner knows that both parts are its own.
    pub(super) owns_both: bool,
    /// Admitted request that is not dispatched yet.
    pub(super) admitted: Option<PendingAdmission>,
}

/// State of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct LimitState {
    /// Steps that may still happen.
    pub(super) remaining: LimitBounds,
    /// Level of the reference bucket, in tokens.
    pub(super) reference: u8,
    pub(super) overspent: bool,
    pub(super) lender: LenderState,
    pub(super) owner: OwnerState,
    pub(super) polls: BTreeSet<u8>,
    pub(super) loans: BTreeSet<u8>,
    /// Whether the platform's table assigns both parts to the owner.
    pub(super) moved: bool,
}
