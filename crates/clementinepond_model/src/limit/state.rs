//! State of the limit specification.

use crate::explore::Bounds;
use derive_more::Display;
use std::collections::{BTreeMap, BTreeSet};

/// Capacity of one part, in tokens.
pub(super) const PART_BURST: u8 = 2;
/// Refill of one part, in tokens a tick.
pub(super) const PART_RATE: u8 = 1;
/// Parts of the account.
pub(super) const PARTS: u8 = 2;
/// Life of a loan at its lender, in ticks.
pub(super) const SPAN: u8 = 3;
/// Cost of a short request and of one that a VM's own part cannot hold.
pub(super) const COSTS: [u8; 2] = [1, 3];
/// Drift of two clocks within a loan, in ticks.
pub(super) const DRIFT: u8 = 1;
/// Time after which nothing lent by a stopped VM is usable, in ticks.
pub(super) const HOLD_OFF: u8 = SPAN + DRIFT;
/// Deadline that never comes.
pub(super) const NEVER: u8 = u8::MAX;

/// Limits of the exploration.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
#[display("2 VMs, {polls} polls, {slips} clock slips, {restarts} restarts, {moves} moved parts")]
pub(super) struct LimitBounds {
    pub(super) polls: u8,
    pub(super) slips: u8,
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
            slips: 1,
            restarts: 1,
            moves: 1,
        }
    }
}

/// Stage of the lender's own part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum PartStage {
    /// The part is in use, or lent.
    Held,
    /// A release was sent; its fate is unknown.
    Releasing,
    /// The VM has stopped and is listed as gone.
    Gone,
}

/// VM that lends its part.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct LenderState {
    pub(super) level: u8,
    pub(super) stage: PartStage,
    /// Ticks until the lender resumes, and the poll that it answered.
    pub(super) lent: Option<(u8, u8)>,
    /// Ticks until a restarted VM uses its part.
    pub(super) start_wait: u8,
    /// Ticks until a gone VM is removed.
    pub(super) hold_off: u8,
}

/// Admission that is not yet acted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct PendingAdmission {
    /// Ticks until it lapses.
    pub(super) left: u8,
    /// Tokens that it spends.
    pub(super) cost: u8,
}

/// VM that borrows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct HomeState {
    pub(super) level: u8,
    /// Polls by number, and the ticks for which an answer would count.
    pub(super) polls: BTreeMap<u8, u8>,
    /// Ticks for which the loan is usable, and its poll.
    pub(super) borrowed: Option<(u8, u8)>,
    /// Whether the home knows that the other part is its own.
    pub(super) owns_both: bool,
    /// Admission that is not yet acted on.
    pub(super) admitted: Option<PendingAdmission>,
}

/// State of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct LimitState {
    pub(super) left: LimitBounds,
    /// Level of the reference bucket.
    pub(super) reference: u8,
    pub(super) overspent: bool,
    pub(super) lender: LenderState,
    pub(super) home: HomeState,
    pub(super) polls: BTreeSet<u8>,
    pub(super) loans: BTreeSet<u8>,
    /// Whether the platform's table gives both parts to the home.
    pub(super) moved: bool,
}
