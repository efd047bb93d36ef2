//! Tracker of the orders to one endpoint; determines what the endpoint may hold while
//! the outcome of orders is unknown.

use super::order::{EndpointOrder, OrderReply};
use crate::fleet::EndpointEntry;
use clementinepond_types::{AdapterId, LocalTime, ModelId, TimeSpan};
use fnv::FnvHashMap;
use std::collections::BTreeSet;

/// Time within which an endpoint may still perform an order that it did not reply to.
const LATE_ORDER_TIMEOUT: TimeSpan = TimeSpan::from_secs(14);
/// Time after which an accepted model load or unload is considered lost if neither the
/// endpoint's entry nor its status shows its effect.
const MODEL_ORDER_TIMEOUT: TimeSpan = TimeSpan::from_secs(20);

/// Delay before the next order to an endpoint that is still unloading an adapter in
/// use.
const ADAPTER_UNLOAD_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(300);

/// State of an adapter at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdapterPhase {
    /// A load order was accepted.
    Loading,
    /// The adapter is loaded.
    Loaded,
    /// An unload order is in progress.
    Unloading,
}

/// Adapter at one endpoint.
#[derive(Debug, Clone, Copy)]
pub struct HeldAdapter {
    /// State of the adapter.
    pub phase: AdapterPhase,
    /// Time of the last request for the adapter.
    pub used_at: LocalTime,
    /// Time at which the adapter is expected to be loaded; after an accepted unload,
    /// the time of its acceptance.
    pub ready_at: LocalTime,
}

/// Orders to one endpoint during one incarnation.
#[derive(Debug, Default)]
pub struct OrderTracker {
    /// Start of the incarnation, as a Unix time in milliseconds.
    pub started_ms: u64,
    /// Number of orders that the endpoint has accepted; `None` until its status is
    /// read.
    pub order_count: Option<u64>,
    /// Lower bound of the number of accepted orders.
    count_floor: u64,
    /// Models in the endpoint's last status, without the one being unloaded if its
    /// entry lists that one.
    reported: BTreeSet<ModelId>,
    /// Order awaiting a reply, with the time of sending.
    pub in_flight: Option<(EndpointOrder, LocalTime)>,
    /// Orders of unknown outcome, with the time until which they may be performed.
    unresolved: Vec<(EndpointOrder, LocalTime)>,
    /// Model whose load order was accepted but which is not listed yet, with the time
    /// of acceptance.
    pub loading: Option<(ModelId, LocalTime)>,
    /// Model whose unload order was accepted but which is still listed, with the time
    /// of acceptance.
    pub unloading: Option<(ModelId, LocalTime)>,
    /// Adapters that the endpoint holds, loads or unloads.
    pub adapters: FnvHashMap<(ModelId, AdapterId), HeldAdapter>,
    /// Time before which no order is sent.
    pub pause_until: LocalTime,
    /// Time at which each model was first listed. Models that were listed when tracking
    /// began have no time.
    pub arrived_at: FnvHashMap<ModelId, LocalTime>,
    /// Models in the endpoint's previous entry.
    listed: BTreeSet<ModelId>,
    /// Time of the last reply that an order was accepted or already applied.
    pub accepted_at: LocalTime,
}

impl OrderTracker {
    /// Updates the state from an endpoint's entry; a new incarnation resets it, except
    /// for the orders of unknown outcome.
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
        let is_held = |model: &ModelId| entry.hosted(model).is_some() || reported.contains(model);
        if self
            .loading
            .as_ref()
            .is_some_and(|(model, at)| is_held(model) || now.since(*at) > MODEL_ORDER_TIMEOUT)
        {
            self.loading = None;
        }
        if self
            .unloading
            .as_ref()
            .is_some_and(|(model, at)| !is_held(model) || now.since(*at) > MODEL_ORDER_TIMEOUT)
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

    /// Records the models and the order count that an endpoint reports.
    pub fn record_status(&mut self, models: BTreeSet<ModelId>, order_count: u64) {
        self.reported = models;
        self.count_floor = self.count_floor.max(order_count);
        self.order_count = Some(self.count_floor);
    }

    /// Drops a model being unloaded from those of the last status.
    ///
    /// Used when the entry still lists the model and will therefore show its removal.
    pub fn clear_reported(&mut self, model: &ModelId) {
        self.reported.remove(model);
    }

    /// Returns every model that the endpoint holds or may come to hold.
    #[must_use]
    pub fn possible_models(&self, entry: &EndpointEntry) -> BTreeSet<ModelId> {
        let listed = entry.models.iter().map(|hosted| hosted.id.clone());
        listed
            .chain(self.reported.iter().cloned())
            .chain(self.arriving().cloned())
            .collect()
    }

    /// Returns whether a new status is needed: the order count is unknown, or only a
    /// status can show the removal of the model being unloaded.
    #[must_use]
    pub fn needs_status(&self, entry: &EndpointEntry) -> bool {
        let is_only_reported = |(model, _): &(ModelId, LocalTime)| {
            entry.hosted(model).is_none() && self.reported.contains(model)
        };
        self.order_count.is_none() || self.unloading.as_ref().is_some_and(is_only_reported)
    }

    /// Updates the state from the reply to an order.
    pub fn record_reply(&mut self, order: &EndpointOrder, reply: OrderReply, now: LocalTime) {
        self.in_flight = None;
        match reply {
            OrderReply::Accepted => {
                self.count_accepted_order();
                self.accepted_at = now;
                // The order count has advanced, so the endpoint rejects delayed
                // duplicates.
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

    /// Returns whether an adapter is being unloaded, which ends only when it is no
    /// longer in use.
    fn is_unloading_adapter(&self) -> bool {
        let is_unloading = |held: &HeldAdapter| held.phase == AdapterPhase::Unloading;
        self.adapters.values().any(is_unloading)
    }

    fn count_accepted_order(&mut self) {
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
                // An endpoint accepts no order while it unloads an adapter, so this
                // order's acceptance shows that earlier unloads are complete.
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
                // An idle adapter is unloaded at once, which counts as an accepted
                // order.
                self.adapters.remove(&(model.clone(), adapter.clone()));
                self.count_accepted_order();
                self.unresolved.clear();
            }
            EndpointOrder::LoadModel(_) | EndpointOrder::UnloadModel(_) => {
                self.order_count = None;
            }
        }
    }

    /// Returns the orders that have no reply and may still be performed.
    pub fn unresolved(&self) -> impl Iterator<Item = &EndpointOrder> {
        self.unresolved
            .iter()
            .map(|(order, _)| order)
            .chain(self.in_flight.iter().map(|(order, _)| order))
    }

    /// Returns the models that the endpoint may come to hold without listing them yet.
    pub fn arriving(&self) -> impl Iterator<Item = &ModelId> {
        let unresolved = self.unresolved().filter_map(|order| match order {
            EndpointOrder::LoadModel(model) => Some(model),
            _ => None,
        });
        unresolved.chain(self.loading.iter().map(|(model, _)| model))
    }

    /// Returns the number of adapter slots that may be taken when the next order is
    /// performed. Adapters being unloaded do not count, since the endpoint accepts no
    /// order before they are unloaded.
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

    /// Returns whether an order may be sent now.
    #[must_use]
    pub fn is_idle(&self, now: LocalTime) -> bool {
        self.in_flight.is_none() && now >= self.pause_until
    }
}
