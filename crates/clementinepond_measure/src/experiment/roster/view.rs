//! Queries on the simulated world.

use super::process::VmProcess;
use super::world::World;
use clementinepond_decide::configuration::WithdrawalRecord;
use clementinepond_decide::roster::ContactRule;
use clementinepond_types::{KeyDigest, ObjectVersion};

impl World {
    /// Returns whether the VM list may omit VMs that are still running.
    ///
    /// The default contact rule, `AfterPause`, assumes that it does not.
    pub(crate) fn shows_running_as_gone(&self) -> bool {
        self.plan.roster.contact_rule != ContactRule::AfterPause
    }

    fn running(&self) -> impl Iterator<Item = &VmProcess> {
        self.processes.iter().flatten()
    }

    /// Returns the first slot whose process is the relay of a data centre.
    pub(crate) fn relay_of(&self, data_centre: usize) -> Option<usize> {
        self.processes.iter().position(|place| {
            place.as_ref().is_some_and(|process| {
                process.data_centre == data_centre && process.roster.is_relay()
            })
        })
    }

    /// Counts the VMs in the selected data centres that have an older
    /// configuration version in force.
    pub(crate) fn count_outdated(
        &self,
        version: ObjectVersion,
        is_counted: &impl Fn(usize) -> bool,
    ) -> usize {
        self.running()
            .filter(|process| is_counted(process.data_centre))
            .filter(|process| process.configuration.in_force() < Some(version))
            .count()
    }

    /// Counts the VMs that accept a key.
    pub(crate) fn count_accepting(&self, key: &KeyDigest) -> u64 {
        let accepting = self.running().filter(|process| process.accepts(key));
        accepting.count() as u64
    }

    /// Counts how often a running process put an older configuration version
    /// in force.
    pub(crate) fn reverts(&self) -> u64 {
        self.running().map(|process| process.reverts).sum()
    }

    /// Returns whether the withdrawal record on the platform contains a key.
    pub(crate) fn is_recorded(&self, key: &KeyDigest) -> bool {
        self.platform
            .get::<WithdrawalRecord>("fleet")
            .is_some_and(|object| object.value.keys.contains(key))
    }
}
