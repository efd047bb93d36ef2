//! The holder's state: one order book an endpoint, the moves under way and
//! the adapters that requests wait for.

use super::choose::{choose_move, load_time};
use super::demand::work_of;
use super::order::{EndpointOrder, EndpointStatus, OrderReply, SentOrder};
use super::order_book::{AdapterPhase, HeldAdapter, OrderBook};
use super::view::{EngineView, ModelView, PlacementView};
use crate::fleet::{EndpointEntry, EnginePolicy};
use crate::ledger::EndpointKey;
use crate::peer::{AdapterPlace, ModelDemand, PlacementNews};
use clementinepond_types::{AdapterId, EndpointId, LocalTime, ModelId, TimeSpan, VmId};
use fnv::FnvHashMap;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// Time between the announcement that a copy closes and its unload; covers
/// the news' way to all VMs.
const CLOSING_NOTICE: TimeSpan = TimeSpan::from_millis(300);
/// Time that orders of a move take beside the load itself.
const ORDER_TIME: TimeSpan = TimeSpan::from_millis(300);
/// Time between two searches for moves.
const MOVE_INTERVAL: TimeSpan = TimeSpan::from_millis(250);
/// Moves started in one search at most.
const MOVES_A_SEARCH: usize = 4;
/// Time for which a model without a copy may just be on its way back: endpoints
/// list themselves within a heartbeat of their start.
const LOST_PATIENCE: TimeSpan = TimeSpan::from_millis(2_500);
/// The same when requests ask for the model.
const WANTED_PATIENCE: TimeSpan = TimeSpan::from_millis(250);
/// Time between two readings of an endpoint's status.
const STATUS_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Age of an accepted order up to which a status may not show it yet.
const STATUS_LAG: TimeSpan = TimeSpan::from_millis(500);
/// Time from an accepted adapter load to its use; the adapters' usual load time.
const ADAPTER_LOAD: TimeSpan = TimeSpan::from_millis(14);
/// Time after its last request for which an adapter is not displaced: an adapter
/// that a stream still uses blocks all further orders until the stream ends.
const ADAPTER_REST: TimeSpan = TimeSpan::from_millis(2_500);
/// Time after which a wait for an adapter is dropped; callers have gone elsewhere.
const ADAPTER_PATIENCE: TimeSpan = TimeSpan::from_millis(1_500);
/// Loads from the weight store that may be saved up.
const STORE_LOAD_BURST: f64 = 3.0;
/// Seconds of the store's load rate that may be on their way at once.
const STORE_LOAD_SECONDS: f64 = 3.7;

/// What the holder asks its edge to do.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerEffect {
    /// Send an order.
    Send(SentOrder),
    /// Read an endpoint's status.
    ReadStatus {
        /// Endpoint.
        endpoint: EndpointId,
        /// Its address.
        address: SocketAddrV4,
    },
    /// Tell a VM that an adapter is there.
    AdapterReady {
        /// VM that waits.
        vm: VmId,
        /// Where it is.
        place: AdapterPlace,
    },
    /// A move was started; for the log.
    MoveStarted {
        /// Endpoint.
        endpoint: EndpointId,
        /// Models that make way.
        unload: Vec<ModelId>,
        /// Model that comes.
        load: ModelId,
        /// Work a copy that called for the move, in thousandths of an engine.
        crowding_milli: u64,
        /// Whether the weights come from the weight store.
        from_store: bool,
    },
}

#[derive(Debug, Clone)]
struct MoveTask {
    unload: Vec<ModelId>,
    load: ModelId,
    from_store: bool,
    is_charged: bool,
    /// Expected time of the load.
    load_time: TimeSpan,
    unload_from: LocalTime,
}

#[derive(Debug, Clone)]
struct AdapterWait {
    endpoint: EndpointId,
    model: ModelId,
    adapter: AdapterId,
    vms: Vec<VmId>,
    since: LocalTime,
}

