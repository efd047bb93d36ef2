//! VMs that hold the origin of a stream.
//!
//! In a small fleet every VM holds every origin. In a larger one those of a data centre
//! with the highest rendezvous weights do, so that any VM of the data centre knows whom
//! to ask, and one of another data centre, in case the first is lost.

use super::{PeerTable, SMALL_FLEET_MAX_VMS};
use crate::select::rendezvous_weight;
use crate::stream::StreamKey;
use clementinepond_types::{DataCentreId, VmId};
use std::collections::BTreeSet;

/// Number of holders in the data centre of the VM that began the stream; two, so that one
/// may fail.
const LOCAL_HOLDERS: usize = 2;
/// Number of holders in another data centre.
const REMOTE_HOLDERS: usize = 1;

impl PeerTable {
    /// Returns the peers to which a VM of a data centre sends the origin of a stream.
    #[must_use]
    pub fn origin_holders(
        &self,
        key: StreamKey,
        me: &VmId,
        data_centre: &DataCentreId,
    ) -> Vec<VmId> {
        let remote = self
            .other_data_centres(data_centre)
            .into_iter()
            .max_by_key(|other| rendezvous_weight(key.number(), other.as_str()));
        self.holders_in(key, me, data_centre, remote, REMOTE_HOLDERS)
    }

    /// Returns the peers that a VM of a data centre asks for the origin of a stream, which
    /// a VM of any data centre may have begun.
    #[must_use]
    pub fn origin_sources(
        &self,
        key: StreamKey,
        me: &VmId,
        data_centre: &DataCentreId,
    ) -> Vec<VmId> {
        let others = self.other_data_centres(data_centre);
        self.holders_in(key, me, data_centre, others, LOCAL_HOLDERS)
    }

    /// Returns the holders in this VM's data centre and `count` in each of the others; all
    /// peers in a small fleet.
    fn holders_in(
        &self,
        key: StreamKey,
        me: &VmId,
        data_centre: &DataCentreId,
        others: impl IntoIterator<Item = DataCentreId>,
        count: usize,
    ) -> Vec<VmId> {
        if self.all().count() < SMALL_FLEET_MAX_VMS {
            return self.all().map(|(vm, _)| vm.clone()).collect();
        }
        let mut holders = self.first_holders(key, Some(me), data_centre, LOCAL_HOLDERS);
        for other in others {
            holders.extend(self.first_holders(key, None, &other, count));
        }
        holders
    }

    fn other_data_centres(&self, own: &DataCentreId) -> BTreeSet<DataCentreId> {
        self.all()
            .filter_map(|(_, peer)| Some(&peer.heartbeat.as_ref()?.data_centre))
            .filter(|other| *other != own)
            .cloned()
            .collect()
    }

    /// Returns the peers among the first VMs of a data centre for a key. `me` is a VM of
    /// it that takes a place in the order but is not returned. VMs that are no longer live
    /// keep their place until they are removed, so that all VMs agree on the order.
    fn first_holders(
        &self,
        key: StreamKey,
        me: Option<&VmId>,
        data_centre: &DataCentreId,
        count: usize,
    ) -> Vec<VmId> {
        let peers = self.all().filter(|(_, peer)| {
            let heartbeat = peer.heartbeat.as_ref();
            heartbeat.is_some_and(|heartbeat| heartbeat.data_centre == *data_centre)
        });
        let mut members: Vec<&VmId> = peers.map(|(vm, _)| vm).chain(me).collect();
        members.sort_by_key(|vm| std::cmp::Reverse(rendezvous_weight(key.number(), vm.as_str())));
        members
            .into_iter()
            .take(count)
            .filter(|vm| Some(*vm) != me)
            .cloned()
            .collect()
    }
}
