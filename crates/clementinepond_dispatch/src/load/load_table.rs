//! Load of all endpoints, as known to one VM.

use super::{EndpointLoad, NameHash, PrefillQueue};
use clementinepond_types::{LocalTime, VmId};
use fnv::FnvHashMap;

/// Load of all endpoints, as known to one VM.
#[derive(Debug, Default)]
pub struct LoadTable {
    own: FnvHashMap<NameHash, EndpointLoad>,
    /// Prompt tokens of this VM's requests that have no first token yet.
    own_prefill: FnvHashMap<NameHash, u32>,
    /// Estimated prefill queues from the requests of all VMs.
    queues: FnvHashMap<NameHash, PrefillQueue>,
    /// Load from the requests of all peers; the sum of `by_peer`.
    remote: FnvHashMap<NameHash, EndpointLoad>,
    by_peer: FnvHashMap<VmId, Vec<(NameHash, EndpointLoad)>>,
}

impl LoadTable {
    /// Adds a request that this VM is sending.
    pub fn start(&mut self, key: NameHash, load: EndpointLoad) {
        let own = self.own.entry(key).or_default();
        *own = own.plus(load);
    }

    /// Adds the prompt tokens of a request that this VM is sending.
    pub fn start_prefill(&mut self, key: NameHash, tokens: u32, now: LocalTime) {
        let pending = self.own_prefill.entry(key).or_default();
        *pending = pending.saturating_add(tokens);
        self.queues.entry(key).or_default().add(tokens, now);
    }

    /// Removes the prompt tokens of a request that has its first token or has ended
    /// without one.
    pub fn finish_prefill(&mut self, key: NameHash, tokens: u32) {
        if let Some(pending) = self.own_prefill.get_mut(&key) {
            *pending = pending.saturating_sub(tokens);
            if *pending == 0 {
                self.own_prefill.remove(&key);
            }
        }
    }

    /// Removes a request that has ended.
    pub fn finish(&mut self, key: NameHash, load: EndpointLoad) {
        if let Some(own) = self.own.get_mut(&key) {
            *own = own.minus(load);
            if own.runs == 0 {
                self.own.remove(&key);
            }
        }
    }

    /// Adds a request that a peer is sending, until the peer's next heartbeat replaces
    /// it.
    pub fn start_remote(
        &mut self,
        peer: &VmId,
        key: NameHash,
        load: EndpointLoad,
        prefill_tokens: u32,
        now: LocalTime,
    ) {
        self.queues.entry(key).or_default().add(prefill_tokens, now);
        let remote = self.remote.entry(key).or_default();
        *remote = remote.plus(load);
        if let Some(loads) = self.by_peer.get_mut(peer) {
            loads.push((key, load));
        } else {
            self.by_peer.insert(peer.clone(), vec![(key, load)]);
        }
    }

    /// Replaces a peer's load with that of its heartbeat.
    pub fn set_peer(&mut self, peer: &VmId, loads: Vec<(NameHash, EndpointLoad)>) {
        self.remove_peer(peer);
        for (key, load) in &loads {
            let remote = self.remote.entry(*key).or_default();
            *remote = remote.plus(*load);
        }
        self.by_peer.insert(peer.clone(), loads);
    }

    /// Removes a peer's load.
    pub fn remove_peer(&mut self, peer: &VmId) {
        for (key, load) in self.by_peer.remove(peer).unwrap_or_default() {
            if let Some(remote) = self.remote.get_mut(&key) {
                *remote = remote.minus(load);
            }
        }
    }

    /// Returns the load from this VM's requests.
    #[must_use]
    pub fn own(&self, key: NameHash) -> EndpointLoad {
        self.own.get(&key).copied().unwrap_or_default()
    }

    /// Returns the load from the requests of all VMs.
    #[must_use]
    pub fn total(&self, key: NameHash) -> EndpointLoad {
        let remote = self.remote.get(&key).copied().unwrap_or_default();
        self.own(key).plus(remote)
    }

    /// Returns the prompt tokens that an endpoint has to process before those of a new
    /// request: the estimated queue, or those of this VM's requests without a first
    /// token if that is more.
    #[must_use]
    pub fn pending_prefill(&self, key: NameHash, now: LocalTime) -> f64 {
        let queue = self.queues.get(&key);
        let waiting = queue.map_or(0.0, |queue| queue.waiting(now));
        let own = self.own_prefill.get(&key).copied().unwrap_or(0);
        waiting.max(f64::from(own))
    }

    /// Removes the prefill queue of an endpoint that has restarted or left.
    pub fn remove_queue(&mut self, key: NameHash) {
        self.queues.remove(&key);
    }

    /// Returns the load from this VM's requests on each endpoint, for the heartbeat.
    #[must_use]
    pub fn own_loads(&self) -> Vec<(NameHash, EndpointLoad)> {
        self.own.iter().map(|(key, load)| (*key, *load)).collect()
    }
}
