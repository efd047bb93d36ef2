//! Limits: the two parts of one account, a part loan and a roster change.
//!
//! Each of two VMs has one part: a capacity of 2 tokens and a refill of 1 token
//! per tick. The account's owner borrows the other VM's part, empty, until a
//! deadline. The part also moves permanently, when its VM releases it or is
//! removed from the roster. A reference bucket has the rate and burst of the
//! whole account. A spend that exceeds its level violates the limit over some
//! window.
//!
//! Polls and loans stay in the state once sent. Time is counted in ticks; the
//! owner's clock may miss one tick. Refills follow true time, since the
//! implementation reduces rates by the clock drift. Not covered: token loans,
//! which move tokens together with capacity.
//!
//! Assumption: a VM that the platform no longer lists has stopped.

mod invariant;
mod mutation;
mod part;
mod state;
mod step;

use crate::explore::{Bounds, ExplorationReport, SpecificationEntry, explore_all};
use mutation::LimitMutation;
use state::LimitBounds;
use step::LimitModel;

/// Entry of the limit specification.
pub(crate) const ENTRY: SpecificationEntry = SpecificationEntry {
    name: "limit",
    about: "parts, part loans and roster changes: spending stays within rate and burst",
    mutations: mutation::ENTRIES,
    run,
};

fn run(bounds: Bounds, mutation: Option<&'static str>) -> ExplorationReport {
    let bounds = LimitBounds::of(bounds);
    let mutation = LimitMutation::named(mutation);
    explore_all(ENTRY.name, [(bounds, LimitModel { bounds, mutation })])
}
