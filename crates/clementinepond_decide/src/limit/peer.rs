//! Whether other VMs answer.

use super::settings::LimitSettings;
use clementinepond_types::{LocalTime, VmId};
use std::collections::BTreeMap;

/// Questions to one VM that wait for an answer.
#[derive(Debug, Default)]
struct PeerWait {
    since: Option<LocalTime>,
    probe_at: LocalTime,
}

/// Answers that are awaited from other VMs.
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    peers: BTreeMap<VmId, PeerWait>,
}

impl PeerTable {
    /// Notes that a VM was asked something.
    pub(super) fn asked(&mut self, peer: &VmId, now: LocalTime, settings: &LimitSettings) {
        let wait = self.peers.entry(peer.clone()).or_default();
        wait.since.get_or_insert(now);
        wait.probe_at = now + settings.probe_interval;
    }

    /// Notes that a VM answered or asked.
    pub(super) fn heard(&mut self, peer: &VmId) {
        if let Some(wait) = self.peers.get_mut(peer) {
            wait.since = None;
        }
    }

    /// Forgets VMs that are not in `keep`.
    pub(super) fn retain(&mut self, keep: impl Fn(&VmId) -> bool) {
        self.peers.retain(|peer, _| keep(peer));
    }

    /// Returns whether a VM answers, as far as is known.
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

    /// Returns whether a VM may be asked: it answers, or a probe is due.
    pub(super) fn is_askable(&self, peer: &VmId, now: LocalTime, settings: &LimitSettings) -> bool {
        let is_due = |wait: &PeerWait| wait.probe_at <= now;
        self.is_reachable(peer, now, settings) || self.peers.get(peer).is_some_and(is_due)
    }
}
