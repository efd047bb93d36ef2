//! The planner: a pure function from the view of all endpoints to moves.
//!
//! It starts from the current placement, including loads and unloads under way,
//! and improves it one copy at a time: required copies first, then version changes,
//! then copies for demand, the largest gain first, then copies in free memory. It
//! keeps no state between plans: a change of several steps continues because the next
//! plan finds the same best step. A copy is unloaded only to free memory, to change
//! its version, to obey an exception, or because its model is no longer hosted.

mod adapters;
mod draft;
mod load_assignment;
mod outcome;
mod placement_option;
mod problem;
mod relocation;
mod stages;
mod tuning;

pub use outcome::{MoveReason, PlanOutcome, PlannedMove, UnplacedItem, UnplacedReason};
pub use problem::{
    AdapterNeed, CopyState, EndpointView, HoldingView, ModelNeed, MoveBudget, PlanProblem,
};
pub use tuning::PlannerTuning;

use draft::DraftPlacement;

/// Returns the next moves, the goals that must wait and the unplaced items.
#[must_use]
pub fn plan(problem: &PlanProblem) -> PlanOutcome {
    let mut draft = DraftPlacement::new(problem);
    draft.assign_load();
    stages::unload_unwanted(&mut draft);
    stages::place_required(&mut draft);
    stages::replace_old_versions(&mut draft);
    stages::add_copies_for_demand(&mut draft);
    stages::fill_free_memory(&mut draft);
    adapters::place(&mut draft);
    draft.outcome
}
