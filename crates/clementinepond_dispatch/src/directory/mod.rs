//! Directory of the endpoints that a VM knows.
//!
//! An endpoint that was seen draining counts as draining for the rest of its
//! incarnation, even if an outdated list shows it as ready. An endpoint that is no
//! longer listed stays usable for a short time, since entries expire while the store is
//! unavailable and reappear after its return.

mod revision_guard;
mod software_history;

pub use revision_guard::RevisionGuard;

use crate::fleet::{EndpointEntry, EndpointPhase, ServiceId, SoftwareVersion};
use clementinepond_types::{EndpointId, LocalTime, TimeSpan};
use fnv::{FnvHashMap, FnvHashSet};
use software_history::SoftwareHistory;
use std::collections::BTreeMap;

/// Time for which an endpoint that is no longer listed stays usable; less than the two
/// seconds after which the platform requires that a leaving endpoint gets no requests.
const UNLISTED_GRACE: TimeSpan = TimeSpan::from_millis(1_200);
/// Time after an outage of the store in which an endpoint that is not listed stays usable.
/// Entries reappear within two seconds of the store's return, or their endpoints are gone.
const OUTAGE_RECOVERY_DURATION: TimeSpan = TimeSpan::from_millis(2_200);

/// Whether an endpoint is listed in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// The endpoint is listed.
    Listed,
    /// The endpoint is no longer listed and stays usable until this time.
    Unlisted(LocalTime),
}

/// Endpoint that the VM knows.
#[derive(Debug, Clone)]
pub struct KnownEndpoint {
    /// Newest description of the endpoint.
    pub entry: EndpointEntry,
    /// Whether the endpoint is listed.
    pub presence: Presence,
    /// Time at which the endpoint will be removed; `None` without advance notice.
    pub leaves_at: Option<LocalTime>,
}

/// Effect of an update on the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointChange {
    /// The endpoint is new or has a new incarnation.
    Joined,
    /// The description changed otherwise.
    Updated,
    /// The phase changed to draining.
    Draining,
    /// The description is the same, or is of an earlier incarnation.
    Same,
}

/// Directory of the endpoints that a VM knows.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    /// Start of the latest incarnation of each endpoint that was seen draining.
    draining: FnvHashMap<EndpointId, u64>,
    store_returned_at: Option<LocalTime>,
    software: SoftwareHistory,
    /// Store revision up to which the directory is complete.
    pub revision: u64,
}

impl EndpointDirectory {
    /// Updates the directory from a complete list; endpoints not in it become unlisted.
    pub fn replace(&mut self, list: Vec<EndpointEntry>, revision: u64, now: LocalTime) {
        let listed: FnvHashSet<EndpointId> = list.iter().map(|entry| entry.id.clone()).collect();
        for entry in list {
            self.update(entry, now);
        }
        let unlisted: Vec<EndpointId> = self
            .endpoints
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        for id in unlisted {
            self.remove(&id, now);
        }
        self.revision = self.revision.max(revision);
    }

    /// Updates an endpoint from its description and marks it as listed, unless the
    /// description is of an earlier incarnation.
    pub fn update(&mut self, mut entry: EndpointEntry, now: LocalTime) -> EndpointChange {
        let id = entry.id.clone();
        let drained = self.draining.get(&id);
        if drained.is_some_and(|started_ms| entry.started_ms <= *started_ms) {
            entry.phase = EndpointPhase::Draining;
        } else if entry.phase == EndpointPhase::Draining {
            self.draining.insert(id.clone(), entry.started_ms);
        }
        let leaves_at = entry.time_left.map(|left| now + left);
        let before = self.endpoints.get(&id);
        let change = match before {
            Some(known) if known.entry.started_ms > entry.started_ms => {
                return EndpointChange::Same;
            }
            Some(known) if known.entry.started_ms < entry.started_ms => EndpointChange::Joined,
            Some(known) if known.entry.phase != entry.phase => EndpointChange::Draining,
            Some(known) if known.entry == entry => EndpointChange::Same,
            Some(_) => EndpointChange::Updated,
            None => EndpointChange::Joined,
        };
        let same = before.filter(|known| known.entry.started_ms == entry.started_ms);
        let leaves_at = same.and_then(|known| known.leaves_at).or(leaves_at);
        if let Some(known) = before
            && known.entry.software != entry.software
        {
            let left = &known.entry;
            self.software
                .record_departure(left.service.clone(), left.software.clone(), now);
        }
        let known = KnownEndpoint {
            entry,
            presence: Presence::Listed,
            leaves_at,
        };
        self.endpoints.insert(id, known);
        change
    }

