//! Owner of an endpoint's send limit.

use super::PeerTable;
use crate::load::NameHash;
use crate::select::rendezvous_weight;
use clementinepond_types::{LocalTime, VmId};

impl PeerTable {
    /// Returns the peer that issues the permits for an endpoint; `None` if this VM does.
    ///
    /// A VM that is stopping issues none, unless no other VM is live.
    #[must_use]
    pub fn permit_owner(
        &self,
        endpoint: NameHash,
        me: &VmId,
        is_stopping: bool,
        now: LocalTime,
    ) -> Option<&VmId> {
        let weight = |vm: &VmId| rendezvous_weight(endpoint.number(), vm.as_str());
        let first = self
            .live(now)
            .filter(|(_, peer)| {
                let heartbeat = peer.heartbeat.as_ref();
                heartbeat.is_some_and(|heartbeat| !heartbeat.is_stopping)
            })
            .map(|(vm, _)| vm)
            .max_by_key(|vm| weight(vm))?;
        (is_stopping || weight(first) > weight(me)).then_some(first)
    }
}
