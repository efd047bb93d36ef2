//! Placement planner of the lease holder: one order tracker per endpoint, the moves in
//! progress and the adapters that requests wait for.

mod adapters;
mod moves;

use crate::fleet::{EndpointEntry, EnginePolicy};
use crate::load::NameHash;
use crate::peer::{AdapterLocation, ModelDemand, PlacementUpdate};
use crate::placement::order::{EndpointOrder, EndpointStatus, OrderReply, SentOrder};
use crate::placement::order_tracker::{AdapterPhase, HeldAdapter, OrderTracker};
use clementinepond_types::{AdapterId, EndpointId, LocalTime, ModelId, TimeSpan, VmId};
use fnv::FnvHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// Time that the orders of a move take in addition to the load itself.
const MOVE_ORDER_OVERHEAD: TimeSpan = TimeSpan::from_millis(300);
/// Interval between searches for moves.
const MOVE_SEARCH_INTERVAL: TimeSpan = TimeSpan::from_millis(250);
/// Interval between reads of an endpoint's status.
const STATUS_READ_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Time for which a status may still lack an accepted order.
const STATUS_LAG: TimeSpan = TimeSpan::from_millis(500);
/// Time from an accepted adapter load until the adapter is usable; the usual load time
/// of adapters.
const ADAPTER_LOAD_TIME: TimeSpan = TimeSpan::from_millis(14);
/// Time after which a wait for an adapter is dropped, since its callers have been sent
/// elsewhere.
const ADAPTER_WAIT_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_500);
/// Limit of the unused credit for loads from the weight store, in loads; the store's
/// loads per second if that is more.
const STORE_CREDIT_LIMIT: f64 = 3.0;

/// Action that the I/O layer performs for the planner.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerEffect {
    /// Send an order to an endpoint.
    Send(SentOrder),
    /// Read an endpoint's status.
    ReadStatus {
        /// Endpoint to read.
        endpoint: EndpointId,
        /// Address of the endpoint.
        address: SocketAddrV4,
    },
    /// Notify a VM that an adapter is loaded.
    AdapterReady {
        /// VM that requested the adapter.
        vm: VmId,
        /// Endpoint and adapter.
        location: AdapterLocation,
    },
    /// Log the start of a move.
    MoveStarted {
        /// Endpoint on which the move takes place.
        endpoint: EndpointId,
        /// Models to unload.
        unload: Vec<ModelId>,
        /// Model to load.
        load: ModelId,
        /// Utilization of the model to load, in thousandths of an engine.
        utilization_milli: u64,
        /// Whether the weights are loaded from the weight store.
        from_store: bool,
    },
}

/// Move in progress on one endpoint.
#[derive(Debug, Clone)]
struct MoveTask {
    unload: Vec<ModelId>,
    load: ModelId,
    from_store: bool,
    /// Whether the move has taken a load from the store credit.
    is_charged: bool,
    /// Expected duration of the load.
    load_time: TimeSpan,
    /// Time from which the unload orders may be sent.
    unload_from: LocalTime,
}

/// Adapter at an endpoint that requests wait for.
#[derive(Debug, Clone)]
struct AdapterWait {
    endpoint: EndpointId,
    model: ModelId,
    adapter: AdapterId,
    /// VMs to notify when the adapter is loaded.
    vms: Vec<VmId>,
    /// Time of the first request.
    since: LocalTime,
}

/// State of the service that a planner step is based on.
#[derive(Debug)]
pub struct PlannerInput<'a> {
    /// Engine policy of the service.
    pub policy: &'a EnginePolicy,
    /// Endpoints of the service, each with whether it takes requests and orders.
    pub endpoints: Vec<(&'a EndpointEntry, bool)>,
    /// Demand for each model over all VMs.
    pub demand: &'a FnvHashMap<NameHash, ModelDemand>,
    /// Fencing number of the lease.
    pub fence: u64,
}

/// Placement planner of one service.
#[derive(Debug, Default)]
pub struct PlacementPlanner {
    trackers: BTreeMap<EndpointId, OrderTracker>,
    /// Models that each endpoint's entry listed at the last step.
    listed: BTreeSet<(EndpointId, ModelId)>,
    status_requested_at: FnvHashMap<EndpointId, LocalTime>,
    moves: BTreeMap<EndpointId, MoveTask>,
    waits: Vec<AdapterWait>,
    /// Number of loads from the weight store that may start now.
    store_credit: f64,
    credited_at: LocalTime,
    next_search: LocalTime,
    /// Time since which no usable endpoint has listed the model.
    lost_since: FnvHashMap<ModelId, LocalTime>,
    /// Time until which a status may still lack the previous holder's orders.
    status_stale_until: LocalTime,
}

