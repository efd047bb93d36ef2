//! Load of all endpoints as one VM sees it.

use super::{EndpointLoad, NameHash, PrefillQueue};
use clementinepond_types::{LocalTime, VmId};
use fnv::FnvHashMap;

/// Load of all endpoints.
#[derive(Debug, Default)]
pub struct LoadTable {
    own: FnvHashMap<NameHash, EndpointLoad>,
    /// Prompt tokens of own requests without a first token.
    own_prefill: FnvHashMap<NameHash, u32>,
    /// Prompt text that all VMs sent.
    queues: FnvHashMap<NameHash, PrefillQueue>,
    remote: FnvHashMap<NameHash, EndpointLoad>,
    by_peer: FnvHashMap<VmId, Vec<(NameHash, EndpointLoad)>>,
}

impl LoadTable {
    /// Counts a request that is being sent.
    pub fn start(&mut self, key: NameHash, share: EndpointLoad) {
        let own = self.own.entry(key).or_default();
        *own = own.plus(share);
    }

    /// Counts the prompt text of a request that is being sent.
    pub fn start_prefill(&mut self, key: NameHash, tokens: u32, now: LocalTime) {
        let pending = self.own_prefill.entry(key).or_default();
        *pending = pending.saturating_add(tokens);
        self.queues.entry(key).or_default().add(tokens, now);
    }

    /// Counts the first token of a request, or its end without one.
    pub fn finish_prefill(&mut self, key: NameHash, tokens: u32) {
        if let Some(pending) = self.own_prefill.get_mut(&key) {
            *pending = pending.saturating_sub(tokens);
            if *pending == 0 {
                self.own_prefill.remove(&key);
            }
        }
    }

    /// Counts the end of a request.
    pub fn finish(&mut self, key: NameHash, share: EndpointLoad) {
        if let Some(own) = self.own.get_mut(&key) {
            *own = own.minus(share);
            if own.runs == 0 {
                self.own.remove(&key);
            }
        }
    }

    /// Counts a request that a peer is sending; the peer's next news replace it.
    pub fn start_remote(
        &mut self,
        peer: &VmId,
        key: NameHash,
        share: EndpointLoad,
        prefill_tokens: u32,
        now: LocalTime,
    ) {
        self.queues.entry(key).or_default().add(prefill_tokens, now);
        let remote = self.remote.entry(key).or_default();
        *remote = remote.plus(share);
        if let Some(loads) = self.by_peer.get_mut(peer) {
            loads.push((key, share));
        } else {
            self.by_peer.insert(peer.clone(), vec![(key, share)]);
        }
    }

    /// Takes over what a peer says of its own load.
    pub fn set_peer(&mut self, peer: &VmId, loads: Vec<(NameHash, EndpointLoad)>) {
        self.forget_peer(peer);
        for (key, share) in &loads {
            let remote = self.remote.entry(*key).or_default();
            *remote = remote.plus(*share);
        }
        self.by_peer.insert(peer.clone(), loads);
    }

    /// Drops what a peer said.
    pub fn forget_peer(&mut self, peer: &VmId) {
        for (key, share) in self.by_peer.remove(peer).unwrap_or_default() {
            if let Some(remote) = self.remote.get_mut(&key) {
                *remote = remote.minus(share);
            }
        }
    }

    /// Returns the load that this VM put on an endpoint.
    #[must_use]
    pub fn own(&self, key: NameHash) -> EndpointLoad {
        self.own.get(&key).copied().unwrap_or_default()
    }

    /// Returns the load that all VMs put on an endpoint.
    #[must_use]
    pub fn total(&self, key: NameHash) -> EndpointLoad {
        let remote = self.remote.get(&key).copied().unwrap_or_default();
        self.own(key).plus(remote)
    }

    /// Returns the prompt tokens that an endpoint still has to read before those
    /// of a new request.
    #[must_use]
    pub fn pending_prefill(&self, key: NameHash, now: LocalTime) -> f64 {
        let queue = self.queues.get(&key);
        let waiting = queue.map_or(0.0, |queue| queue.waiting(now));
        let own = self.own_prefill.get(&key).copied().unwrap_or(0);
        waiting.max(f64::from(own))
    }

    /// Forgets the queue of an endpoint that started anew or is gone.
    pub fn forget_queue(&mut self, key: NameHash) {
        self.queues.remove(&key);
    }

    /// Returns what this VM has to tell its peers.
    #[must_use]
    pub fn own_loads(&self) -> Vec<(NameHash, EndpointLoad)> {
        self.own.iter().map(|(key, share)| (*key, *share)).collect()
    }
}
