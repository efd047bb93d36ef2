//! Upper bound of what one endpoint holds, given orders of unknown outcome.

use super::order::{EndpointOrder, OrderReply};
use crate::fleet::EndpointEntry;
use clementinepond_types::{AdapterId, LocalTime, ModelId, TimeSpan};
use fnv::FnvHashMap;
use std::collections::BTreeSet;

/// Time within which an endpoint may still carry out an order that it left
/// unanswered.
const LATE_ORDER_TIMEOUT: TimeSpan = TimeSpan::from_secs(14);
/// Time after which an accepted model load that never showed is written off.
const MODEL_ORDER_TIMEOUT: TimeSpan = TimeSpan::from_secs(20);

/// Pause between two orders to an endpoint that is dropping an adapter in use.
const ADAPTER_UNLOAD_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(300);

/// Where one adapter stands at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdapterPhase {
    /// An order to load it was accepted a moment ago.
    Loading,
    /// It is there.
    Loaded,
    /// An order to drop it is carried out.
    Unloading,
}

/// One adapter at one endpoint.
#[derive(Debug, Clone, Copy)]
pub struct HeldAdapter {
    /// Where it stands.
    pub phase: AdapterPhase,
    /// Moment of the last request for it.
    pub used_at: LocalTime,
    /// Moment at which it is loaded.
    pub ready_at: LocalTime,
}

/// Orders to one endpoint in one life.
#[derive(Debug, Default)]
pub struct OrderTracker {
    /// Start of the life, in Unix milliseconds.
    pub started_ms: u64,
    /// Orders that the endpoint has accepted; unknown until its status is read.
    pub order_count: Option<u64>,
    /// Orders that the endpoint has accepted at least.
    count_floor: u64,
    /// Models that the endpoint's last status named and that may still be there.
    reported: BTreeSet<ModelId>,
    /// Order on its way, with the moment of sending.
    pub in_flight: Option<(EndpointOrder, LocalTime)>,
    /// Orders without an answer, and until when they may be carried out.
    unresolved: Vec<(EndpointOrder, LocalTime)>,
    /// Model being loaded: accepted, not yet listed.
    pub loading: Option<(ModelId, LocalTime)>,
    /// Model being unloaded: accepted, still listed.
    pub unloading: Option<(ModelId, LocalTime)>,
    /// Adapters.
    pub adapters: FnvHashMap<(ModelId, AdapterId), HeldAdapter>,
    /// Moment before which nothing is ordered.
    pub pause_until: LocalTime,
    /// Moment at which each model arrived; those that were there from the
    /// start of the book are missing.
    pub arrived_at: FnvHashMap<ModelId, LocalTime>,
    /// Models that the last entry listed.
    listed: BTreeSet<ModelId>,
    /// Moment of the last accepted order.
    pub accepted_at: LocalTime,
}

impl OrderTracker {
    /// Takes over the endpoint's description; a new life starts a new book.
    pub fn record_entry(&mut self, entry: &EndpointEntry, now: LocalTime) {
        let is_new = entry.started_ms != self.started_ms;
        if is_new {
            let unresolved = std::mem::take(&mut self.unresolved);
            *self = Self {
                started_ms: entry.started_ms,
                unresolved,
                ..Self::default()
            };
        }
        self.unresolved.retain(|(_, until)| now < *until);
        let reported = self.reported.clone();
        let is_done = |model: &ModelId| entry.hosted(model).is_some() || reported.contains(model);
        if self
            .loading
            .as_ref()
            .is_some_and(|(model, at)| is_done(model) || now.since(*at) > MODEL_ORDER_TIMEOUT)
        {
            self.loading = None;
        }
        if self
            .unloading
            .as_ref()
            .is_some_and(|(model, at)| !is_done(model) || now.since(*at) > MODEL_ORDER_TIMEOUT)
        {
            self.unloading = None;
        }
        self.arrived_at
            .retain(|model, _| entry.hosted(model).is_some());
        for hosted in &entry.models {
            if !self.listed.contains(&hosted.id) && !is_new {
                self.arrived_at.insert(hosted.id.clone(), now);
            }
        }
        self.listed = entry
            .models
            .iter()
            .map(|hosted| hosted.id.clone())
            .collect();
        self.adapters
            .retain(|(model, _), _| entry.hosted(model).is_some() || reported.contains(model));
    }

    /// Notes an endpoint's own account of its models and orders.
    pub fn record_status(&mut self, models: BTreeSet<ModelId>, order_count: u64) {
        self.reported = models;
        self.count_floor = self.count_floor.max(order_count);
        self.order_count = Some(self.count_floor);
    }

    /// Notes that the entry, which still lists a model being unloaded, will
    /// show when it is gone.
    pub fn clear_reported(&mut self, model: &ModelId) {
        self.reported.remove(model);
    }

    /// Returns every model that the endpoint may hold or come to hold.
    #[must_use]
    pub fn possible_models(&self, entry: &EndpointEntry) -> BTreeSet<ModelId> {
        let listed = entry.models.iter().map(|hosted| hosted.id.clone());
        listed
            .chain(self.reported.iter().cloned())
            .chain(self.arriving().cloned())
            .collect()
    }

