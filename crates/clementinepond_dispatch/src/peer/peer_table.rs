//! Membership and last known state of the other VMs.

use super::{ModelDemand, PeerHeartbeat};
use crate::load::NameHash;
use crate::select::rendezvous_weight;
use clementinepond_types::{AccountId, DataCentreId, LocalTime, TimeSpan, VmId};
use fnv::FnvHashMap;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Time without contact after which a peer is no longer live. Several heartbeats are
/// sent within it, so that a lost datagram does not matter.
const LIVENESS_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_500);
/// Number of peers at which the liveness timeout is doubled. The timeout grows linearly
/// with the number of peers, since heartbeats are less frequent in a larger fleet.
const TIMEOUT_DOUBLING_PEERS: u64 = 70;
/// Number of VMs of a data centre that watch the store for the others; two, so that one
/// may fail.
const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// Largest number of VMs in a fleet, this one included, in which every VM watches the
/// store itself.
pub const SMALL_FLEET_MAX_VMS: usize = 12;
/// Time without contact after which a peer is removed; longer than the partitions that
/// the platform announces.
const PEER_EXPIRY: TimeSpan = TimeSpan::from_secs(25);

/// Age of the last contact below which a peer's usage counts as known; a few times the
/// usual interval between a busy peer's requests.
const FRESH_CONTACT_AGE: TimeSpan = TimeSpan::from_millis(500);
/// Share of the peers, as numerator and denominator, whose last contact must be below
/// [`FRESH_CONTACT_AGE`]. In a connected fleet, enough peers send a request in that
/// time, though not all; when a tenth of the fleet or more is cut off, too few do.
const FRESH_PEER_SHARE: (usize, usize) = (3, 4);

/// Bandwidth above which a wider link no longer raises a VM's watcher rank, in megabits
/// per second.
const MAX_RANKED_LINK_MBPS: u32 = 100;
/// Rendezvous key that orders watcher candidates whose links rank equally.
const WATCHER_RANK_KEY: u64 = 1;

/// Last known state of a peer.
#[derive(Debug, Clone)]
pub struct PeerState {
    /// Address for messages.
    pub address: SocketAddrV4,
    /// Last heartbeat; `None` until one has arrived.
    pub heartbeat: Option<Box<PeerHeartbeat>>,
    /// Time of the last contact with the peer's process, or at which the peer became
    /// known.
    pub last_seen: LocalTime,
}

/// Units of an account that a peer admitted since its last known count.
#[derive(Debug, Clone, PartialEq)]
pub struct RemoteUsage {
    /// Account that the units belong to.
    pub account: AccountId,
    /// Number of units; negative if more were refunded than admitted.
    pub units: f64,
    /// Level of the peer's copy of the bucket.
    pub level: f64,
    /// Whether this is the first heartbeat from that VM.
    pub is_first: bool,
}

/// Table of the other VMs.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<VmId, PeerState>,
}

impl PeerTable {
    /// Adds a peer or updates its address; returns whether the peer or address is new.
    pub fn record_address(&mut self, vm: &VmId, address: SocketAddrV4, now: LocalTime) -> bool {
        if let Some(peer) = self.peers.get_mut(vm) {
            let is_moved = peer.address != address;
            peer.address = address;
            return is_moved;
        }
        let state = PeerState {
            address,
            heartbeat: None,
            last_seen: now,
        };
        self.peers.insert(vm.clone(), state);
        true
    }

    /// Records a heartbeat.
    ///
    /// Returns the usage of the peer's accounts since the last known counts, or `None`
    /// when the heartbeat is not newer than the last one of its process.
    pub fn record_heartbeat(
        &mut self,
        vm: &VmId,
        address: SocketAddrV4,
        heartbeat: Box<PeerHeartbeat>,
        now: LocalTime,
    ) -> Option<Vec<RemoteUsage>> {
        self.record_address(vm, address, now);
        let peer = self.peers.get_mut(vm)?;
        let before = peer.heartbeat.as_ref();
        let is_same_process = before.is_some_and(|old| old.incarnation == heartbeat.incarnation);
        if is_same_process && before.is_some_and(|old| old.number >= heartbeat.number) {
            return None;
        }
        let mut usages = Vec::new();
        for usage in &heartbeat.accounts {
            let known_admitted = before
                .filter(|_| is_same_process)
                .and_then(|old| {
                    old.accounts
                        .iter()
                        .find(|known| known.account == usage.account)
                })
                .map_or(0, |known| known.admitted);
            usages.push(RemoteUsage {
                account: usage.account.clone(),
                units: difference(usage.admitted, known_admitted),
                level: usage.level as f64,
                is_first: before.is_none(),
            });
        }
        peer.heartbeat = Some(heartbeat);
        peer.last_seen = now;
        Some(usages)
    }

