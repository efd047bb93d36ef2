//! Placement: one lease holder orders one endpoint whose memory holds one
//! model at a time.
//!
//! The lease is an object on the platform; its epoch is the fencing number of
//! each order. An order is written into the object before it is sent. The
//! holder keeps each order in a ledger until a report shows what became of
//! it. The endpoint checks fencing numbers or does not; both are explored.
//! The endpoint itself refuses nothing for lack of memory.
//!
//! Time is counted in ticks. At one tick of a run, the first holder's clock
//! may stand still; that is the drift. A VM pauses by doing nothing while time
//! passes.
//!
//! Assumed: a connection is closed a margin after the deadline of the order
//! that was sent on it, so that no copy of an order arrives later.

mod invariant;
mod lease;
mod ledger;
mod mutation;
mod network;
mod start;
mod state;
mod step;

use crate::explore::{Bounds, ExplorationReport, SpecificationEntry, explore_all};
use mutation::PlanMutation;
use state::bounds_of;
use step::PlanModel;

/// Entry in the list of specifications.
pub(crate) const ENTRY: SpecificationEntry = SpecificationEntry {
    name: "plan",
    about: "lease, fencing and endpoints that ignore it: memory is never overcommitted, \
            and no old order follows a newer holder's",
    mutations: mutation::ENTRIES,
    run,
};

fn run(bounds: Bounds, mutation: Option<&'static str>) -> ExplorationReport {
    let mutation = PlanMutation::named(mutation);
    let models = bounds_of(bounds, mutation).into_iter();
    explore_all(
        ENTRY.name,
        models.map(|bounds| (bounds, PlanModel { bounds, mutation })),
    )
}
