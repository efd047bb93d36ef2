//! Placement state received from the lease holder, and adapter requests to it.

use super::EntryNode;
use super::entry_node::NodeState;
use crate::clock::BootClock;
use clementinepond_dispatch::fleet::ModelTarget;
use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::peer::{
    AdapterLocation, PeerMessage, PlacementUpdate, SMALL_FLEET_MAX_VMS,
};
use clementinepond_dispatch::placement::adapter_hash;
use clementinepond_types::{AdapterId, EndpointId, LocalTime, ModelId, TimeSpan, VmId};
use fnv::{FnvHashMap, FnvHashSet};

/// Age of the last placement update up to which its list of closing copies is used.
const CLOSING_MAX_AGE: TimeSpan = TimeSpan::from_secs(3);
/// Time for which a model counts as absent after the endpoint stated that it does not
/// hold it; the endpoint's entry is updated within a heartbeat.
const ABSENCE_DURATION: TimeSpan = TimeSpan::from_millis(1_000);
/// Time without placement updates or heartbeats after which the lease holder no longer
/// counts as live; it sends updates at least twice a second.
const HOLDER_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_100);
/// Minimum interval between reports to the lease holder that an adapter is in use.
const USE_REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);
/// Delay before an unanswered adapter request is sent again.
const ADAPTER_REQUEST_RETRY_INTERVAL: TimeSpan = TimeSpan::from_millis(60);

/// Adapters, closing copies and loads in progress, as the lease holder reported them.
#[derive(Debug, Default)]
pub(crate) struct PlacementView {
    /// Fencing number of the lease under which the last update was sent.
    fence: u64,
    /// Number of the last update.
    number: u64,
    /// Adapters that are loaded.
    adapters: FnvHashSet<AdapterLocation>,
    /// Endpoint and model of each copy that is about to be unloaded.
    closing: FnvHashSet<(NameHash, NameHash)>,
    updated_at: LocalTime,
    /// Whether the last update came from another VM.
    is_remote: bool,
    /// VM that sent the last update; `None` if this VM did.
    holder: Option<VmId>,
    /// Number of adapters at each endpoint.
    counts: FnvHashMap<NameHash, usize>,
    /// Models being loaded, and when the first copy is expected.
    loading: FnvHashMap<NameHash, LocalTime>,
    /// Endpoint and model of each copy that the endpoint stated not to hold, and until
    /// when that statement is used.
    absent: FnvHashMap<(NameHash, NameHash), LocalTime>,
    /// Time at which the use of each adapter was last reported to the lease holder.
    pub(crate) use_reported_at: FnvHashMap<AdapterLocation, LocalTime>,
}

impl PlacementView {
    /// Applies an update; returns `false` if it is older than the last one.
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

    /// Records that an endpoint holds an adapter.
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

    /// Records that an endpoint stated not to hold a model.
    pub(crate) fn record_absent(&mut self, endpoint: NameHash, model: NameHash, now: LocalTime) {
        self.absent.retain(|_, until| now < *until);
        self.absent
            .insert((endpoint, model), now + ABSENCE_DURATION);
    }

    /// Returns whether an endpoint recently stated not to hold a model.
    pub(crate) fn is_absent(&self, endpoint: NameHash, model: NameHash, now: LocalTime) -> bool {
        self.absent
            .get(&(endpoint, model))
            .is_some_and(|until| now < *until)
    }

    /// Records that an endpoint does not hold an adapter.
    pub(crate) fn record_missing(&mut self, location: &AdapterLocation) {
        self.adapters.remove(location);
    }

    pub(crate) fn has_adapter(&self, location: &AdapterLocation) -> bool {
        self.adapters.contains(location)
    }

    /// Returns the time at which a model's next copy is expected to be loaded.
    pub(crate) fn expected_at(&self, model: NameHash) -> Option<LocalTime> {
        self.loading.get(&model).copied()
    }

    /// Returns whether an endpoint's copy of a model is about to be unloaded.
    pub(crate) fn is_closing(&self, endpoint: NameHash, model: NameHash, now: LocalTime) -> bool {
        now.since(self.updated_at) < CLOSING_MAX_AGE && self.closing.contains(&(endpoint, model))
    }
}

impl NodeState {
    /// Returns whether this VM holds the placement lease and may send orders now.
    pub(crate) fn may_send_orders(&self, now: LocalTime) -> bool {
        self.lease
            .as_ref()
            .is_some_and(|lease| lease.fence(now).is_some())
    }

    /// Returns the age of this VM's last order, in milliseconds, once its lease has
    /// expired; `None` while it holds the lease or if it has sent no order.
    pub(crate) fn expired_order_age(&self, now: LocalTime) -> Option<u32> {
        let holds = self.lease.as_ref()?.held_fence(now).is_some();
        let at = self.last_order.filter(|_| !holds)?;
        Some(u32::try_from(now.since(at).millis()).unwrap_or(u32::MAX))
    }

    /// Returns whether another VM holds the placement lease and is live.
    ///
    /// In a small fleet the holder must also have been seen within [`HOLDER_TIMEOUT`]; in a
    /// large one, heartbeats can be further apart than that.
    pub(crate) fn has_live_holder(&self, now: LocalTime) -> bool {
        let is_update_recent = now.since(self.placement.updated_at) < HOLDER_TIMEOUT;
        let is_small = self.peers.peer_counts(now).1 < SMALL_FLEET_MAX_VMS;
        let is_fresh = |vm: &VmId| !is_small || self.peers.age(vm, now) < HOLDER_TIMEOUT;
        let live_holder = self.peers.lease_holder(now);
        (is_update_recent && self.placement.is_remote && live_holder.is_some())
            || live_holder.is_some_and(|(vm, _)| is_fresh(vm))
    }

    /// Returns whether this VM or a live peer holds the placement lease.
    pub(crate) fn has_lease_holder(&self, now: LocalTime) -> bool {
        self.may_send_orders(now) || self.has_live_holder(now)
    }
}

impl EntryNode {
    /// Applies a placement update; `from` is `None` if this VM sent it.
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

    /// Applies the lease holder's message that an endpoint has loaded an adapter.
    pub(crate) fn apply_adapter_ready(&self, location: AdapterLocation) {
        self.state.borrow_mut().placement.record_ready(location);
        self.placement_changed.notify_waiters();
    }

    /// Passes a VM's request for an adapter to the planner if this VM may send orders.
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

    /// Returns the location of a request's adapter at an endpoint; `None` if the request
    /// needs no adapter.
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

    /// Requests the adapter of a request and waits until the endpoint holds it; returns
    /// `false` after the time limit.
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
            // The message to the lease holder or its reply may get lost, so it is resent.
            let _ = tokio::time::timeout(ADAPTER_REQUEST_RETRY_INTERVAL.duration(), changed).await;
        }
    }

    /// Reports to the lease holder that an adapter is in use, so that it is not evicted.
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

    /// Sends an adapter request to the lease holder, which may be this VM.
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
