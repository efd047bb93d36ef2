//! Configuration: the newest accepted version, relayed between VMs.
//!
//! An operator writes versions to the platform. Any VM may read them, as the
//! relay does, and forwards the version it holds, as the complete text or as the
//! delta from the previous version. A restarted VM holds nothing and waits for
//! its peers.
//!
//! Assumption: within the wait after a restart, a VM that is not disconnected
//! receives the newest version that its connected peers hold.

mod invariant;
mod mutation;
mod state;
mod step;

use crate::explore::{Bounds, ExplorationReport, SpecificationEntry, explore_all};
use mutation::ConfigurationMutation;
use state::ConfigurationBounds;
use step::ConfigurationModel;

/// Entry of the configuration specification.
pub(crate) const ENTRY: SpecificationEntry = SpecificationEntry {
    name: "configuration",
    about: "relay, restarts and reordering: no VM returns to an older version",
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
