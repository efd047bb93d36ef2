//! The other VMs, as far as this one knows.

use super::{ModelDemand, PeerHeartbeat};
use crate::load::NameHash;
use crate::select::rendezvous_weight;
use clementinepond_types::{AccountId, DataCentreId, LocalTime, TimeSpan, VmId};
use fnv::FnvHashMap;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Silence after which a peer no longer counts as heard; several news are
/// sent within it, so that lost datagrams alone do not silence a peer.
const LIVENESS_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_500);
/// Peers for which the silence is doubled, since news come less often in a
/// larger fleet.
const TIMEOUT_DOUBLING_PEERS: u64 = 70;
/// VMs of a data centre that watch the store for the others; two, so that one
/// may be lost.
const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// Largest fleet in which every VM watches the store itself.
pub const SMALL_FLEET_MAX_VMS: usize = 12;
/// Silence after which a peer no longer counts at all; longer than the
/// partitions that the platform announces.
const PEER_EXPIRY: TimeSpan = TimeSpan::from_secs(25);

/// Age of the last message up to which a VM knows what a peer admits; a few times
/// the usual gap between a busy peer's requests.
const FRESH_CONTACT_AGE: TimeSpan = TimeSpan::from_millis(500);
/// Part of the peers that must be heard so lately: enough of those in contact
/// are, by chance, and too few when a tenth of the fleet and more is cut off.
const FRESH_PEER_SHARE: (usize, usize) = (3, 4);

/// Link beyond which a VM watches as well as any other, in megabits a second.
const MAX_RANKED_LINK_MBPS: u32 = 100;
/// Key of the line of watchers.
const WATCHER_RANK_KEY: u64 = 1;

/// One peer.
#[derive(Debug, Clone)]
pub struct PeerState {
    /// Address for messages.
    pub address: SocketAddrV4,
    /// Last news.
    pub heartbeat: Option<Box<PeerHeartbeat>>,
    /// Moment of the last news, or of the first mention.
    pub last_seen: LocalTime,
}

/// Units of an account that a peer admitted since its last news.
#[derive(Debug, Clone, PartialEq)]
pub struct RemoteUsage {
    /// Account.
    pub account: AccountId,
    /// Units.
    pub units: f64,
    /// Level of the peer's bucket.
    pub level: f64,
    /// Whether this is the first news of that process.
    pub is_first: bool,
}

/// All peers.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<VmId, PeerState>,
}

impl PeerTable {
    /// Notes that a peer exists.
    pub fn learn(&mut self, vm: &VmId, address: SocketAddrV4, now: LocalTime) -> bool {
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

    /// Takes over news; returns what the peer's accounts used, or nothing when
    /// the news are out of date.
    pub fn record_heartbeat(
        &mut self,
        vm: &VmId,
        address: SocketAddrV4,
        heartbeat: Box<PeerHeartbeat>,
        now: LocalTime,
    ) -> Option<Vec<RemoteUsage>> {
        self.learn(vm, address, now);
        let peer = self.peers.get_mut(vm)?;
        let before = peer.heartbeat.as_ref();
        let is_same_process = before.is_some_and(|old| old.incarnation == heartbeat.incarnation);
        if is_same_process && before.is_some_and(|old| old.number >= heartbeat.number) {
            return None;
        }
        let mut uses = Vec::new();
        for account in &heartbeat.accounts {
            let earlier = before
                .filter(|_| is_same_process)
                .and_then(|old| {
                    old.accounts
                        .iter()
                        .find(|one| one.account == account.account)
                })
                .map_or(0, |one| one.admitted);
            uses.push(RemoteUsage {
                account: account.account.clone(),
                units: difference(account.admitted, earlier),
                level: account.level as f64,
                is_first: before.is_none(),
            });
        }
        peer.heartbeat = Some(heartbeat);
        peer.last_seen = now;
        Some(uses)
    }

    /// Notes what a peer has admitted for an account; returns the units since its
    /// last message, or nothing when the peer's process is not known.
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
            .find(|one| one.account == *account)?;
        let units = difference(admitted, known.admitted);
        known.admitted = admitted;
        Some(units)
    }

    /// Notes that a peer's process was heard.
    pub fn record_contact(&mut self, vm: &VmId, incarnation: u64, now: LocalTime) {
        if let Some(peer) = self.peers.get_mut(vm) {
            let heartbeat = peer.heartbeat.as_ref();
            if heartbeat.is_some_and(|heartbeat| heartbeat.incarnation == incarnation) {
                peer.last_seen = now;
            }
        }
    }