impl PlacementPlanner {
    /// Creates the planner of a VM that has just become the lease holder.
    #[must_use]
    pub fn new(now: LocalTime) -> Self {
        Self {
            credited_at: now,
            status_stale_until: now + STATUS_LAG,
            ..Self::default()
        }
    }

    /// Discards all state, so that the effects of earlier holders are read again.
    pub fn reset(&mut self, now: LocalTime) {
        *self = Self::new(now);
    }

    /// Continues after an expired lease that no other VM held in between; the order
    /// counts are read again.
    pub fn resume(&mut self) {
        for tracker in self.trackers.values_mut() {
            tracker.order_count = None;
        }
    }

    /// Records that a request at a VM needs an adapter or has used it.
    pub fn request_adapter(
        &mut self,
        vm: &VmId,
        endpoint: &EndpointId,
        model: &ModelId,
        adapter: &AdapterId,
        now: LocalTime,
    ) {
        if let Some(tracker) = self.trackers.get_mut(endpoint)
            && let Some(held) = tracker.adapters.get_mut(&(model.clone(), adapter.clone()))
        {
            held.used_at = now;
        }
        let known = self.waits.iter_mut().find(|wait| {
            wait.endpoint == *endpoint && wait.model == *model && wait.adapter == *adapter
        });
        if let Some(wait) = known {
            if !wait.vms.contains(vm) {
                wait.vms.push(vm.clone());
            }
            return;
        }
        self.waits.push(AdapterWait {
            endpoint: endpoint.clone(),
            model: model.clone(),
            adapter: adapter.clone(),
            vms: vec![vm.clone()],
            since: now,
        });
    }

    /// Updates the endpoint's state from the reply to an order.
    pub fn record_reply(
        &mut self,
        endpoint: &EndpointId,
        order: &EndpointOrder,
        reply: OrderReply,
        now: LocalTime,
    ) {
        if let Some(tracker) = self.trackers.get_mut(endpoint) {
            tracker.record_reply(order, reply, now);
            if let (EndpointOrder::UnloadModel(model), OrderReply::Accepted) = (order, reply)
                && self.listed.contains(&(endpoint.clone(), model.clone()))
            {
                tracker.clear_reported(model);
            }
            if let (EndpointOrder::LoadAdapter(model, adapter), OrderReply::Accepted) =
                (order, reply)
                && let Some(held) = tracker.adapters.get_mut(&(model.clone(), adapter.clone()))
            {
                held.ready_at = now + ADAPTER_LOAD_TIME;
            }
        }
    }

    /// Updates the endpoint's state from a status that was requested at `requested_at`,
    /// unless the status may lack orders that are in flight or were accepted recently.
    pub fn record_status(
        &mut self,
        endpoint: &EndpointId,
        status: &EndpointStatus,
        requested_at: LocalTime,
        now: LocalTime,
    ) {
        let Some(tracker) = self.trackers.get_mut(endpoint) else {
            return;
        };
        if tracker.in_flight.is_some() || requested_at.since(tracker.accepted_at) <= STATUS_LAG {
            return;
        }
        if status.is_busy && tracker.loading.is_none() && tracker.unloading.is_none() {
            // An earlier holder's order is in progress; the status shows the model that
            // it loads only once the load is complete.
            return;
        }
        let models = status.models.iter().map(|hosted| hosted.id.clone());
        tracker.record_status(models.collect(), status.order_count);
        if status.is_busy {
            tracker.pause_until = now + STATUS_READ_INTERVAL;
        }
        let mut adapters = FnvHashMap::default();
        for hosted in &status.models {
            for adapter in &hosted.adapters {
                let key = (hosted.id.clone(), adapter.clone());
                let used_at = tracker.adapters.get(&key).map_or(now, |held| held.used_at);
                let held = HeldAdapter {
                    phase: AdapterPhase::Loaded,
                    used_at,
                    ready_at: now,
                };
                adapters.insert(key, held);
            }
        }
        for (model, adapter) in &status.pending {
            let held = HeldAdapter {
                phase: AdapterPhase::Loading,
                used_at: now,
                ready_at: now + ADAPTER_LOAD_TIME,
            };
            adapters.insert((model.clone(), adapter.clone()), held);
        }
        tracker.adapters = adapters;
    }

    /// Advances the planner to `now` and returns the effects that are due.
    pub fn step(&mut self, input: &PlannerInput<'_>, now: LocalTime) -> Vec<PlannerEffect> {
        let mut effects = Vec::new();
        self.refill_store_credit(input.policy, now);
        self.record_endpoints(input, now);
        self.request_statuses(input, now, &mut effects);
        self.advance_adapters(input, now, &mut effects);
        self.advance_moves(input, now, &mut effects);
        if now >= self.next_search {
            self.next_search = now + MOVE_SEARCH_INTERVAL;
            self.record_lost_models(input, now);
            self.search_moves(input, now, &mut effects);
        }
        effects
    }

