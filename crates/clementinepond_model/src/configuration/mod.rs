//! Configuration: the newest accepted version, relayed between VMs.
//!
//! An operator writes versions to the platform. Any VM may read it, as the
//! relay does, and passes on what it holds, whole or as the difference to the
//! version before. A restarted VM holds nothing and waits for its peers.
//!
//! Assumed: within the wait after a restart, a VM that is not cut off hears
//! the newest version that its peers hold.

mod invariant;
mod mutation;
mod state;
mod step;

use crate::explore::{Bounds, ExplorationReport, SpecificationEntry, explore_all};
use mutation::ConfigurationMutation;
use state::ConfigurationBounds;
use step::ConfigurationModel;

/// Entry in the list of specifications.
pub(crate) const ENTRY: SpecificationEntry = SpecificationEntry {
    name: "configuration",
    about: "relay, restart and reordering: a version never reverts at any VM",
    mutations: mutation::ENTRIES,
    run,
};

fn run(bounds: Bounds, mutation: Option<&'static str>) -> ExplorationReport {
    let bounds = ConfigurationBounds::of(bounds);
    let mutation = ConfigurationMutation::named(mutation);
    explore_all(
        ENTRY.name,
        [(bounds, ConfigurationModel { bounds, mutation })],
    )
}
