//! The planner: a pure function from the view of all endpoints to moves.
//!
//! It starts from the placement as it is, with everything in transit, and
//! improves it by single copies, the most useful first. It has no memory of
//! its own: a change that takes several steps goes on because the next plan
//! finds the same best step. Nothing is unloaded but to make room, to follow
//! a version or to obey an exception.

mod adapters;
mod assign;
mod board;
mod outcome;
mod problem;
mod room;
mod stages;
mod stones;
mod tuning;

pub use outcome::{MoveReason, PlanOutcome, PlannedMove, UnplacedItem, UnplacedReason};
pub use problem::{
    AdapterNeed, CopyState, EndpointView, HoldingView, ModelNeed, MoveBudget, PlanProblem,
};
pub use tuning::PlannerTuning;

use board::Board;

/// Plans the next moves.
#[must_use]
pub fn plan(problem: &PlanProblem) -> PlanOutcome {
    let mut board = Board::new(problem);
    board.assign();
    stages::remove_unwanted(&mut board);
    stages::place_required(&mut board);
    stages::follow_versions(&mut board);
    stages::follow_demand(&mut board);
    stages::cover(&mut board);
    adapters::place(&mut board);
    board.outcome
}
