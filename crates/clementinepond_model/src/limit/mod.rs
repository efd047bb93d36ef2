//! Limits: the parts of one account on two VMs, a loan and a roster change.
//!
//! Each VM has one part: a capacity of two tokens and a refill of one token a
//! tick. The home borrows the other VM's part, empty, until a deadline. The
//! part also moves for good, by a release of its holder or after the holder
//! was removed. A reference bucket with the account's whole rate and burst
//! says what may be spent: a spend that it cannot pay breaks the limit over
//! some window.
//!
//! Polls and loans stay in the state once sent. Time is counted in ticks; at
//! one tick, the home's clock may stand still. Refills follow true time, since
//! the product lowers rates by the drift. Not covered: lots, which move tokens
//! together with capacity.
//!
//! Assumed: a VM that the platform lists as gone has stopped.

mod invariant;
mod mutation;
mod part;
mod state;
mod step;

use crate::explore::{Bounds, ExplorationReport, SpecificationEntry, explore_all};
use mutation::LimitMutation;
use state::LimitBounds;
use step::LimitModel;

/// Entry in the list of specifications.
pub(crate) const ENTRY: SpecificationEntry = SpecificationEntry {
    name: "limit",
    about: "parts, loans and roster changes: spending stays within rate and burst",
    mutations: mutation::ENTRIES,
    run,
};

fn run(bounds: Bounds, mutation: Option<&'static str>) -> ExplorationReport {
    let bounds = LimitBounds::of(bounds);
    let mutation = LimitMutation::named(mutation);
    explore_all(ENTRY.name, [(bounds, LimitModel { bounds, mutation })])
}