    /// Records the units that a peer has admitted for an account.
    ///
    /// Returns the units since the last known count, or `None` when no heartbeat of
    /// that process lists the account.
    pub fn record_admitted(
        &mut self,
        vm: &VmId,
        incarnation: u64,
        account: &AccountId,
        admitted: u64,
    ) -> Option<f64> {
        let heartbeat = self.peers.get_mut(vm)?.heartbeat.as_mut()?;
        if heartbeat.incarnation != incarnation {
            return None;
        }
        let known = heartbeat
            .accounts
            .iter_mut()
            .find(|usage| usage.account == *account)?;
        let units = difference(admitted, known.admitted);
        known.admitted = admitted;
        Some(units)
    }

    /// Records that a peer has a version of the configuration, if the process is the one
    /// of its last heartbeat.
    pub fn record_configuration(
        &mut self,
        vm: &VmId,
        incarnation: u64,
        version: u64,
        now: LocalTime,
    ) {
        self.record_contact(vm, incarnation, now);
        let heartbeat = self
            .peers
            .get_mut(vm)
            .and_then(|peer| peer.heartbeat.as_mut());
        if let Some(heartbeat) = heartbeat
            && heartbeat.incarnation == incarnation
        {
            heartbeat.configuration = heartbeat.configuration.max(version);
        }
    }

    pub(super) fn heartbeat_mut(&mut self, vm: &VmId) -> Option<&mut PeerHeartbeat> {
        self.peers.get_mut(vm)?.heartbeat.as_deref_mut()
    }

    /// Records contact with a peer, if the process is the one of its last heartbeat.
    pub fn record_contact(&mut self, vm: &VmId, incarnation: u64, now: LocalTime) {
        if let Some(peer) = self.peers.get_mut(vm) {
            let heartbeat = peer.heartbeat.as_ref();
            if heartbeat.is_some_and(|heartbeat| heartbeat.incarnation == incarnation) {
                peer.last_seen = now;
            }
        }
    }

    /// Returns whether enough peers were recently in contact for the known usage to
    /// count as up to date.
    #[must_use]
    pub fn is_usage_fresh(&self, now: LocalTime) -> bool {
        let in_contact = self
            .peers
            .values()
            .filter(|peer| {
                peer.heartbeat.is_some() && now.since(peer.last_seen) < FRESH_CONTACT_AGE
            })
            .count();
        in_contact * FRESH_PEER_SHARE.1 >= self.peers.len() * FRESH_PEER_SHARE.0
    }