    /// Tells whether knowledge of the peers' quota use is up to date.
    #[must_use]
    pub fn is_usage_fresh(&self, now: LocalTime) -> bool {
        let fresh = self
            .peers
            .values()
            .filter(|peer| {
                peer.heartbeat.is_some() && now.since(peer.last_seen) < FRESH_CONTACT_AGE
            })
            .count();
        fresh * FRESH_PEER_SHARE.1 >= self.peers.len() * FRESH_PEER_SHARE.0
    }

    /// Forgets peers that have been silent for long; returns their names.
    pub fn sweep(&mut self, now: LocalTime) -> Vec<VmId> {
        let gone: Vec<VmId> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.last_seen) > PEER_EXPIRY)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in &gone {
            self.peers.remove(vm);
        }
        gone
    }

    /// Returns all peers.
    pub fn all(&self) -> impl Iterator<Item = (&VmId, &PeerState)> {
        self.peers.iter()
    }

    /// Returns the peers that were heard lately.
    pub fn live(&self, now: LocalTime) -> impl Iterator<Item = (&VmId, &PeerState)> {
        let peers = self.peers.len() as u64;
        let silence =
            LIVENESS_TIMEOUT.fraction(TIMEOUT_DOUBLING_PEERS + peers, TIMEOUT_DOUBLING_PEERS);
        self.peers.iter().filter(move |(_, peer)| {
            peer.heartbeat.is_some() && now.since(peer.last_seen) < silence
        })
    }

    /// Returns a VM's place in line for watching the store in its data centre,
    /// the same on all VMs that hear each other.
    ///
    /// VMs whose links carry the news of a whole data centre come first.
    #[must_use]
    pub fn watch_rank(
        &self,
        me: &VmId,
        link_mbps: u32,
        data_centre: &DataCentreId,
        now: LocalTime,
    ) -> usize {
        let place = |vm: &VmId, link_mbps: u32| {
            let link = link_mbps.min(MAX_RANKED_LINK_MBPS);
            (link, rendezvous_weight(WATCHER_RANK_KEY, vm.as_str()))
        };
        let own = place(me, link_mbps);
        self.live(now)
            .filter(|(_, peer)| {
                let heartbeat = peer.heartbeat.as_ref();
                heartbeat.is_some_and(|heartbeat| {
                    heartbeat.has_store && heartbeat.data_centre == *data_centre
                })
            })
            .filter(|(vm, peer)| {
                let heartbeat = peer.heartbeat.as_ref();
                heartbeat.is_some_and(|heartbeat| place(vm, heartbeat.link_mbps) > own)
            })
            .count()
    }

    /// Tells whether a VM watches the store itself rather than hear of changes.
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

    /// Returns the number of peers that were heard lately, and of all.
    #[must_use]
    pub fn peer_counts(&self, now: LocalTime) -> (usize, usize) {
        (self.live(now).count(), self.peers.len())
    }

    /// Returns the holder of the placement duty, with its fencing number.
    #[must_use]
    pub fn lease_holder(&self, now: LocalTime) -> Option<(&VmId, u64)> {
        self.live(now)
            .filter_map(|(vm, peer)| Some((vm, peer.heartbeat.as_ref()?.lease_fence?)))
            .max_by_key(|(_, fence)| *fence)
    }

    /// Returns the time since a peer was last heard.
    #[must_use]
    pub fn age(&self, vm: &VmId, now: LocalTime) -> TimeSpan {
        self.peers
            .get(vm)
            .map_or(PEER_EXPIRY, |peer| now.since(peer.last_seen))
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

    /// Returns the units of each account that are asked a second at all peers
    /// that were heard lately.
    #[must_use]
    pub fn requested_per_s(&self, now: LocalTime) -> FnvHashMap<AccountId, f64> {
        let mut sum: FnvHashMap<AccountId, f64> = FnvHashMap::default();
        for (_, peer) in self.live(now) {
            for account in peer
                .heartbeat
                .iter()
                .flat_map(|heartbeat| &heartbeat.accounts)
            {
                *sum.entry(account.account.clone()).or_default() +=
                    f64::from(account.requested_per_s);
            }
        }
        sum
    }

    /// Returns the demand of all peers that were heard lately.
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

/// Returns how much a count has grown; it falls when a request is refunded.
fn difference(after: u64, before: u64) -> f64 {
    after as f64 - before as f64
}
