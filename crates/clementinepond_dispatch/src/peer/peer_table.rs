//! The other VMs, as far as this one knows.

use super::{ModelDemand, PeerNews};
use crate::ledger::EndpointKey;
use crate::select::rendezvous_weight;
use clementinepond_types::{AccountId, DataCentreId, LocalTime, TimeSpan, VmId};
use fnv::FnvHashMap;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Silence after which a peer no longer counts as heard; several news are
/// sent within it, so that lost datagrams alone do not silence a peer.
const SILENCE: TimeSpan = TimeSpan::from_millis(1_500);
/// Peers for which the silence is doubled, since news come less often in a
/// larger fleet.
const SILENCE_DOUBLING: u64 = 70;
/// VMs of a data centre that watch the store for the others; two, so that one
/// may be lost.
const WATCHERS: usize = 2;
/// Largest fleet in which every VM watches the store itself.
pub const SMALL_FLEET: usize = 12;
/// Silence after which a peer no longer counts at all; longer than the
/// partitions that the platform announces.
const FORGET_AFTER: TimeSpan = TimeSpan::from_secs(25);

/// Age of the last message up to which a VM knows what a peer admits; a few times
/// the usual gap between a busy peer's requests.
const CURRENT_AGE: TimeSpan = TimeSpan::from_millis(500);
/// Part of the peers that must be heard so lately: enough of those in contact
/// are, by chance, and too few when a tenth of the fleet and more is cut off.
const CURRENT_PARTS: (usize, usize) = (3, 4);

/// Link beyond which a VM watches as well as any other, in megabits a second.
const ENOUGH_LINK_MBPS: u32 = 100;
/// Key of the line of watchers.
const WATCH_KEY: u64 = 1;

/// One peer.
#[derive(Debug, Clone)]
pub struct PeerState {
    /// Address for messages.
    pub address: SocketAddrV4,
    /// Last news.
    pub news: Option<Box<PeerNews>>,
    /// Moment of the last news, or of the first mention.
    pub heard_at: LocalTime,
}