    /// Returns the state of this planner's service for a placement update. `adapters`
    /// lists all loaded adapters; the caller sets `number`, `is_complete` and
    /// `removed`.
    #[must_use]
    pub fn update(&self, fence: u64, now: LocalTime) -> PlacementUpdate {
        let mut update = PlacementUpdate {
            fence,
            ..PlacementUpdate::default()
        };
        for (id, tracker) in &self.trackers {
            let endpoint = NameHash::of(id.as_str());
            for ((model, adapter), held) in &tracker.adapters {
                if held.phase != AdapterPhase::Unloading && now >= held.ready_at {
                    let adapter = adapter_hash(model, adapter);
                    update.adapters.push(AdapterLocation { endpoint, adapter });
                }
            }
        }
        for (id, task) in &self.moves {
            let endpoint = NameHash::of(id.as_str());
            for model in &task.unload {
                update
                    .closing
                    .push((endpoint, NameHash::of(model.as_str())));
            }
            let ready_at = match self
                .trackers
                .get(id)
                .and_then(|tracker| tracker.loading.as_ref())
            {
                Some((_, since)) => *since + task.load_time,
                None => now.max(task.unload_from) + task.load_time + MOVE_ORDER_OVERHEAD,
            };
            let millis = u32::try_from(now.until(ready_at).millis()).unwrap_or(u32::MAX);
            update
                .loading
                .push((NameHash::of(task.load.as_str()), millis));
        }
        update
    }

    /// Returns whether any request waits for an adapter.
    #[must_use]
    pub fn has_adapter_waits(&self) -> bool {
        !self.waits.is_empty()
    }

    fn refill_store_credit(&mut self, policy: &EnginePolicy, now: LocalTime) {
        let seconds = now.since(self.credited_at).micros() as f64 / 1e6;
        self.credited_at = now;
        let rate = if policy.loads_per_s > 0.0 {
            policy.loads_per_s
        } else {
            f64::from(u16::MAX)
        };
        self.store_credit = (self.store_credit + seconds * rate).min(STORE_CREDIT_LIMIT.max(rate));
    }

    fn record_endpoints(&mut self, input: &PlannerInput<'_>, now: LocalTime) {
        self.trackers
            .retain(|id, _| input.endpoints.iter().any(|(entry, _)| entry.id == *id));
        self.listed.clear();
        for (entry, _) in &input.endpoints {
            for hosted in &entry.models {
                self.listed.insert((entry.id.clone(), hosted.id.clone()));
            }
            let tracker = self.trackers.entry(entry.id.clone()).or_default();
            let is_new_incarnation = tracker.started_ms != entry.started_ms;
            tracker.record_entry(entry, now);
            if is_new_incarnation {
                tracker.order_count = None;
                self.moves.remove(&entry.id);
                self.status_requested_at.remove(&entry.id);
            }
        }
        let trackers = &self.trackers;
        self.moves.retain(|id, _| trackers.contains_key(id));
        self.waits
            .retain(|wait| now.since(wait.since) < ADAPTER_WAIT_TIMEOUT);
    }

    fn request_statuses(
        &mut self,
        input: &PlannerInput<'_>,
        now: LocalTime,
        effects: &mut Vec<PlannerEffect>,
    ) {
        for (entry, is_usable) in &input.endpoints {
            let Some(tracker) = self.trackers.get(&entry.id) else {
                continue;
            };
            let is_early =
                now < self.status_stale_until || now.since(tracker.accepted_at) <= STATUS_LAG;
            if !is_usable || is_early || tracker.in_flight.is_some() || !tracker.needs_status(entry)
            {
                continue;
            }
            let requested_at = self.status_requested_at.get(&entry.id);
            if requested_at.is_some_and(|at| now.since(*at) < STATUS_READ_INTERVAL) {
                continue;
            }
            self.status_requested_at.insert(entry.id.clone(), now);
            effects.push(PlannerEffect::ReadStatus {
                endpoint: entry.id.clone(),
                address: entry.address,
            });
        }
    }

    fn send(
        &mut self,
        entry: &EndpointEntry,
        order: EndpointOrder,
        fence: u64,
        now: LocalTime,
    ) -> Option<PlannerEffect> {
        let tracker = self.trackers.get_mut(&entry.id)?;
        if !tracker.is_idle(now) {
            return None;
        }
        let after = tracker.order_count?;
        tracker.in_flight = Some((order.clone(), now));
        Some(PlannerEffect::Send(SentOrder {
            endpoint: entry.id.clone(),
            address: entry.address,
            order,
            after,
            fence,
        }))
    }
}

/// Returns the hash that identifies an adapter of a model in messages.
#[must_use]
pub fn adapter_hash(model: &ModelId, adapter: &AdapterId) -> NameHash {
    NameHash::of(&format!("{model}/{adapter}"))
}
