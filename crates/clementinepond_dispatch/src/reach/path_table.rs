//! Paths from a VM to the endpoints.

use crate::load::NameHash;
use clementinepond_types::{LocalTime, TimeSpan};
use fnv::FnvHashMap;

/// Number of endpoints with a failed link from which the VM counts as cut off from all of
/// them; a single one may have lost only the path to this VM.
const MIN_FAILED_LINKS: usize = 2;
/// Interval between direct connections that show whether a link works again.
const PROBE_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Time for which an endpoint that no peer reached either is not tried through peers again.
const CONFIRMED_DOWN_TIME: TimeSpan = TimeSpan::from_secs(2);

/// Change of a VM's reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// Nothing changed.
    Same,
    /// The VM is cut off from all endpoints.
    Cut,
    /// The VM reaches endpoints again.
    Restored,
}

/// Paths from a VM to the endpoints; direct unless the table knows better.
#[derive(Debug, Default)]
pub struct PathTable {
    /// Endpoints that peers reach and this VM does not.
    failed_links: FnvHashMap<NameHash, LocalTime>,
    is_cut: bool,
    /// Endpoints that neither this VM nor a peer reached, with the time until which that
    /// counts.
    confirmed_down: FnvHashMap<NameHash, LocalTime>,
    probed_at: LocalTime,
}

impl PathTable {
    /// Returns whether the VM is cut off from all endpoints.
    #[must_use]
    pub const fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Returns whether requests to an endpoint go through a peer.
    #[must_use]
    pub fn is_forwarded(&self, endpoint: NameHash) -> bool {
        self.is_cut || self.failed_links.contains_key(&endpoint)
    }

    /// Returns whether a peer may reach an endpoint to which a direct connection failed.
    #[must_use]
    pub fn may_forward(&self, endpoint: NameHash, now: LocalTime) -> bool {
        let down_until = self.confirmed_down.get(&endpoint);
        down_until.is_none_or(|until| now >= *until)
    }

    /// Records that a direct connection failed to an endpoint that a peer reaches.
    pub fn record_failed_link(&mut self, endpoint: NameHash, now: LocalTime) -> PathChange {
        self.confirmed_down.remove(&endpoint);
        self.failed_links.insert(endpoint, now);
        if self.failed_links.len() < MIN_FAILED_LINKS || self.is_cut {
            return PathChange::Same;
        }
        self.is_cut = true;
        PathChange::Cut
    }

    /// Records that neither this VM nor a peer reached an endpoint; no evidence against it
    /// while this VM is cut off.
    pub fn record_down(&mut self, endpoint: NameHash, now: LocalTime) {
        if self.is_cut {
            return;
        }
        self.failed_links.remove(&endpoint);
        self.confirmed_down
            .insert(endpoint, now + CONFIRMED_DOWN_TIME);
    }

    /// Records that a direct connection to an endpoint was opened.
    pub fn record_connected(&mut self, endpoint: NameHash) -> PathChange {
        self.failed_links.remove(&endpoint);
        self.confirmed_down.remove(&endpoint);
        if !self.is_cut {
            return PathChange::Same;
        }
        self.is_cut = false;
        // The links of the other endpoints are tried again.
        self.failed_links.clear();
        PathChange::Restored
    }

    /// Returns the endpoint to which a direct connection is due: the one whose link failed
    /// longest ago.
    pub fn due_probe(&mut self, now: LocalTime) -> Option<NameHash> {
        if now.since(self.probed_at) < PROBE_INTERVAL {
            return None;
        }
        let (endpoint, at) = self.failed_links.iter_mut().min_by_key(|(_, at)| **at)?;
        self.probed_at = now;
        *at = now;
        Some(*endpoint)
    }

    /// Removes an endpoint that has restarted or left.
    pub fn remove(&mut self, endpoint: NameHash) {
        self.failed_links.remove(&endpoint);
        self.confirmed_down.remove(&endpoint);
        // Without an endpoint to probe, the VM would count as cut off for good.
        self.is_cut &= !self.failed_links.is_empty();
    }
}