/// Units of an account that a peer admitted since its last news.
#[derive(Debug, Clone, PartialEq)]
pub struct RemoteUse {
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
            news: None,
            heard_at: now,
        };
        self.peers.insert(vm.clone(), state);
        true
    }

    /// Takes over news; returns what the peer's accounts used, or nothing when
    /// the news are out of date.
    pub fn note_news(
        &mut self,
        vm: &VmId,
        address: SocketAddrV4,
        news: Box<PeerNews>,
        now: LocalTime,
    ) -> Option<Vec<RemoteUse>> {
        self.learn(vm, address, now);
        let peer = self.peers.get_mut(vm)?;
        let before = peer.news.as_ref();
        let same_process = before.is_some_and(|old| old.incarnation == news.incarnation);
        if same_process && before.is_some_and(|old| old.number >= news.number) {
            return None;
        }
        let mut uses = Vec::new();
        for account in &news.accounts {
            let earlier = before
                .filter(|_| same_process)
                .and_then(|old| {
                    old.accounts
                        .iter()
                        .find(|one| one.account == account.account)
                })
                .map_or(0, |one| one.admitted);
            uses.push(RemoteUse {
                account: account.account.clone(),
                units: difference(account.admitted, earlier),
                level: account.level as f64,
                is_first: before.is_none(),
            });
        }
        peer.news = Some(news);
        peer.heard_at = now;
        Some(uses)
    }

    /// Notes what a peer has admitted for an account; returns the units since its
    /// last message, or nothing when the peer's process is not known.
    pub fn note_admitted(
        &mut self,
        vm: &VmId,
        incarnation: u64,
        account: &AccountId,
        admitted: u64,
    ) -> Option<f64> {
        let news = self.peers.get_mut(vm)?.news.as_mut()?;
        if news.incarnation != incarnation {
            return None;
        }
        let known = news
            .accounts
            .iter_mut()
            .find(|one| one.account == *account)?;
        let units = difference(admitted, known.admitted);
        known.admitted = admitted;
        Some(units)
    }

    /// Notes that a peer's process was heard.
    pub fn note_heard(&mut self, vm: &VmId, incarnation: u64, now: LocalTime) {
        if let Some(peer) = self.peers.get_mut(vm) {
            let news = peer.news.as_ref();
            if news.is_some_and(|news| news.incarnation == incarnation) {
                peer.heard_at = now;
            }
        }
    }

    /// Tells whether knowledge of the peers' quota use is up to date.
    #[must_use]
    pub fn is_current(&self, now: LocalTime) -> bool {
        let fresh = self
            .peers
            .values()
            .filter(|peer| peer.news.is_some() && now.since(peer.heard_at) < CURRENT_AGE)
            .count();
        fresh * CURRENT_PARTS.1 >= self.peers.len() * CURRENT_PARTS.0
    }

    /// Forgets peers that have been silent for long; returns their names.
    pub fn sweep(&mut self, now: LocalTime) -> Vec<VmId> {
        let gone: Vec<VmId> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.heard_at) > FORGET_AFTER)
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
    pub fn heard(&self, now: LocalTime) -> impl Iterator<Item = (&VmId, &PeerState)> {
        let peers = self.peers.len() as u64;
        let silence = SILENCE.fraction(SILENCE_DOUBLING + peers, SILENCE_DOUBLING);
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.news.is_some() && now.since(peer.heard_at) < silence)
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
            let link = link_mbps.min(ENOUGH_LINK_MBPS);
            (link, rendezvous_weight(WATCH_KEY, vm.as_str()))
        };
        let own = place(me, link_mbps);
        self.heard(now)
            .filter(|(_, peer)| {
                let news = peer.news.as_ref();
                news.is_some_and(|news| news.has_store && news.data_centre == *data_centre)
            })
            .filter(|(vm, peer)| {
                let news = peer.news.as_ref();
                news.is_some_and(|news| place(vm, news.link_mbps) > own)
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
        let is_small = self.peers.len() < SMALL_FLEET;
        is_small || self.watch_rank(me, link_mbps, data_centre, now) < WATCHERS
    }

    /// Returns the number of peers that were heard lately, and of all.
    #[must_use]
    pub fn contact(&self, now: LocalTime) -> (usize, usize) {
        (self.heard(now).count(), self.peers.len())
    }

    /// Returns the holder of the placement duty, with its fencing number.
    #[must_use]
    pub fn duty_holder(&self, now: LocalTime) -> Option<(&VmId, u64)> {
        self.heard(now)
            .filter_map(|(vm, peer)| Some((vm, peer.news.as_ref()?.duty?)))
            .max_by_key(|(_, fence)| *fence)
    }

    /// Returns the time since a peer was last heard.
    #[must_use]
    pub fn age(&self, vm: &VmId, now: LocalTime) -> TimeSpan {
        self.peers
            .get(vm)
            .map_or(FORGET_AFTER, |peer| now.since(peer.heard_at))
    }

    /// Returns a peer's address.
    #[must_use]
    pub fn address(&self, vm: &VmId) -> Option<SocketAddrV4> {
        self.peers.get(vm).map(|peer| peer.address)
    }

    /// Returns a peer's data centre.
    #[must_use]
    pub fn data_centre(&self, vm: &VmId) -> Option<&DataCentreId> {
        let news = self.peers.get(vm)?.news.as_ref()?;
        Some(&news.data_centre)
    }

    /// Returns the units of each account that are asked a second at all peers
    /// that were heard lately.
    #[must_use]
    pub fn asked(&self, now: LocalTime) -> FnvHashMap<AccountId, f64> {
        let mut sum: FnvHashMap<AccountId, f64> = FnvHashMap::default();
        for (_, peer) in self.heard(now) {
            for account in peer.news.iter().flat_map(|news| &news.accounts) {
                *sum.entry(account.account.clone()).or_default() += f64::from(account.asked_per_s);
            }
        }
        sum
    }

    /// Returns the demand of all peers that were heard lately.
    #[must_use]
    pub fn demand(&self, now: LocalTime) -> FnvHashMap<EndpointKey, ModelDemand> {
        let mut sum: FnvHashMap<EndpointKey, ModelDemand> = FnvHashMap::default();
        for (_, peer) in self.heard(now) {
            for (model, demand) in peer.news.iter().flat_map(|news| &news.demand) {
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