    /// Tells whether only a fresh status can show what the endpoint holds.
    #[must_use]
    pub fn needs_status(&self, entry: &EndpointEntry) -> bool {
        let is_unlisted = |(model, _): &(ModelId, LocalTime)| {
            entry.hosted(model).is_none() && self.reported.contains(model)
        };
        self.order_count.is_none() || self.unloading.as_ref().is_some_and(is_unlisted)
    }

    /// Notes an order's answer.
    pub fn record_reply(&mut self, order: &EndpointOrder, reply: OrderReply, now: LocalTime) {
        self.in_flight = None;
        match reply {
            OrderReply::Accepted => {
                self.advance();
                self.accepted_at = now;
                // The count moved on, so earlier copies fail their condition.
                self.unresolved.clear();
                self.record_accepted(order, now);
            }
            OrderReply::Holds => {
                self.accepted_at = now;
                self.record_already_applied(order, now);
            }
            OrderReply::Conflict if self.is_unloading_adapter() => {
                self.pause_until = now + ADAPTER_UNLOAD_RETRY_DELAY;
            }
            OrderReply::Conflict => self.order_count = None,
            OrderReply::Unknown => {
                self.unresolved
                    .push((order.clone(), now + LATE_ORDER_TIMEOUT));
            }
            OrderReply::Refused | OrderReply::Stranger | OrderReply::NotSent => {
                self.pause_until = now + TimeSpan::from_millis(500);
            }
        }
    }

    /// Tells whether an adapter that was in use is being dropped.
    fn is_unloading_adapter(&self) -> bool {
        let is_unloading = |held: &HeldAdapter| held.phase == AdapterPhase::Unloading;
        self.adapters.values().any(is_unloading)
    }

    fn advance(&mut self) {
        self.order_count = self.order_count.map(|count| count + 1);
        self.count_floor = self.order_count.unwrap_or(self.count_floor);
    }

    fn record_accepted(&mut self, order: &EndpointOrder, now: LocalTime) {
        match order {
            EndpointOrder::LoadModel(model) => self.loading = Some((model.clone(), now)),
            EndpointOrder::UnloadModel(model) => {
                self.unloading = Some((model.clone(), now));
                self.adapters.retain(|(of, _), _| of != model);
            }
            EndpointOrder::LoadAdapter(model, adapter) => {
                let held = HeldAdapter {
                    phase: AdapterPhase::Loading,
                    used_at: now,
                    ready_at: now,
                };
                // The endpoint takes no order before it has dropped an adapter.
                self.adapters
                    .retain(|_, held| held.phase != AdapterPhase::Unloading);
                self.adapters.insert((model.clone(), adapter.clone()), held);
            }
            EndpointOrder::UnloadAdapter(model, adapter) => {
                if let Some(held) = self.adapters.get_mut(&(model.clone(), adapter.clone())) {
                    held.phase = AdapterPhase::Unloading;
                    held.ready_at = now;
                }
            }
        }
    }

    fn record_already_applied(&mut self, order: &EndpointOrder, now: LocalTime) {
        match order {
            EndpointOrder::LoadAdapter(model, adapter) => {
                let held = HeldAdapter {
                    phase: AdapterPhase::Loaded,
                    used_at: now,
                    ready_at: now,
                };
                self.adapters.insert((model.clone(), adapter.clone()), held);
                self.order_count = None;
            }
            EndpointOrder::UnloadAdapter(model, adapter) => {
                // An idle adapter is dropped at once, which counts as an order.
                self.adapters.remove(&(model.clone(), adapter.clone()));
                self.advance();
                self.unresolved.clear();
            }
            EndpointOrder::LoadModel(_) | EndpointOrder::UnloadModel(_) => {
                self.order_count = None;
            }
        }
    }

    /// Returns the orders that may still be carried out.
    pub fn unresolved(&self) -> impl Iterator<Item = &EndpointOrder> {
        self.unresolved
            .iter()
            .map(|(order, _)| order)
            .chain(self.in_flight.iter().map(|(order, _)| order))
    }

    /// Returns models that the endpoint may come to hold without being listed.
    pub fn arriving(&self) -> impl Iterator<Item = &ModelId> {
        let unresolved = self.unresolved().filter_map(|order| match order {
            EndpointOrder::LoadModel(model) => Some(model),
            _ => None,
        });
        unresolved.chain(self.loading.iter().map(|(model, _)| model))
    }

    /// Returns the adapters that may take up slots.
    #[must_use]
    pub fn adapter_slots_taken(&self) -> usize {
        let arriving = self
            .unresolved()
            .filter(|order| {
                matches!(order, EndpointOrder::LoadAdapter(model, adapter)
                if !self.adapters.contains_key(&(model.clone(), adapter.clone())))
            })
            .count();
        let is_staying = |held: &&HeldAdapter| held.phase != AdapterPhase::Unloading;
        self.adapters.values().filter(is_staying).count() + arriving
    }

    /// Tells whether an order may be sent now.
    #[must_use]
    pub fn is_idle(&self, now: LocalTime) -> bool {
        self.in_flight.is_none() && now >= self.pause_until
    }
}
