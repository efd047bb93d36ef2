//! Brittle endpoints, and their last rejections.

use crate::fleet::Stated;
use crate::load::NameHash;
use clementinepond_types::{LocalTime, TimeSpan};
use fnv::FnvHashMap;
use std::collections::VecDeque;

/// Span in which an endpoint counts its rejections.
const REJECTION_SPAN: TimeSpan = TimeSpan::from_secs(1);

/// Room at an endpoint, as a VM knows it.
#[derive(Debug, Clone, Copy)]
pub struct EndpointRoom {
    /// Number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Requests of this VM in flight there.
    pub own_runs: u32,
    /// Requests of all VMs in flight there, as far as known.
    pub total_runs: u32,
    /// Number of live VMs that do not announce each request and so need a part of the slots
    /// each; 1 if they announce it.
    pub unannounced_vms: u32,
}

/// Brittle endpoint.
#[derive(Debug, Clone)]
struct BrittleEndpoint {
    /// Number of rejections in a second that it survives; `None` once it no longer states
    /// one.
    most: Option<u32>,
    /// Time as of which that is known.
    known_at: LocalTime,
    /// Rejections in the last second, oldest first.
    rejected: VecDeque<LocalTime>,
}

/// Brittle endpoints, as known to one VM.
#[derive(Debug, Default)]
pub struct RejectionTable {
    endpoints: FnvHashMap<NameHash, BrittleEndpoint>,
}

impl RejectionTable {
    /// Records how many rejections in a second an endpoint states to survive, in an answer to
    /// a request that was sent at `sent_at`; returns whether it became brittle or sound.
    pub fn record_answer(
        &mut self,
        endpoint: NameHash,
        most: Stated<u32>,
        sent_at: LocalTime,
        now: LocalTime,
    ) -> bool {
        let (most, known_at) = match most {
            Stated::Value(most) => (Some(most), now),
            Stated::Absent => (None, sent_at),
            Stated::Unreadable => return false,
        };
        let Some(known) = self.endpoints.get_mut(&endpoint) else {
            if most.is_some() {
                self.insert(endpoint, most, known_at);
            }
            return most.is_some();
        };
        if known_at <= known.known_at {
            return false;
        }
        known.known_at = known_at;
        let before = std::mem::replace(&mut known.most, most);
        before.is_some() != most.is_some()
    }

    /// Records a rejection by an endpoint; returns the number that it survives in a second if
    /// it is brittle.
    pub fn record_rejection(&mut self, endpoint: NameHash, now: LocalTime) -> Option<u32> {
        let known = self.endpoints.get_mut(&endpoint)?;
        let most = known.most?;
        known.rejected.push_back(now);
        known.drop_expired(now);
        Some(most)
    }

    /// Records a rejection that a peer met at a brittle endpoint.
    pub fn record_peer_rejection(&mut self, endpoint: NameHash, most: u32, now: LocalTime) {
        if !self.endpoints.contains_key(&endpoint) {
            self.insert(endpoint, Some(most), now);
        }
        self.record_rejection(endpoint, now);
    }

    /// Returns whether an endpoint may get a request: it is not brittle, or has a free slot
    /// and has rejected at most half of what it survives.
    #[must_use]
    pub fn has_room(&self, endpoint: NameHash, room: EndpointRoom, now: LocalTime) -> bool {
        let Some(known) = self.endpoints.get(&endpoint) else {
            return true;
        };
        let Some(most) = known.most else {
            return true;
        };
        let is_recent = |at: &&LocalTime| now.since(**at) < REJECTION_SPAN;
        let recent = known.rejected.iter().filter(is_recent).count();
        let part = (room.slots / room.unannounced_vms.max(1)).max(1);
        recent < (most as usize / 2).max(1) && room.own_runs < part && room.total_runs < room.slots
    }

    /// Removes an endpoint that has restarted or left.
    pub fn remove(&mut self, endpoint: NameHash) {
        self.endpoints.remove(&endpoint);
    }

    fn insert(&mut self, endpoint: NameHash, most: Option<u32>, known_at: LocalTime) {
        let known = BrittleEndpoint {
            most,
            known_at,
            rejected: VecDeque::new(),
        };
        self.endpoints.insert(endpoint, known);
    }
}

impl BrittleEndpoint {
    fn drop_expired(&mut self, now: LocalTime) {
        let is_expired = |at: &LocalTime| now.since(*at) >= REJECTION_SPAN;
        while self.rejected.front().is_some_and(is_expired) {
            self.rejected.pop_front();
        }
    }
}
