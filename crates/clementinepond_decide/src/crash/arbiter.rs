//! Permits that a VM granted to suspects, and the runs that wait for one.

use super::identity::{CrashTicket, RequestFingerprint};
use super::settings::{CrashMutation, CrashSettings};
use clementinepond_types::{EndpointId, LocalTime, VmId};
use std::collections::BTreeMap;

/// Identifies a run in the fleet; tickets are unique only within one VM process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RunKey {
    pub(crate) vm: VmId,
    pub(crate) ticket: CrashTicket,
}

#[derive(Debug, Clone)]
struct PermitEntry {
    fingerprint: RequestFingerprint,
    endpoint: EndpointId,
    is_likely_culprit: bool,
    expiry: LocalTime,
}

/// Run that is queued for a permit.
#[derive(Debug, Clone)]
pub(crate) struct PermitWaiter {
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) candidates: Vec<EndpointId>,
    pub(crate) deadline: LocalTime,
    waiting_since: LocalTime,
}

/// Granted permits and the runs that wait for one.
#[derive(Debug, Clone, Default)]
pub(crate) struct PermitTable {
    permits: BTreeMap<RunKey, PermitEntry>,
    waiters: BTreeMap<RunKey, PermitWaiter>,
}

impl PermitTable {
    /// Returns the endpoint that a run holds a permit for.
    pub(crate) fn permitted_endpoint(&self, key: &RunKey) -> Option<EndpointId> {
        self.permits.get(key).map(|permit| permit.endpoint.clone())
    }

    /// Chooses the available endpoint with the fewest unexplained crashes.
    ///
    /// Returns `None` if no endpoint is available or if a run of the same request
    /// already has a permit. A likely culprit runs without other suspects; up to
    /// `group_limit` less likely ones may share an endpoint. An endpoint with at
    /// least `flaky_limit` more crashes than the best candidate is not used, since
    /// its next crash would count against the suspect.
    pub(crate) fn choose(
        &self,
        fingerprint: RequestFingerprint,
        candidates: &[EndpointId],
        is_likely_culprit: bool,
        crashes: impl Fn(&EndpointId) -> usize,
        settings: &CrashSettings,
    ) -> Option<EndpointId> {
        let is_running = self
            .permits
            .values()
            .any(|permit| permit.fingerprint == fingerprint);
        if is_running && settings.mutation != CrashMutation::RunCopies {
            return None;
        }
        let fewest = candidates.iter().map(&crashes).min()?;
        let is_occupied = |endpoint: &EndpointId| {
            let permits_here = || {
                self.permits
                    .values()
                    .filter(|permit| permit.endpoint == *endpoint)
            };
            let limit = if is_likely_culprit {
                1
            } else {
                settings.group_limit
            };
            permits_here().count() >= limit || permits_here().any(|permit| permit.is_likely_culprit)
        };
        candidates
            .iter()
            .filter(|endpoint| !is_occupied(endpoint))
            .filter(|endpoint| crashes(endpoint) < fewest + settings.flaky_limit)
            .min_by_key(|endpoint| crashes(endpoint))
            .cloned()
    }

    /// Records a permit, which occupies the endpoint until it expires, and removes the
    /// run's queue entry.
    pub(crate) fn insert(
        &mut self,
        key: RunKey,
        fingerprint: RequestFingerprint,
        endpoint: EndpointId,
        is_likely_culprit: bool,
        expiry: LocalTime,
    ) {
        self.waiters.remove(&key);
        let permit = PermitEntry {
            fingerprint,
            endpoint,
            is_likely_culprit,
            expiry,
        };
        self.permits.insert(key, permit);
    }

    /// Queues a run; a run that is queued already keeps its place.
    pub(crate) fn enqueue(
        &mut self,
        key: RunKey,
        fingerprint: RequestFingerprint,
        candidates: Vec<EndpointId>,
        deadline: LocalTime,
        now: LocalTime,
    ) {
        let waiting_since = self
            .waiters
            .get(&key)
            .map_or(now, |waiter| waiter.waiting_since);
        let waiter = PermitWaiter {
            fingerprint,
            candidates,
            deadline,
            waiting_since,
        };
        self.waiters.insert(key, waiter);
    }

    /// Removes the permit and the queue entry of a run.
    pub(crate) fn remove(&mut self, key: &RunKey) {
        self.permits.remove(key);
        self.waiters.remove(key);
    }

    /// Removes the queue entry of a run.
    pub(crate) fn remove_waiter(&mut self, key: &RunKey) {
        self.waiters.remove(key);
    }

    /// Removes all permits and queue entries of a VM.
    pub(crate) fn remove_vm(&mut self, vm: &VmId) {
        self.permits.retain(|key, _| key.vm != *vm);
        self.waiters.retain(|key, _| key.vm != *vm);
    }

    /// Returns the waiting runs, longest wait first.
    pub(crate) fn waiting(&self) -> Vec<(RunKey, PermitWaiter)> {
        let mut waiting: Vec<_> = self
            .waiters
            .iter()
            .map(|(key, waiter)| (key.clone(), waiter.clone()))
            .collect();
        waiting.sort_by_key(|(_, waiter)| waiter.waiting_since);
        waiting
    }

    /// Removes expired permits and waiting runs past their deadline.
    pub(crate) fn expire(&mut self, now: LocalTime) {
        self.permits.retain(|_, permit| now < permit.expiry);
        self.waiters.retain(|_, waiter| now < waiter.deadline);
    }

    pub(crate) fn len(&self) -> usize {
        self.permits.len()
    }
}
