//! Placement update from the holder of the placement_lease, and requests to it.

use super::EntryNode;
use super::entry_node::NodeState;
use crate::clock::BootClock;
use clementinepond_dispatch::fleet::ModelTarget;
use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::peer::{
    AdapterLocation, PeerMessage, PlacementUpdate, SMALL_FLEET_MAX_VMS,
};
use clementinepond_dispatch::place::adapter_hash;
use clementinepond_types::{AdapterId, EndpointId, LocalTime, ModelId, TimeSpan, VmId};
use fnv::{FnvHashMap, FnvHashSet};

/// Age of the holder's update up to which a copy counts as closing.
const CLOSING_MAX_AGE: TimeSpan = TimeSpan::from_secs(3);

/// Time for which an endpoint's answer that it lacks a model counts; its entry
/// follows within a heartbeat.
const ABSENCE_DURATION: TimeSpan = TimeSpan::from_millis(1_000);
/// Silence after which the holder's update of placement no longer show that it
/// is there; it sends some twice a second.
const HOLDER_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_100);
/// Time between two words to the holder about an adapter in use.
const USE_REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);
/// Time after which an unanswered adapter request is sent again.
const ADAPTER_REQUEST_RETRY_INTERVAL: TimeSpan = TimeSpan::from_millis(60);

/// Adapters and closing copies, as the holder sees them.
#[derive(Debug, Default)]
pub(crate) struct PlacementView {
    fence: u64,
    number: u64,
    adapters: FnvHashSet<AdapterLocation>,
    closing: FnvHashSet<(NameHash, NameHash)>,
    updated_at: LocalTime,
    /// Whether the update came from another VM.
    is_remote: bool,
    holder: Option<VmId>,
    /// Adapters at each endpoint.
    counts: FnvHashMap<NameHash, usize>,
    /// Models being loaded, and when they are expected.
    loading: FnvHashMap<NameHash, LocalTime>,
    /// Models that an endpoint said it does not hold, and until when that counts.
    absent: FnvHashMap<(NameHash, NameHash), LocalTime>,
    /// Moment at which the holder was last notified of each adapter in use.
    pub(crate) use_reported_at: FnvHashMap<AdapterLocation, LocalTime>,
}

impl PlacementView {
    /// Takes over update; false when they are out of date.
    pub(crate) fn apply(
        &mut self,
        update: PlacementUpdate,
        from: Option<&VmId>,
        now: LocalTime,
    ) -> bool {
        if (update.fence, update.number) < (self.fence, self.number) {
            return false;
        }
        self.fence = update.fence;
        self.number = update.number;
        if update.is_complete {
            self.adapters.clear();
        }
        for location in &update.removed {
            self.adapters.remove(location);
        }
        self.adapters.extend(update.adapters);
        self.counts.clear();
        for location in &self.adapters {
            *self.counts.entry(location.endpoint).or_default() += 1;
        }
        self.closing = update.closing.into_iter().collect();
        self.updated_at = now;
        self.loading.clear();
        for (model, millis) in update.loading {
            let expected = now + TimeSpan::from_millis(u64::from(millis));
            let soonest = self.loading.entry(model).or_insert(expected);
            *soonest = (*soonest).min(expected);
        }
        self.is_remote = from.is_some();
        self.holder = from.cloned();
        true
    }

    pub(crate) fn record_ready(&mut self, location: AdapterLocation) {
        let endpoint = location.endpoint;
        if self.adapters.insert(location) {
            *self.counts.entry(endpoint).or_default() += 1;
        }
    }

    /// Returns the number of adapters at an endpoint.
    pub(crate) fn adapters_at(&self, endpoint: NameHash) -> usize {
        self.counts.get(&endpoint).copied().unwrap_or(0)
    }

    /// Notes that an endpoint said it does not hold a model.
    pub(crate) fn record_absent(&mut self, endpoint: NameHash, model: NameHash, now: LocalTime) {
        self.absent.retain(|_, until| now < *until);
        self.absent
            .insert((endpoint, model), now + ABSENCE_DURATION);
    }

    pub(crate) fn is_absent(&self, endpoint: NameHash, model: NameHash, now: LocalTime) -> bool {
        self.absent
            .get(&(endpoint, model))
            .is_some_and(|until| now < *until)
    }

    pub(crate) fn record_missing(&mut self, location: &AdapterLocation) {
        self.adapters.remove(location);
    }

    pub(crate) fn has_adapter(&self, location: &AdapterLocation) -> bool {
        self.adapters.contains(location)
    }

    /// Returns the moment at which a model's next copy is expected.
    pub(crate) fn expected_at(&self, model: NameHash) -> Option<LocalTime> {
        self.loading.get(&model).copied()
    }

    pub(crate) fn is_closing(&self, endpoint: NameHash, model: NameHash, now: LocalTime) -> bool {
        now.since(self.updated_at) < CLOSING_MAX_AGE && self.closing.contains(&(endpoint, model))
    }
}

impl NodeState {
    /// Tells whether this VM may give orders now.
    pub(crate) fn may_send_orders(&self, now: LocalTime) -> bool {
        self.lease
            .as_ref()
            .is_some_and(|lease| lease.fence(now).is_some())
    }

