//! The planner: a pure function from the view of all endpoints to moves.
//!
//! It starts from the placement as it is, with everything in transit, and
//! improves it by single copies, the most useful first. It has no memory of
//! its own: a change that takes several steps goes on because the next plan
//! finds the same best step. Nothing is unloaded but to make room, to follow
//! a version or to obey an exception.

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

/// Plans the next moves.
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
