//! Load of all endpoints as one VM sees it.

use super::{EndpointKey, LoadShare};
use clementinepond_types::VmId;
use fnv::FnvHashMap;

/// Load of all endpoints.
#[derive(Debug, Default)]
pub struct LoadLedger {
    own: FnvHashMap<EndpointKey, LoadShare>,
    remote: FnvHashMap<EndpointKey, LoadShare>,
    by_peer: FnvHashMap<VmId, Vec<(EndpointKey, LoadShare)>>,
}

impl LoadLedger {
    /// Counts a request that is being sent.
    pub fn start(&mut self, key: EndpointKey, share: LoadShare) {
        let own = self.own.entry(key).or_default();
        *own = own.plus(share);
    }

    /// Counts the first token of a request.
    pub fn finish_prefill(&mut self, key: EndpointKey, tokens: u32) {
        if let Some(own) = self.own.get_mut(&key) {
            own.prefill_tokens = own.prefill_tokens.saturating_sub(tokens);
        }
    }

    /// Counts the end of a request.
    pub fn finish(&mut self, key: EndpointKey, share: LoadShare) {
        if let Some(own) = self.own.get_mut(&key) {
            *own = own.minus(share);
            if own.runs == 0 {
                self.own.remove(&key);
            }
        }
    }

    /// Takes over what a peer says of its own load.
    pub fn set_peer(&mut self, peer: &VmId, loads: Vec<(EndpointKey, LoadShare)>) {
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
    pub fn own(&self, key: EndpointKey) -> LoadShare {
        self.own.get(&key).copied().unwrap_or_default()
    }

    /// Returns the load that all VMs put on an endpoint.
    #[must_use]
    pub fn total(&self, key: EndpointKey) -> LoadShare {
        let remote = self.remote.get(&key).copied().unwrap_or_default();
        self.own(key).plus(remote)
    }

    /// Returns what this VM has to tell its peers.
    #[must_use]
    pub fn news(&self) -> Vec<(EndpointKey, LoadShare)> {
        self.own.iter().map(|(key, share)| (*key, *share)).collect()
    }
}
