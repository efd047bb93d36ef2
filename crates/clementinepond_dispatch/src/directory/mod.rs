//! The endpoints that a VM knows of.
//!
//! An endpoint once seen draining stays so for the rest of that life,
//! whatever older lists say. One that is no longer listed stays usable for a
//! short while, since entries lapse while the store is away and come back
//! after its return.

mod revision_guard;

pub use revision_guard::RevisionGuard;

use crate::fleet::{EndpointEntry, EndpointPhase, ServiceId};
use clementinepond_types::{EndpointId, LocalTime, TimeSpan};
use fnv::{FnvHashMap, FnvHashSet};
use std::collections::BTreeMap;

/// Time for which an endpoint that is no longer listed stays usable; below the
/// two seconds after which the platform wants a leaving endpoint left alone.
const UNLISTED_GRACE: TimeSpan = TimeSpan::from_millis(1_200);
/// The same after the store was away: entries are back two seconds after its
/// return, or their endpoints are gone.
const OUTAGE_UNLISTED_GRACE: TimeSpan = TimeSpan::from_millis(2_200);
/// Time after an outage of the store during which lapses are expected.
const OUTAGE_RECOVERY_WINDOW: TimeSpan = TimeSpan::from_secs(3);

/// Whether an endpoint is listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It is in the list.
    Listed,
    /// It has left the list and stays usable until this moment.
    Unlisted(LocalTime),
}

/// One endpoint that the VM knows of.
#[derive(Debug, Clone)]
pub struct KnownEndpoint {
    /// Its description.
    pub entry: EndpointEntry,
    /// Whether it is listed.
    pub presence: Presence,
    /// Moment at which it will be taken away, when notice was given.
    pub leaves_at: Option<LocalTime>,
}

/// What a change of the list meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointChange {
    /// A new endpoint, or a new life of a known one.
    Joined,
    /// The description changed.
    Updated,
    /// It stopped taking requests.
    Draining,
    /// Nothing that matters changed.
    Same,
}

/// The endpoints that a VM knows of.
#[derive(Debug, Default)]
pub struct EndpointDirectory {
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    draining: FnvHashMap<EndpointId, u64>,
    store_returned_at: Option<LocalTime>,
    /// Revision of the store up to which the directory is complete.
    pub revision: u64,
}

impl EndpointDirectory {
    /// Takes over a whole list.
    pub fn replace(&mut self, list: Vec<EndpointEntry>, revision: u64, now: LocalTime) {
        let listed: FnvHashSet<EndpointId> = list.iter().map(|entry| entry.id.clone()).collect();
        for entry in list {
            self.update(entry, now);
        }
        let missing: Vec<EndpointId> = self
            .endpoints
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id, now);
        }
        self.revision = self.revision.max(revision);
    }

    /// Takes over one description.
    pub fn update(&mut self, mut entry: EndpointEntry, now: LocalTime) -> EndpointChange {
        let id = entry.id.clone();
        if self.draining.get(&id) == Some(&entry.started_ms) {
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
        let leaves_at = before.and_then(|known| known.leaves_at).or(leaves_at);
        let known = KnownEndpoint {
            entry,
            presence: Presence::Listed,
            leaves_at,
        };
        self.endpoints.insert(id, known);
        change
    }

    /// Notes that an endpoint is no longer listed.
    pub fn remove(&mut self, id: &EndpointId, now: LocalTime) {
        let returned = self
            .store_returned_at
            .is_some_and(|at| now.since(at) < OUTAGE_RECOVERY_WINDOW);
        let grace = if returned {
            OUTAGE_UNLISTED_GRACE
        } else {
            UNLISTED_GRACE
        };
        if let Some(known) = self.endpoints.get_mut(id)
            && known.presence == Presence::Listed
        {
            known.presence = Presence::Unlisted(now + grace);
        }
    }

    /// Notes that the store answers again after an outage.
    pub fn record_store_return(&mut self, now: LocalTime) {
        self.store_returned_at = Some(now);
    }

    /// Drops endpoints that stayed missing; returns their names.
    pub fn sweep(&mut self, now: LocalTime) -> Vec<EndpointId> {
        let gone: Vec<EndpointId> = self
            .endpoints
            .iter()
            .filter(|(_, known)| match known.presence {
                Presence::Unlisted(until) => now >= until,
                Presence::Listed => known.leaves_at.is_some_and(|at| now >= at),
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            let is_unlisted = self
                .endpoints
                .get(id)
                .is_some_and(|known| known.presence != Presence::Listed);
            if is_unlisted {
                self.endpoints.remove(id);
            }
        }
        gone
    }

    /// Returns an endpoint.
    #[must_use]
    pub fn get(&self, id: &EndpointId) -> Option<&KnownEndpoint> {
        self.endpoints.get(id)
    }

    /// Returns all endpoints in the order of their names.
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

    /// Tells whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }
}

impl KnownEndpoint {
    /// Tells whether new requests may be sent there.
    #[must_use]
    pub fn is_usable(&self, now: LocalTime) -> bool {
        let is_there = match self.presence {
            Presence::Listed => true,
            Presence::Unlisted(until) => now < until,
        };
        let is_leaving = self.leaves_at.is_some() || self.entry.phase == EndpointPhase::Draining;
        is_there && !is_leaving
    }
}
