//! Permits for suspects, given by one VM.

use super::identity::{CrashTicket, RequestFingerprint};
use super::settings::{CrashMutation, CrashSettings};
use clementinepond_types::{EndpointId, LocalTime, VmId};
use std::collections::BTreeMap;

/// One run of one VM.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RunOwner {
    pub(crate) vm: VmId,
    pub(crate) ticket: CrashTicket,
}

#[derive(Debug, Clone)]
struct PermitEntry {
    fingerprint: RequestFingerprint,
    endpoint: EndpointId,
    is_likely: bool,
    expiry: LocalTime,
}

/// Run that waits for a permit.
#[derive(Debug, Clone)]
pub(crate) struct PermitWaiter {
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) candidates: Vec<EndpointId>,
    pub(crate) deadline: LocalTime,
    since: LocalTime,
}

/// Permits and the runs that wait for one.
#[derive(Debug, Clone, Default)]
pub(crate) struct PermitTable {
    permits: BTreeMap<RunOwner, PermitEntry>,
    waiters: BTreeMap<RunOwner, PermitWaiter>,
}

impl PermitTable {
    /// Returns the endpoint of a run that has a permit.
    pub(crate) fn permitted(&self, owner: &RunOwner) -> Option<EndpointId> {
        self.permits
            .get(owner)
            .map(|permit| permit.endpoint.clone())
    }

    /// Chooses the free endpoint that crashed least by itself.
    ///
    /// A likely culprit runs there without other suspects; less likely ones may
    /// share it.
    ///
    /// An endpoint that crashed much more often than another candidate is not
    /// used, since its next crash would be held against the suspect.
    pub(crate) fn choose(
        &self,
        fingerprint: RequestFingerprint,
        candidates: &[EndpointId],
        is_likely: bool,
        crashes: impl Fn(&EndpointId) -> usize,
        settings: &CrashSettings,
    ) -> Option<EndpointId> {
        let copies = self
            .permits
            .values()
            .any(|permit| permit.fingerprint == fingerprint);
        if copies && settings.mutation != CrashMutation::RunCopies {
            return None;
        }
        let fewest = candidates.iter().map(&crashes).min()?;
        let is_taken = |endpoint: &EndpointId| {
            let here = || {
                self.permits
                    .values()
                    .filter(|one| one.endpoint == *endpoint)
            };
            let limit = if is_likely { 1 } else { settings.group_limit };
            here().count() >= limit || here().any(|permit| permit.is_likely)
        };
        candidates
            .iter()
            .filter(|endpoint| !is_taken(endpoint))
            .filter(|endpoint| crashes(endpoint) < fewest + settings.flaky_limit)
            .min_by_key(|endpoint| crashes(endpoint))
            .cloned()
    }

    /// Counts a run at an endpoint.
    pub(crate) fn occupy(
        &mut self,
        owner: RunOwner,
        fingerprint: RequestFingerprint,
        endpoint: EndpointId,
        is_likely: bool,
        expiry: LocalTime,
    ) {
        self.waiters.remove(&owner);
        let permit = PermitEntry {
            fingerprint,
            endpoint,
            is_likely,
            expiry,
        };
        self.permits.insert(owner, permit);
    }

    /// Remembers a run that waits, in order of its first request.
    pub(crate) fn wait(
        &mut self,
        owner: RunOwner,
        fingerprint: RequestFingerprint,
        candidates: Vec<EndpointId>,
        deadline: LocalTime,
        now: LocalTime,
    ) {
        let since = self.waiters.get(&owner).map_or(now, |waiter| waiter.since);
        let waiter = PermitWaiter {
            fingerprint,
            candidates,
            deadline,
            since,
        };
        self.waiters.insert(owner, waiter);
    }

    /// Forgets a run.
    pub(crate) fn remove(&mut self, owner: &RunOwner) {
        self.permits.remove(owner);
        self.waiters.remove(owner);
    }

    /// Forgets that a run waits.
    pub(crate) fn stop_waiting(&mut self, owner: &RunOwner) {
        self.waiters.remove(owner);
    }

    /// Forgets the runs of a VM.
    pub(crate) fn remove_vm(&mut self, vm: &VmId) {
        self.permits.retain(|owner, _| owner.vm != *vm);
        self.waiters.retain(|owner, _| owner.vm != *vm);
    }

    /// Returns the runs that wait, longest first.
    pub(crate) fn waiting(&self) -> Vec<(RunOwner, PermitWaiter)> {
        let mut waiting: Vec<_> = self
            .waiters
            .iter()
            .map(|(owner, waiter)| (owner.clone(), waiter.clone()))
            .collect();
        waiting.sort_by_key(|(_, waiter)| waiter.since);
        waiting
    }

    /// Forgets permits and waiters whose time is over.
    pub(crate) fn expire(&mut self, now: LocalTime) {
        self.permits.retain(|_, permit| now < permit.expiry);
        self.waiters.retain(|_, waiter| now < waiter.deadline);
    }

    pub(crate) fn len(&self) -> usize {
        self.permits.len()
    }
}
