//! Exchange of heartbeats and other messages with peers.

use super::EntryNode;
use crate::clock::BootClock;
use crate::store::WatchTarget;
use clementinepond_dispatch::lease::LeaseEvent;
use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::peer::{
    AccountUsage, ModelDemand, PeerEnvelope, PeerHeartbeat, PeerMessage, SMALL_FLEET_MAX_VMS,
    direct_copies, divide_recipients,
};
use clementinepond_types::{EndpointId, LocalTime, TimeSpan, VmId};
use fnv::FnvHashMap;
use rand::RngExt;
use std::net::SocketAddrV4;

/// Time after the start of the process in which it adopts the levels of peers' rate
/// limiters.
const LEVEL_ADOPTION_WINDOW: TimeSpan = TimeSpan::from_secs(3);
/// Time for which heartbeats report an ejected endpoint.
const EJECTION_REPORT_DURATION: TimeSpan = TimeSpan::from_millis(600);

impl EntryNode {
    /// Records the address of a peer.
    pub(crate) fn learn_peer(&self, vm: &VmId, address: SocketAddrV4, now: LocalTime) {
        if *vm == self.settings().vm {
            return;
        }
        if self
            .state
            .borrow_mut()
            .peers
            .record_address(vm, address, now)
        {
            log::info!("event=peer_learned peer={vm} address={address}");
        }
    }

    /// Applies a peer's heartbeat.
    pub(crate) fn apply_heartbeat(
        &self,
        from: &VmId,
        address: SocketAddrV4,
        heartbeat: Box<PeerHeartbeat>,
        started_at: LocalTime,
        now: LocalTime,
    ) {
        self.learn_peer(from, address, now);
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let loads = heartbeat.loads.clone();
        let ejected = heartbeat.ejected.clone();
        let configuration = heartbeat.configuration;
        let expired_order_age = heartbeat.expired_order_age_ms;
        let Some(usages) = state.peers.record_heartbeat(from, address, heartbeat, now) else {
            return;
        };
        if let (Some(age), Some(lease)) = (expired_order_age, &mut state.lease) {
            let age = u64::from(age) * 1_000;
            let last_order = LocalTime::from_micros(now.micros().saturating_sub(age));
            let vm = from.clone();
            lease.reduce(LeaseEvent::Expired { vm, last_order }, now);
        }
        state.loads.set_peer(from, loads);
        let table = state.table.clone();
        for usage in usages {
            let Some(policy) = table
                .as_ref()
                .and_then(|table| table.account(&usage.account))
            else {
                continue;
            };
            if !usage.is_first {
                state.limiter.record_remote(policy, usage.units, now);
            } else if now.since(started_at) < LEVEL_ADOPTION_WINDOW {
                state.limiter.adopt_level(policy, usage.level, now);
            }
        }
        if !ejected.is_empty() {
            let ids: Vec<EndpointId> = state
                .directory
                .all()
                .filter(|known| ejected.contains(&NameHash::of(known.entry.id.as_str())))
                .map(|known| known.entry.id.clone())
                .collect();
            for id in ids {
                state.health.eject(&id, now);
            }
        }
        drop(guard);
        self.record_peer_version(configuration, now);
    }

    /// Applies a peer's announcement that it has a version of the configuration.
    pub(crate) fn apply_announcement(
        &self,
        from: &VmId,
        incarnation: u64,
        version: u64,
        now: LocalTime,
    ) {
        let mut state = self.state.borrow_mut();
        state
            .peers
            .record_configuration(from, incarnation, version, now);
        drop(state);
        self.record_peer_version(version, now);
    }

    /// Records that a peer has a version of the configuration, and wakes the tasks that wait
    /// for a peer to be ahead.
    fn record_peer_version(&self, version: u64, now: LocalTime) {
        let mut state = self.state.borrow_mut();
        if version > state.configuration_version() {
            state.newer_configuration_since.get_or_insert(now);
        }
        drop(state);
        self.peer_updated.notify_waiters();
    }

    /// Announces the configuration to all peers if the fleet is large and this VM is a
    /// watcher; the next heartbeat may be seconds away.
    pub(crate) fn announce_configuration(&self) {
        let now = BootClock::now();
        let is_large = self.state.borrow().peers.peer_counts(now).1 >= SMALL_FLEET_MAX_VMS;
        if is_large && self.is_watcher(now) {
            let version = self.state.borrow().configuration_version();
            self.broadcast(PeerMessage::Configuration {
                incarnation: self.incarnation,
                version,
            });
        }
    }

    /// Returns this VM's next heartbeat.
    pub(crate) fn own_heartbeat(&self, number: u64, now: LocalTime) -> PeerHeartbeat {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        state
            .ejected_here
            .retain(|_, at| now.since(*at) < EJECTION_REPORT_DURATION);
        let accounts = state
            .limiter
            .snapshots(now)
            .map(|(id, figures)| AccountUsage {
                account: id.clone(),
                admitted: figures.admitted as u64,
                requested_per_s: figures.requested_per_s as u32,
                level: figures.level as i64,
            });
        PeerHeartbeat {
            incarnation: self.incarnation,
            number,
            data_centre: self.settings().data_centre.clone(),
            configuration: state.configuration_version(),
            directory: state.endpoint_revision,
            link_mbps: self.settings().capacity.link(),
            has_store: state.failing_kinds == 0,
            is_cut: state.paths.is_cut(),
            is_stopping: self.stopping_since.get().is_some(),
            store_age_ms: u32::try_from(now.since(state.store_answered_at).millis())
                .unwrap_or(u32::MAX),
            expired_order_age_ms: state.expired_order_age(now),
            lease_fence: state.lease.as_ref().and_then(|lease| lease.held_fence(now)),
            accounts: accounts.collect(),
            loads: state.loads.own_loads(),
            demand: state.demand.snapshot(now),
            ejected: state
                .ejected_here
                .iter()
                .filter(|(_, from)| now >= **from)
                .map(|(endpoint, _)| *endpoint)
                .collect(),
        }
    }