    /// Marks an endpoint as no longer listed.
    pub fn remove(&mut self, id: &EndpointId, now: LocalTime) {
        let recovered_at = self
            .store_returned_at
            .map_or(now, |at| at + OUTAGE_RECOVERY_DURATION);
        let until = recovered_at.max(now + UNLISTED_GRACE);
        if let Some(known) = self.endpoints.get_mut(id)
            && known.presence == Presence::Listed
        {
            known.presence = Presence::Unlisted(until);
        }
    }

    /// Records that the store is available again after an outage.
    pub fn record_store_return(&mut self, now: LocalTime) {
        self.store_returned_at = Some(now);
    }

    /// Removes unlisted endpoints whose grace period is over.
    ///
    /// Returns their IDs, and those of listed endpoints whose announced removal time
    /// has passed; the latter stay in the directory and are returned again by each
    /// call.
    pub fn sweep(&mut self, now: LocalTime) -> Vec<EndpointId> {
        let expired: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, known)| match known.presence {
                Presence::Unlisted(until) => now >= until,
                Presence::Listed => known.leaves_at.is_some_and(|at| now >= at),
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            let is_unlisted = self
                .endpoints
                .get(id)
                .is_some_and(|known| known.presence != Presence::Listed);
            if is_unlisted && let Some(known) = self.endpoints.remove(id) {
                let left = known.entry;
                self.software
                    .record_departure(left.service, left.software, now);
            }
        }
        expired
    }

    /// Records that the directory is up to date, as far as the store and the peers tell.
    pub fn record_up_to_date(&mut self, now: LocalTime) {
        self.software.record_up_to_date(now);
    }

    /// Returns the only software version that endpoints of a service have had for a time, or
    /// `None` if there are several or the directory was not complete all the while.
    #[must_use]
    pub fn sole_software(
        &self,
        service: &ServiceId,
        age: TimeSpan,
        now: LocalTime,
    ) -> Option<SoftwareVersion> {
        if !self.software.covers(age, now) {
            return None;
        }
        let known = self.endpoints.values().map(|known| &known.entry);
        let mut versions = known
            .filter(|entry| entry.service == *service)
            .map(|entry| &entry.software)
            .chain(self.software.departed_within(service, age, now));
        let first = versions.next()?;
        versions
            .all(|version| version == first)
            .then(|| first.clone())
    }

    /// Returns the endpoint with an ID.
    #[must_use]
    pub fn get(&self, id: &EndpointId) -> Option<&KnownEndpoint> {
        self.endpoints.get(id)
    }

    /// Returns all endpoints, ordered by ID.
    pub fn all(&self) -> impl Iterator<Item = &KnownEndpoint> {
        self.endpoints.values()
    }

    /// Returns the endpoints of a service that take new requests.
    pub fn usable<'a>(
        &'a self,
        service: &'a ServiceId,
        now: LocalTime,
    ) -> impl Iterator<Item = &'a KnownEndpoint> {
        self.endpoints
            .values()
            .filter(move |known| known.entry.service == *service && known.is_usable(now))
    }

    /// Returns whether the directory has no endpoints.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}

impl KnownEndpoint {
    /// Returns whether new requests may be sent to the endpoint.
    #[must_use]
    pub fn is_usable(&self, now: LocalTime) -> bool {
        let is_present = match self.presence {
            Presence::Listed => true,
            Presence::Unlisted(until) => now < until,
        };
        let is_leaving = self.leaves_at.is_some() || self.entry.phase == EndpointPhase::Draining;
        is_present && !is_leaving
    }
}
