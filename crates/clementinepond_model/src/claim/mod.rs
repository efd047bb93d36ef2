//! Claims: one key of one shard, two VMs that may own the shard, and a replica.
//!
//! A call runs only after the owner has granted its claim. The owner grants a
//! claim once it is durable: stored in the shard's object on the platform, or
//! copied to the replica that the stored object names as a witness. A new owner
//! reads the object and collects the records of one witness. That witness is the
//! replica, which then acknowledges no copies of an older term, or the former
//! owner, which stops granting. The new owner then writes its term conditionally.
//!
//! Grants, writes, copies and acknowledgements stay in the state for as long as
//! they can have an effect, so that each may arrive at any time or never. A
//! former owner may continue without knowing of the new one.

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

/// Entry of the claim specification.
pub(crate) const ENTRY: SpecificationEntry = SpecificationEntry {
    name: "claim",
    about: "owner changes, group commit and lost answers: at most one run, and no run of a call \
            reported as not run",
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
