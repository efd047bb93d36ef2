//! Tracks which other VMs answer.

use super::settings::LimitSettings;
use clementinepond_types::{LocalTime, VmId};
use std::collections::BTreeMap;

/// Time of unanswered requests to one VM.
#[derive(Debug, Default)]
struct PeerWait {
    /// Time of the first request since the last message from the VM; `None` without one.
    since: Option<LocalTime>,
    /// Earliest time of the next request when the VM is unreachable.
    probe_at: LocalTime,
}

/// Unanswered requests by VM.
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    peers: BTreeMap<VmId, PeerWait>,
}

impl PeerTable {
    /// Records that a VM was sent a request.
    pub(super) fn record_request(&mut self, peer: &VmId, now: LocalTime, settings: &LimitSettings) {
        let wait = self.peers.entry(peer.clone()).or_default();
        wait.since.get_or_insert(now);
        wait.probe_at = now + settings.probe_interval;
    }

    /// Records that a message from a VM arrived.
    pub(super) fn record_contact(&mut self, peer: &VmId) {
        if let Some(wait) = self.peers.get_mut(peer) {
            wait.since = None;
        }
    }

    /// Removes VMs for which `keep` returns `false`.
    pub(super) fn retain(&mut self, keep: impl Fn(&VmId) -> bool) {
        self.peers.retain(|peer, _| keep(peer));
    }

    /// Returns whether no request to the VM has been unanswered for `peer_timeout` or
    /// longer; any message from the VM counts as an answer.
    pub(super) fn is_reachable(
        &self,
        peer: &VmId,
        now: LocalTime,
        settings: &LimitSettings,
    ) -> bool {
        self.peers
            .get(peer)
            .and_then(|wait| wait.since)
            .is_none_or(|since| now < since + settings.peer_timeout)
    }

    /// Returns whether a VM may be sent a request: it is reachable, or a probe
    /// is due.
    pub(super) fn may_contact(
        &self,
        peer: &VmId,
        now: LocalTime,
        settings: &LimitSettings,
    ) -> bool {
        let is_due = |wait: &PeerWait| wait.probe_at <= now;
        self.is_reachable(peer, now, settings) || self.peers.get(peer).is_some_and(is_due)
    }
}