    /// Returns the age of this VM's last order once its authority is over.
    pub(crate) fn expired_order_age(&self, now: LocalTime) -> Option<u32> {
        let holds = self.lease.as_ref()?.held_fence(now).is_some();
        let at = self.last_order.filter(|_| !holds)?;
        Some(u32::try_from(now.since(at).millis()).unwrap_or(u32::MAX))
    }

    /// Tells whether another VM shows that it holds the placement placement_lease.
    pub(crate) fn has_live_holder(&self, now: LocalTime) -> bool {
        let is_update_recent = now.since(self.placement.updated_at) < HOLDER_TIMEOUT;
        let is_small = self.peers.peer_counts(now).1 < SMALL_FLEET_MAX_VMS;
        let is_fresh = |vm: &VmId| !is_small || self.peers.age(vm, now) < HOLDER_TIMEOUT;
        let live_holder = self.peers.lease_holder(now);
        (is_update_recent && self.placement.is_remote && live_holder.is_some())
            || live_holder.is_some_and(|(vm, _)| is_fresh(vm))
    }

    /// Tells whether this VM or a heard peer holds the placement placement_lease.
    pub(crate) fn has_lease_holder(&self, now: LocalTime) -> bool {
        self.may_send_orders(now) || self.has_live_holder(now)
    }
}

impl EntryNode {
    pub(crate) fn apply_placement(
        &self,
        update: PlacementUpdate,
        from: Option<&VmId>,
        now: LocalTime,
    ) {
        if self.state.borrow_mut().placement.apply(update, from, now) {
            self.placement_changed.notify_waiters();
        }
    }

    pub(crate) fn apply_adapter_ready(&self, location: AdapterLocation) {
        self.state.borrow_mut().placement.record_ready(location);
        self.placement_changed.notify_waiters();
    }

    /// Handles a VM's request for an adapter if this VM holds the placement_lease.
    pub(crate) fn apply_adapter_wanted(
        &self,
        from: &VmId,
        endpoint: &EndpointId,
        model: &ModelId,
        adapter: &AdapterId,
        now: LocalTime,
    ) {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let holds = state.may_send_orders(now);
        let service = state
            .directory
            .get(endpoint)
            .map(|known| &known.entry.service);
        let Some(planner) = service
            .filter(|_| holds)
            .and_then(|service| state.planners.get_mut(service))
        else {
            return;
        };
        planner.request_adapter(from, endpoint, model, adapter, now);
        self.orders_due.notify_one();
    }

    /// Returns the location of a request's adapter at an endpoint.
    pub(crate) fn adapter_location(
        &self,
        endpoint: &EndpointId,
        target: Option<&ModelTarget>,
    ) -> Option<AdapterLocation> {
        let target = target?;
        let adapter = target.adapter.as_ref()?;
        Some(AdapterLocation {
            endpoint: NameHash::of(endpoint.as_str()),
            adapter: adapter_hash(&target.model, adapter),
        })
    }

    /// Waits until an endpoint holds the adapter of a request.
    pub(crate) async fn await_adapter(
        &self,
        endpoint: &EndpointId,
        target: &ModelTarget,
        limit: TimeSpan,
    ) -> bool {
        let Some(location) = self.adapter_location(endpoint, Some(target)) else {
            return true;
        };
        let until = BootClock::now() + limit;
        loop {
            let mut changed = std::pin::pin!(self.placement_changed.notified());
            changed.as_mut().enable();
            if self.state.borrow().placement.has_adapter(&location) {
                return true;
            }
            if BootClock::now() >= until {
                return false;
            }
            self.notify_holder(endpoint, target);
            // The request or its answer may be lost.
            let _ = tokio::time::timeout(ADAPTER_REQUEST_RETRY_INTERVAL.duration(), changed).await;
        }
    }

    /// Notifies the holder that an adapter is in use, so that it is not evicted.
    pub(crate) fn report_adapter_use(&self, endpoint: &EndpointId, target: &ModelTarget) {
        let Some(location) = self.adapter_location(endpoint, Some(target)) else {
            return;
        };
        let now = BootClock::now();
        let is_due = {
            let mut state = self.state.borrow_mut();
            let use_reported_at = state
                .placement
                .use_reported_at
                .insert(location.clone(), now);
            let is_due = use_reported_at.is_none_or(|at| now.since(at) >= USE_REPORT_INTERVAL);
            if let (false, Some(at)) = (is_due, use_reported_at) {
                state.placement.use_reported_at.insert(location, at);
            }
            is_due
        };
        if is_due {
            self.notify_holder(endpoint, target);
        }
    }

    fn notify_holder(&self, endpoint: &EndpointId, target: &ModelTarget) {
        let Some(adapter) = &target.adapter else {
            return;
        };
        let now = BootClock::now();
        let me = self.settings().vm.clone();
        self.apply_adapter_wanted(&me, endpoint, &target.model, adapter, now);
        let holder = {
            let state = self.state.borrow();
            let live_holder = state.peers.lease_holder(now).map(|(vm, _)| vm);
            let last_sender = state.placement.holder.as_ref();
            live_holder
                .or(last_sender)
                .and_then(|vm| state.peers.address(vm))
        };
        if let Some(address) = holder {
            let message = PeerMessage::AdapterWanted {
                endpoint: endpoint.clone(),
                model: target.model.clone(),
                adapter: adapter.clone(),
            };
            self.send_to(message, address);
        }
    }
}
