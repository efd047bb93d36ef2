//! Placement: one lease holder sends orders to one endpoint whose memory holds
//! one model at a time.
//!
//! The lease is an object on the platform. The fencing number in the object
//! increases with each holder and is part of each order. An order to load or
//! unload is written to the object before it is sent. The holder keeps it in a
//! ledger until a report shows its outcome. Endpoints that check fencing numbers
//! and endpoints that ignore them are both explored. The endpoint never rejects
//! an order for lack of memory.
//!
//! Time is counted in ticks. The first VM's clock may miss one tick of a run;
//! this represents the clock drift. A VM pauses by taking no steps while time
//! passes.
//!
//! Assumption: the connection on which an order was sent is closed a margin after
//! the order's deadline, so that no copy arrives later.

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

/// Entry of the placement specification.
pub(crate) const ENTRY: SpecificationEntry = SpecificationEntry {
    name: "plan",
    about: "lease, fencing and endpoints that ignore it: memory is never overcommitted, \
            and no order of an older holder takes effect after one of a newer holder",
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