    /// Removes peers that have been out of contact for too long; returns their IDs.
    pub fn sweep(&mut self, now: LocalTime) -> Vec<VmId> {
        let expired: Vec<VmId> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.last_seen) > PEER_EXPIRY)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in &expired {
            self.peers.remove(vm);
        }
        expired
    }

    /// Returns all peers.
    pub fn all(&self) -> impl Iterator<Item = (&VmId, &PeerState)> {
        self.peers.iter()
    }

    /// Returns the live peers: those that have sent a heartbeat and were in contact
    /// within the liveness timeout.
    pub fn live(&self, now: LocalTime) -> impl Iterator<Item = (&VmId, &PeerState)> {
        let timeout = self.liveness_timeout();
        self.peers.iter().filter(move |(_, peer)| {
            peer.heartbeat.is_some() && now.since(peer.last_seen) < timeout
        })
    }

    /// Returns whether a peer may be live: it was in contact, or became known, within the
    /// liveness timeout.
    #[must_use]
    pub fn may_be_live(&self, vm: &VmId, now: LocalTime) -> bool {
        let peer = self.peers.get(vm);
        peer.is_some_and(|peer| now.since(peer.last_seen) < self.liveness_timeout())
    }

    fn liveness_timeout(&self) -> TimeSpan {
        let peers = self.peers.len() as u64;
        LIVENESS_TIMEOUT.fraction(TIMEOUT_DOUBLING_PEERS + peers, TIMEOUT_DOUBLING_PEERS)
    }

    /// Returns the rank of a VM among the watcher candidates of its data centre; 0 is
    /// first.
    ///
    /// VMs that are in contact with each other compute the same order. VMs with wider
    /// links come first, since watchers pass on the changes to their data centre.
    #[must_use]
    pub fn watch_rank(
        &self,
        me: &VmId,
        link_mbps: u32,
        data_centre: &DataCentreId,
        now: LocalTime,
    ) -> usize {
        let rank_key = |vm: &VmId, link_mbps: u32| {
            let link = link_mbps.min(MAX_RANKED_LINK_MBPS);
            (link, rendezvous_weight(WATCHER_RANK_KEY, vm.as_str()))
        };
        let own = rank_key(me, link_mbps);
        self.live(now)
            .filter(|(_, peer)| {
                let heartbeat = peer.heartbeat.as_ref();
                heartbeat.is_some_and(|heartbeat| {
                    heartbeat.has_store && heartbeat.data_centre == *data_centre
                })
            })
            .filter(|(vm, peer)| {
                let heartbeat = peer.heartbeat.as_ref();
                heartbeat.is_some_and(|heartbeat| rank_key(vm, heartbeat.link_mbps) > own)
            })
            .count()
    }

    /// Returns whether a VM watches the store itself instead of receiving the changes
    /// from peers.
    #[must_use]
    pub fn is_watcher(
        &self,
        me: &VmId,
        link_mbps: u32,
        data_centre: &DataCentreId,
        now: LocalTime,
    ) -> bool {
        let is_small = self.peers.len() < SMALL_FLEET_MAX_VMS;
        is_small || self.watch_rank(me, link_mbps, data_centre, now) < WATCHERS_PER_DATA_CENTRE
    }

    /// Returns the number of live peers and of all peers.
    #[must_use]
    pub fn peer_counts(&self, now: LocalTime) -> (usize, usize) {
        (self.live(now).count(), self.peers.len())
    }

    /// Returns the live holder of the placement lease, with its fencing number.
    #[must_use]
    pub fn lease_holder(&self, now: LocalTime) -> Option<(&VmId, u64)> {
        self.live(now)
            .filter_map(|(vm, peer)| Some((vm, peer.heartbeat.as_ref()?.lease_fence?)))
            .max_by_key(|(_, fence)| *fence)
    }

    /// Returns the time since the last contact with a peer; for an unknown one, the
    /// time after which peers are removed.
    #[must_use]
    pub fn age(&self, vm: &VmId, now: LocalTime) -> TimeSpan {
        self.peers
            .get(vm)
            .map_or(PEER_EXPIRY, |peer| now.since(peer.last_seen))
    }

    /// Returns the live peers, or those of one data centre, in the order in which they
    /// relay messages: by data centre, those with the widest links first.
    #[must_use]
    pub fn recipients(&self, data_centre: Option<&DataCentreId>, now: LocalTime) -> Vec<VmId> {
        let mut peers: Vec<(&DataCentreId, Reverse<u32>, &VmId)> = self
            .live(now)
            .filter_map(|(vm, peer)| Some((vm, peer.heartbeat.as_ref()?)))
            .filter(|(_, heartbeat)| {
                data_centre.is_none_or(|wanted| heartbeat.data_centre == *wanted)
            })
            .map(|(vm, heartbeat)| (&heartbeat.data_centre, Reverse(heartbeat.link_mbps), vm))
            .collect();
        peers.sort();
        peers.into_iter().map(|(_, _, vm)| vm.clone()).collect()
    }

    /// Returns a live peer that has a rank and is not in `excluded`, and its address.
    ///
    /// Those with the highest rank come first, then those of the data centre. Among
    /// equals the choice is random, in proportion to the bandwidth of their links; `draw`
    /// returns random numbers between 0 and 1.
    pub fn snapshot_source(
        &self,
        rank: impl Fn(&PeerHeartbeat) -> Option<u64>,
        data_centre: &DataCentreId,
        excluded: &[VmId],
        mut draw: impl FnMut() -> f64,
        now: LocalTime,
    ) -> Option<(VmId, SocketAddrV4)> {
        self.live(now)
            .filter(|(vm, _)| !excluded.contains(vm))
            .filter_map(|(vm, peer)| {
                let heartbeat = peer.heartbeat.as_ref()?;
                let order = (rank(heartbeat)?, heartbeat.data_centre == *data_centre);
                // The largest of ln(draw) / weight is a choice in proportion to the weights.
                let lot = draw().ln() / f64::from(heartbeat.link_mbps.max(1));
                Some((order, lot, vm, peer.address))
            })
            .max_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)))
            .map(|(_, _, vm, address)| (vm.clone(), address))
    }

    /// Returns a peer's address.
    #[must_use]
    pub fn address(&self, vm: &VmId) -> Option<SocketAddrV4> {
        self.peers.get(vm).map(|peer| peer.address)
    }

    /// Returns a peer's data centre.
    #[must_use]
    pub fn data_centre(&self, vm: &VmId) -> Option<&DataCentreId> {
        let heartbeat = self.peers.get(vm)?.heartbeat.as_ref()?;
        Some(&heartbeat.data_centre)
    }

    /// Returns the units requested per second of each account, summed over the live
    /// peers.
    #[must_use]
    pub fn requested_per_s(&self, now: LocalTime) -> FnvHashMap<AccountId, f64> {
        let mut sum: FnvHashMap<AccountId, f64> = FnvHashMap::default();
        for (_, peer) in self.live(now) {
            for usage in peer
                .heartbeat
                .iter()
                .flat_map(|heartbeat| &heartbeat.accounts)
            {
                *sum.entry(usage.account.clone()).or_default() += f64::from(usage.requested_per_s);
            }
        }
        sum
    }

    /// Returns the demand for each model, summed over the live peers.
    #[must_use]
    pub fn demand(&self, now: LocalTime) -> FnvHashMap<NameHash, ModelDemand> {
        let mut sum: FnvHashMap<NameHash, ModelDemand> = FnvHashMap::default();
        for (_, peer) in self.live(now) {
            for (model, demand) in peer
                .heartbeat
                .iter()
                .flat_map(|heartbeat| &heartbeat.demand)
            {
                let total = sum.entry(*model).or_default();
                *total = total.plus(*demand);
            }
        }
        sum
    }
}

/// Returns the change of a count, which is negative after refunds.
fn difference(after: u64, before: u64) -> f64 {
    after as f64 - before as f64
}