/// What the holder knows of the service at one moment.
#[derive(Debug)]
pub struct PlannerInput<'a> {
    /// Engines of the service.
    pub policy: &'a EnginePolicy,
    /// Endpoints, and whether each takes requests and orders.
    pub endpoints: Vec<(&'a EndpointEntry, bool)>,
    /// Demand over all VMs.
    pub demand: &'a FnvHashMap<EndpointKey, ModelDemand>,
    /// Fencing number.
    pub fence: u64,
}

/// Placement of one service.
#[derive(Debug, Default)]
pub struct PlacementPlanner {
    books: BTreeMap<EndpointId, OrderBook>,
    /// Models that the endpoints' entries listed at the last step.
    listed: BTreeSet<(EndpointId, ModelId)>,
    status_asked: FnvHashMap<EndpointId, LocalTime>,
    moves: BTreeMap<EndpointId, MoveTask>,
    waits: Vec<AdapterWait>,
    store_credit: f64,
    credited_at: LocalTime,
    next_search: LocalTime,
    /// Moment since which no endpoint holds a model.
    lost_since: FnvHashMap<ModelId, LocalTime>,
    /// Moment before which a status may not show the last holder's orders.
    quiet_until: LocalTime,
}

impl PlacementPlanner {
    /// Makes the state of a VM that has just become the holder.
    #[must_use]
    pub fn new(now: LocalTime) -> Self {
        Self {
            credited_at: now,
            quiet_until: now + STATUS_LAG,
            ..Self::default()
        }
    }

    /// Starts over as the holder; what earlier holders did is read again.
    pub fn reset(&mut self, now: LocalTime) {
        *self = Self::new(now);
    }

    /// Goes on as the holder after a lapse in which nobody else held the duty.
    pub fn resume(&mut self) {
        for book in self.books.values_mut() {
            book.order_count = None;
        }
    }