    /// Returns whether a live peer has a newer revision of the target than this VM.
    pub(crate) fn is_peer_ahead(&self, target: WatchTarget) -> bool {
        let state = self.state.borrow();
        state
            .peers
            .live(BootClock::now())
            .filter_map(|(_, peer)| peer.heartbeat.as_ref())
            .any(|heartbeat| state.newer_at(target, heartbeat).is_some())
    }

    /// Returns a live peer with a newer revision of the target than this VM, and its
    /// address; none of `excluded`.
    pub(crate) fn newer_peer(
        &self,
        target: WatchTarget,
        excluded: &[VmId],
        now: LocalTime,
    ) -> Option<(VmId, SocketAddrV4)> {
        let state = self.state.borrow();
        let rank = |heartbeat: &PeerHeartbeat| {
            let newer = state.newer_at(target, heartbeat)?;
            // The directory changes all the time, so that any newer one will do.
            Some(match target {
                WatchTarget::Configuration => newer,
                WatchTarget::Endpoints => 0,
            })
        };
        let data_centre = self.settings().data_centre.clone();
        let draw = || rand::rng().random();
        state
            .peers
            .snapshot_source(rank, &data_centre, excluded, draw, now)
    }

    /// Returns the demand for each model, summed over this VM and its peers.
    pub(crate) fn fleet_demand(&self, now: LocalTime) -> FnvHashMap<NameHash, ModelDemand> {
        let mut state = self.state.borrow_mut();
        let mut demand = state.peers.demand(now);
        for (model, own) in state.demand.snapshot(now) {
            let total = demand.entry(model).or_default();
            *total = total.plus(own);
        }
        demand
    }

    /// Sends a message to an address.
    pub(crate) fn send_to(&self, message: PeerMessage, address: SocketAddrV4) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        if let Some(datagram) = socket.encode_own(message) {
            socket.send(&datagram, address);
        }
    }

    /// Sends a message to VMs, directly or through others as the bandwidth of this VM's
    /// link allows.
    pub(crate) fn send_through_relays(&self, message: PeerMessage, recipients: Vec<VmId>) {
        let from = self.settings().vm.clone();
        self.relay(from, message, recipients);
    }

    /// Sends or forwards a message that is from a VM; recipients whose address is unknown
    /// are left out.
    pub(crate) fn relay(&self, from: VmId, message: PeerMessage, recipients: Vec<VmId>) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let state = self.state.borrow();
        let send = |message: PeerMessage, vms: &[VmId]| {
            let envelope = PeerEnvelope {
                from: from.clone(),
                message,
            };
            let Some(datagram) = socket.encode(&envelope) else {
                return;
            };
            for vm in vms {
                match state.peers.address(vm) {
                    Some(address) => socket.send(&datagram, address),
                    None => log::debug!("event=message_dropped to={vm} error=\"address unknown\""),
                }
            }
        };
        let copies = direct_copies(self.settings().capacity.link());
        let mut last = Vec::new();
        for (vm, relay_to) in divide_recipients(recipients, copies) {
            if relay_to.is_empty() {
                last.push(vm);
                continue;
            }
            let message = Box::new(message.clone());
            send(PeerMessage::Relayed { relay_to, message }, &[vm]);
        }
        if !last.is_empty() {
            send(message, &last);
        }
    }

    /// Sends a message to VMs directly; those whose address is unknown are left out.
    pub(crate) fn send_to_each(&self, message: PeerMessage, vms: &[VmId]) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let Some(datagram) = socket.encode_own(message) else {
            return;
        };
        let state = self.state.borrow();
        for address in vms.iter().filter_map(|vm| state.peers.address(vm)) {
            socket.send(&datagram, address);
        }
    }

    /// Sends a message to every peer.
    pub(crate) fn broadcast(&self, message: PeerMessage) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let Some(datagram) = socket.encode_own(message) else {
            return;
        };
        let state = self.state.borrow();
        for (_, peer) in state.peers.all() {
            socket.send(&datagram, peer.address);
        }
    }

    /// Removes expired peers and updates the rate limiter, which depends on the number of
    /// live peers.
    pub(crate) fn sweep_peers(&self, now: LocalTime) {
        let mut state = self.state.borrow_mut();
        for vm in state.peers.sweep(now) {
            state.loads.remove_peer(&vm);
            log::info!("event=peer_lost peer={vm}");
        }
        let silent: Vec<VmId> = state
            .peers
            .all()
            .filter(|(_, peer)| now.since(peer.last_seen) > TimeSpan::from_secs(2))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in silent {
            // The requests of a peer that has been silent for more than 2 s no longer count:
            // it cannot be told apart from a stopped VM.
            state.loads.remove_peer(&vm);
        }
        state.origins.sweep(now);
        state.limits.sweep(now);
        let (live, known) = state.peers.peer_counts(now);
        state.limiter.set_live_peers(live, known, now);
        let requested = state.peers.requested_per_s(now);
        state.limiter.set_remote_demand(requested);
    }
}
