//! Claims: one key of one shard, its owner and a replica.
//!
//! A call runs only after the owner granted its claim, and the owner grants a
//! claim once it is durable: in the shard's object on the platform, or copied
//! to the replica that the stored object names as a witness. A new owner
//! reads the object, collects the records of one witness, which promises to
//! acknowledge no older owner, and writes its term conditionally.
//!
//! Asks, grants, releases, copies and acknowledgements stay in the state once
//! sent, so that each may arrive at any time, repeatedly or never. A former
//! owner may go on without knowing of the new one.

mod calls;
mod invariant;
mod mutation;
mod owner;
mod platform;
mod replica;
mod start;
mod state;
mod step;
mod takeover;

use crate::explore::{Bounds, ExplorationReport, SpecificationEntry, explore_all};
use mutation::ClaimMutation;
use state::bounds_of;
use step::ClaimModel;

/// Entry in the list of specifications.
pub(crate) const ENTRY: SpecificationEntry = SpecificationEntry {
    name: "claim",
    about: "owner change, group commit and lost answers: at most one run, and \"not run\" is true",
    mutations: mutation::ENTRIES,
    run,
};

fn run(bounds: Bounds, mutation: Option<&'static str>) -> ExplorationReport {
    let mutation = ClaimMutation::named(mutation);
    let models = bounds_of(bounds, mutation).into_iter();
    explore_all(
        ENTRY.name,
        models.map(|bounds| (bounds, ClaimModel { bounds, mutation })),
    )
}
