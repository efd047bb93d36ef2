//! Choice of the peer through which a VM reaches an endpoint.

use super::PeerTable;
use clementinepond_types::{DataCentreId, LocalTime, VmId};
use std::net::SocketAddrV4;

impl PeerTable {
    /// Returns a live peer that reaches the endpoints and is not in `excluded`, and its
    /// address.
    ///
    /// Peers of the VM's data centre come first, unless one of them is in `excluded`: a cut
    /// of a whole data centre is known later than it is met. Among equals the choice is
    /// random; `draw` returns random numbers between 0 and 1.
    pub fn forwarder(
        &self,
        data_centre: &DataCentreId,
        excluded: &[VmId],
        mut draw: impl FnMut() -> f64,
        now: LocalTime,
    ) -> Option<(VmId, SocketAddrV4)> {
        let prefers_local = excluded.is_empty();
        self.live(now)
            .filter(|(vm, _)| !excluded.contains(vm))
            .filter_map(|(vm, peer)| {
                let heartbeat = peer.heartbeat.as_ref()?;
                if heartbeat.is_cut || heartbeat.is_stopping {
                    return None;
                }
                let is_local = heartbeat.data_centre == *data_centre;
                Some(((is_local == prefers_local, draw()), vm, peer.address))
            })
            .max_by(|one, other| one.0.0.cmp(&other.0.0).then(one.0.1.total_cmp(&other.0.1)))
            .map(|(_, vm, address)| (vm.clone(), address))
    }

    /// Records that a peer is cut off from the endpoints, or no longer is, if the process is
    /// the one of its last heartbeat.
    pub fn record_reach(&mut self, vm: &VmId, incarnation: u64, is_cut: bool, now: LocalTime) {
        self.record_contact(vm, incarnation, now);
        if let Some(heartbeat) = self.heartbeat_mut(vm)
            && heartbeat.incarnation == incarnation
        {
            heartbeat.is_cut = is_cut;
        }
    }
}