    /// Notes that a request at a VM needs an adapter, or has used it.
    pub fn want_adapter(
        &mut self,
        vm: &VmId,
        endpoint: &EndpointId,
        model: &ModelId,
        adapter: &AdapterId,
        now: LocalTime,
    ) {
        if let Some(book) = self.books.get_mut(endpoint)
            && let Some(held) = book.adapters.get_mut(&(model.clone(), adapter.clone()))
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

    /// Notes an order's answer.
    pub fn note_reply(
        &mut self,
        endpoint: &EndpointId,
        order: &EndpointOrder,
        reply: OrderReply,
        now: LocalTime,
    ) {
        if let Some(book) = self.books.get_mut(endpoint) {
            book.note_reply(order, reply, now);
            if let (EndpointOrder::UnloadModel(model), OrderReply::Accepted) = (order, reply)
                && self.listed.contains(&(endpoint.clone(), model.clone()))
            {
                book.trust_entry(model);
            }
            if let (EndpointOrder::LoadAdapter(model, adapter), OrderReply::Accepted) =
                (order, reply)
                && let Some(held) = book.adapters.get_mut(&(model.clone(), adapter.clone()))
            {
                held.ready_at = now + ADAPTER_LOAD;
            }
        }
    }

    /// Takes over an endpoint's status that was asked for at `asked_at`.
    pub fn note_status(
        &mut self,
        endpoint: &EndpointId,
        status: &EndpointStatus,
        asked_at: LocalTime,
        now: LocalTime,
    ) {
        let Some(book) = self.books.get_mut(endpoint) else {
            return;
        };
        if book.flight.is_some() || asked_at.since(book.accepted_at) <= STATUS_LAG {
            return;
        }
        if status.is_busy && book.loading.is_none() && book.unloading.is_none() {
            // An order of an earlier holder is under way; what it loads shows
            // only when it is done.
            return;
        }
        let models = status.models.iter().map(|hosted| hosted.id.clone());
        book.note_status(models.collect(), status.order_count);
        if status.is_busy {
            book.pause_until = now + STATUS_INTERVAL;
        }
        let mut adapters = FnvHashMap::default();
        for hosted in &status.models {
            for adapter in &hosted.adapters {
                let key = (hosted.id.clone(), adapter.clone());
                let used_at = book.adapters.get(&key).map_or(now, |held| held.used_at);
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
                ready_at: now + ADAPTER_LOAD,
            };
            adapters.insert((model.clone(), adapter.clone()), held);
        }
        book.adapters = adapters;
    }

    /// Does what is due.
    pub fn step(&mut self, input: &PlannerInput<'_>, now: LocalTime) -> Vec<PlannerEffect> {
        let mut effects = Vec::new();
        self.earn_credit(input.policy, now);
        self.note_endpoints(input, now);
        self.ask_status(input, now, &mut effects);
        self.carry_adapters(input, now, &mut effects);
        self.carry_moves(input, now, &mut effects);
        if now >= self.next_search {
            self.next_search = now + MOVE_INTERVAL;
            self.note_lost(input, now);
            self.search_moves(input, now, &mut effects);
        }
        effects
    }

    /// Returns what all VMs should know.
    #[must_use]
    pub fn news(&self, fence: u64, now: LocalTime) -> PlacementNews {
        let mut news = PlacementNews {
            fence,
            ..PlacementNews::default()
        };
        for (id, book) in &self.books {
            let endpoint = EndpointKey::of(id.as_str());
            for ((model, adapter), held) in &book.adapters {
                if held.phase != AdapterPhase::Unloading && now >= held.ready_at {
                    let adapter = adapter_key(model, adapter);
                    news.adapters.push(AdapterPlace { endpoint, adapter });
                }
            }
        }
        for (id, task) in &self.moves {
            let endpoint = EndpointKey::of(id.as_str());
            for model in &task.unload {
                news.closing
                    .push((endpoint, EndpointKey::of(model.as_str())));
            }
            let ready_at = match self.books.get(id).and_then(|book| book.loading.as_ref()) {
                Some((_, since)) => *since + task.load_time,
                None => now.max(task.unload_from) + task.load_time + ORDER_TIME,
            };
            let millis = u32::try_from(now.until(ready_at).millis()).unwrap_or(u32::MAX);
            news.loading
                .push((EndpointKey::of(task.load.as_str()), millis));
        }
        news
    }

    /// Tells whether a request waits for an adapter.
    #[must_use]
    pub fn has_waits(&self) -> bool {
        !self.waits.is_empty()
    }

    fn earn_credit(&mut self, policy: &EnginePolicy, now: LocalTime) {
        let seconds = now.since(self.credited_at).micros() as f64 / 1e6;
        self.credited_at = now;
        let rate = if policy.loads_per_s > 0.0 {
            policy.loads_per_s
        } else {
            f64::from(u16::MAX)
        };
        self.store_credit = (self.store_credit + seconds * rate).min(STORE_LOAD_BURST.max(rate));
    }

    fn note_endpoints(&mut self, input: &PlannerInput<'_>, now: LocalTime) {
        self.books
            .retain(|id, _| input.endpoints.iter().any(|(entry, _)| entry.id == *id));
        self.listed.clear();
        for (entry, _) in &input.endpoints {
            for hosted in &entry.models {
                self.listed.insert((entry.id.clone(), hosted.id.clone()));
            }
            let book = self.books.entry(entry.id.clone()).or_default();
            let is_new_life = book.started_ms != entry.started_ms;
            book.note_entry(entry, now);
            if is_new_life {
                book.order_count = None;
                self.moves.remove(&entry.id);
                self.status_asked.remove(&entry.id);
            }
        }
        let books = &self.books;
        self.moves.retain(|id, _| books.contains_key(id));
        self.waits
            .retain(|wait| now.since(wait.since) < ADAPTER_PATIENCE);
    }

    fn ask_status(
        &mut self,
        input: &PlannerInput<'_>,
        now: LocalTime,
        effects: &mut Vec<PlannerEffect>,
    ) {
        for (entry, is_usable) in &input.endpoints {
            let Some(book) = self.books.get(&entry.id) else {
                continue;
            };
            let is_early = now < self.quiet_until || now.since(book.accepted_at) <= STATUS_LAG;
            if !is_usable || is_early || book.flight.is_some() || !book.needs_status(entry) {
                continue;
            }
            let asked = self.status_asked.get(&entry.id);
            if asked.is_some_and(|at| now.since(*at) < STATUS_INTERVAL) {
                continue;
            }
            self.status_asked.insert(entry.id.clone(), now);
            effects.push(PlannerEffect::ReadStatus {
                endpoint: entry.id.clone(),
                address: entry.address,
            });
        }
    }

    fn carry_adapters(
        &mut self,
        input: &PlannerInput<'_>,
        now: LocalTime,
        effects: &mut Vec<PlannerEffect>,
    ) {
        let waits = std::mem::take(&mut self.waits);
        for wait in waits {
            let Some((entry, _)) = input
                .endpoints
                .iter()
                .find(|(entry, is_usable)| entry.id == wait.endpoint && *is_usable)
            else {
                continue;
            };
            if entry.hosted(&wait.model).is_none() {
                continue;
            }
            let order = match self.adapter_step(input.policy, &wait, now) {
                AdapterStep::Ready => {
                    let place = AdapterPlace {
                        endpoint: EndpointKey::of(wait.endpoint.as_str()),
                        adapter: adapter_key(&wait.model, &wait.adapter),
                    };
                    for vm in wait.vms {
                        let place = place.clone();
                        effects.push(PlannerEffect::AdapterReady { vm, place });
                    }
                    continue;
                }
                AdapterStep::Wait => {
                    self.waits.push(wait);
                    continue;
                }
                AdapterStep::Order(order) => order,
            };
            effects.extend(self.send(entry, order, input.fence, now));
            self.waits.push(wait);
        }
    }

    fn adapter_step(
        &mut self,
        policy: &EnginePolicy,
        wait: &AdapterWait,
        now: LocalTime,
    ) -> AdapterStep {
        let Some(book) = self.books.get_mut(&wait.endpoint) else {
            return AdapterStep::Wait;
        };
        let key = (wait.model.clone(), wait.adapter.clone());
        match book.adapters.get_mut(&key) {
            Some(held) if held.phase != AdapterPhase::Unloading => {
                held.used_at = now;
                if now < held.ready_at {
                    return AdapterStep::Wait;
                }
                held.phase = AdapterPhase::Loaded;
                return AdapterStep::Ready;
            }
            _ => {}
        }
        let is_busy = book.loading.is_some() || book.unloading.is_some();
        if !book.is_idle(now) || book.order_count.is_none() || is_busy {
            return AdapterStep::Wait;
        }
        if book.adapter_slots_taken() < policy.adapter_slots as usize {
            return AdapterStep::Order(EndpointOrder::LoadAdapter(key.0, key.1));
        }
        let victim = book
            .adapters
            .iter()
            .filter(|(_, held)| held.phase != AdapterPhase::Unloading && now >= held.ready_at)
            .filter(|(_, held)| now.since(held.used_at) > ADAPTER_REST)
            .min_by_key(|(_, held)| held.used_at)
            .map(|((model, adapter), _)| (model.clone(), adapter.clone()));
        match victim {
            Some((model, adapter)) => {
                AdapterStep::Order(EndpointOrder::UnloadAdapter(model, adapter))
            }
            None => AdapterStep::Wait,
        }
    }

    fn carry_moves(
        &mut self,
        input: &PlannerInput<'_>,
        now: LocalTime,
        effects: &mut Vec<PlannerEffect>,
    ) {
        let ids: Vec<EndpointId> = self.moves.keys().cloned().collect();
        for id in ids {
            let Some((entry, is_usable)) = input.endpoints.iter().find(|(entry, _)| entry.id == id)
            else {
                continue;
            };
            if !is_usable {
                self.moves.remove(&id);
                continue;
            }
            if let Some(order) = self.move_step(input.policy, entry, now) {
                effects.extend(self.send(entry, order, input.fence, now));
            }
        }
    }

    /// Returns the next order of a move; forgets a move that is complete.
    fn move_step(
        &mut self,
        policy: &EnginePolicy,
        entry: &EndpointEntry,
        now: LocalTime,
    ) -> Option<EndpointOrder> {
        let task = self.moves.get(&entry.id)?;
        if entry.hosted(&task.load).is_some() {
            self.moves.remove(&entry.id);
            return None;
        }
        let book = self.books.get(&entry.id)?;
        let is_under_way = book.loading.is_some() || book.unloading.is_some();
        if is_under_way || !book.is_idle(now) || book.order_count.is_none() {
            return None;
        }
        if now < task.unload_from {
            return None;
        }
        let leftover = task
            .unload
            .iter()
            .find(|model| entry.hosted(model).is_some());
        if let Some(model) = leftover {
            return Some(EndpointOrder::UnloadModel(model.clone()));
        }
        let needed = policy
            .model(&task.load)
            .map_or(0.0, |model| model.weights_mb);
        if free_mb(policy, entry, book) < needed {
            self.moves.remove(&entry.id);
            return None;
        }
        if task.from_store && !task.is_charged {
            if self.store_credit < 1.0 {
                return None;
            }
            self.store_credit -= 1.0;
        }
        let load = task.load.clone();
        if let Some(task) = self.moves.get_mut(&entry.id) {
            task.is_charged = true;
        }
        Some(EndpointOrder::LoadModel(load))
    }

    /// Notes since when each model has been without a copy.
    fn note_lost(&mut self, input: &PlannerInput<'_>, now: LocalTime) {
        for profile in &input.policy.models {
            let is_held = input
                .endpoints
                .iter()
                .any(|(entry, is_usable)| *is_usable && entry.hosted(&profile.id).is_some());
            if is_held {
                self.lost_since.remove(&profile.id);
            } else {
                self.lost_since.entry(profile.id.clone()).or_insert(now);
            }
        }
    }

    fn search_moves(
        &mut self,
        input: &PlannerInput<'_>,
        now: LocalTime,
        effects: &mut Vec<PlannerEffect>,
    ) {
        for _ in 0..MOVES_A_SEARCH {
            let view = self.view(input, now);
            let Some(chosen) = choose_move(&view) else {
                return;
            };
            let endpoint = view.engines[chosen.engine].id.clone();
            let model = &view.models[chosen.load];
            let unload: Vec<ModelId> = chosen
                .unload
                .iter()
                .map(|&index| view.models[index].id.clone())
                .collect();
            let unload_from = if unload.is_empty() {
                now
            } else {
                now + CLOSING_NOTICE
            };
            effects.push(PlannerEffect::MoveStarted {
                endpoint: endpoint.clone(),
                unload: unload.clone(),
                load: model.id.clone(),
                crowding_milli: (model.work * 1e3) as u64,
                from_store: chosen.from_store,
            });
            let task = MoveTask {
                unload,
                load: model.id.clone(),
                from_store: chosen.from_store,
                is_charged: false,
                load_time: load_time(&view.engines[chosen.engine], chosen.load, model.load_times),
                unload_from,
            };
            self.moves.insert(endpoint, task);
        }
    }

    fn view(&self, input: &PlannerInput<'_>, now: LocalTime) -> PlacementView {
        let index_of = |id: &ModelId| input.policy.models.iter().position(|one| one.id == *id);
        let is_patient = |id: &ModelId, is_wanted: bool| {
            let patience = if is_wanted {
                WANTED_PATIENCE
            } else {
                LOST_PATIENCE
            };
            let since = self.lost_since.get(id);
            since.is_none_or(|at| now.since(*at) < patience)
        };
        let models = input.policy.models.iter().map(|profile| {
            let demand = input.demand.get(&EndpointKey::of(profile.id.as_str()));
            ModelView {
                id: profile.id.clone(),
                weights_mb: profile.weights_mb,
                work: demand.copied().map_or(0.0, work_of),
                is_wanted: demand.is_some(),
                is_awaited: is_patient(&profile.id, demand.is_some()),
                load_times: [profile.store_load, profile.disk_load, profile.memory_load],
            }
        });
        let models: Vec<ModelView> = models.collect();
        let engines = input.endpoints.iter().filter_map(|(entry, is_usable)| {
            let book = self.books.get(&entry.id)?;
            Some(self.engine_view(input.policy, entry, *is_usable, book, &index_of, now))
        });
        let store_loads = self.moves.values().filter(|task| task.from_store).count();
        let at_once = (input.policy.loads_per_s * STORE_LOAD_SECONDS).max(1.0);
        let is_unlimited = input.policy.loads_per_s <= 0.0;
        PlacementView {
            engines: engines.collect(),
            models,
            may_load_from_store: is_unlimited || (store_loads as f64) < at_once,
        }
    }

    fn engine_view(
        &self,
        policy: &EnginePolicy,
        entry: &EndpointEntry,
        is_usable: bool,
        book: &OrderBook,
        index_of: &dyn Fn(&ModelId) -> Option<usize>,
        now: LocalTime,
    ) -> EngineView {
        let task = self.moves.get(&entry.id);
        let is_closing = |id: &ModelId| task.is_some_and(|task| task.unload.contains(id));
        let age = |id: &ModelId| {
            book.seen_since
                .get(id)
                .map_or(TimeSpan::ZERO, |at| now.since(*at))
        };
        let models: Vec<(usize, TimeSpan)> = entry
            .models
            .iter()
            .filter(|hosted| !is_closing(&hosted.id))
            .filter_map(|hosted| Some((index_of(&hosted.id)?, age(&hosted.id))))
            .collect();
        let held = book.possible(entry);
        let staying = held.iter().filter(|id| !is_closing(id));
        let mut possible: Vec<usize> = staying.filter_map(index_of).collect();
        possible.extend(task.and_then(|task| index_of(&task.load)));
        possible.sort_unstable();
        possible.dedup();
        EngineView {
            id: entry.id.clone(),
            is_usable,
            is_moving: task.is_some()
                || book.loading.is_some()
                || book.unloading.is_some()
                || book.needs_status(entry),
            free_mb: free_mb(policy, entry, book),
            models,
            possible,
            in_memory: entry.in_memory.iter().filter_map(index_of).collect(),
            on_disk: entry.on_disk.iter().filter_map(index_of).collect(),
        }
    }

    fn send(
        &mut self,
        entry: &EndpointEntry,
        order: EndpointOrder,
        fence: u64,
        now: LocalTime,
    ) -> Option<PlannerEffect> {
        let book = self.books.get_mut(&entry.id)?;
        if !book.is_idle(now) {
            return None;
        }
        let after = book.order_count?;
        book.flight = Some((order.clone(), now));
        Some(PlannerEffect::Send(SentOrder {
            endpoint: entry.id.clone(),
            address: entry.address,
            order,
            after,
            fence,
        }))
    }
}

enum AdapterStep {
    Ready,
    Wait,
    Order(EndpointOrder),
}

/// Returns the memory that stays free whatever became of earlier orders.
fn free_mb(policy: &EnginePolicy, entry: &EndpointEntry, book: &OrderBook) -> f64 {
    let size = |id: &ModelId| policy.model(id).map_or(0.0, |model| model.weights_mb);
    let held: f64 = book.possible(entry).iter().map(size).sum();
    let largest_adapter = policy
        .models
        .iter()
        .map(|model| model.adapter_mb)
        .fold(0.0, f64::max);
    let adapters = f64::from(policy.adapter_slots) * largest_adapter;
    policy.weights_mb - adapters - held
}

/// Returns the short name of an adapter of a model.
#[must_use]
pub fn adapter_key(model: &ModelId, adapter: &AdapterId) -> EndpointKey {
    EndpointKey::of(&format!("{model}/{adapter}"))
}
