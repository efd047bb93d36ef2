//! Ledger of the orders that may still take effect on one endpoint.
//!
//! An order may take effect from the time at which its intent is written until the
//! end of its window, which is the deadline plus the arrival margin. Within the
//! window, even an order that is known to have taken effect may do so again, since
//! a copy of it may reach the endpoint after a restart.

use super::{EndpointAction, EndpointReport, HoldingKey, OrderNumber};
use clementinepond_types::{AdapterId, LocalTime, MemorySize};
use std::collections::BTreeMap;

/// Order that may still take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PossibleOrder {
    /// Load, unload or role change to carry out.
    pub action: EndpointAction,
    /// Reason, for operators.
    pub reason: Box<str>,
    /// Time after which no copy of the order can take effect.
    pub window_end: LocalTime,
    /// First order issued after the window; none before it is issued. A report that
    /// names it, or a later one, shows the outcome of this order.
    pub barrier: Option<OrderNumber>,
}

/// Orders that may still take effect on one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointLedger {
    orders: BTreeMap<OrderNumber, PossibleOrder>,
}

impl EndpointLedger {
    /// Adds an order before it is sent.
    pub fn reserve(&mut self, number: OrderNumber, order: PossibleOrder) {
        self.orders.insert(number, order);
    }

    /// Sets the end of an order's window when the order is sent.
    ///
    /// The order also becomes the barrier of earlier ones.
    pub fn issue(&mut self, number: OrderNumber, window_end: LocalTime, now: LocalTime) {
        self.record_barrier(number, now);
        if let Some(order) = self.orders.get_mut(&number) {
            order.window_end = window_end;
        }
    }

    /// Makes an order the barrier of every order whose window has ended and that has
    /// no barrier yet.
    pub fn record_barrier(&mut self, number: OrderNumber, now: LocalTime) {
        for order in self.orders.values_mut() {
            if order.window_end < now && order.barrier.is_none() {
                order.barrier = Some(number);
            }
        }
    }

    /// Removes the orders whose window has ended and whose outcome the report shows.
    pub fn release_resolved(&mut self, report: &EndpointReport, now: LocalTime) {
        self.orders
            .retain(|_, order| order.window_end >= now || !is_resolved(order, report));
    }

    /// Removes one order, whatever its outcome.
    pub fn forget(&mut self, number: OrderNumber) {
        self.orders.remove(&number);
    }

    /// Removes the orders whose window has ended, without a report.
    pub fn forget_expired(&mut self, now: LocalTime) {
        self.orders.retain(|_, order| order.window_end >= now);
    }

    /// Removes the orders that the report shows as completed.
    pub fn forget_completed(&mut self, report: &EndpointReport) {
        self.orders.retain(|_, order| !is_done(order, report));
    }

    /// Returns whether the outcome of an order whose window has ended is unknown.
    #[must_use]
    pub fn has_unresolved(&self, now: LocalTime) -> bool {
        self.orders.values().any(|order| order.window_end < now)
    }

    /// Returns the upper bound of the memory in use: the reported memory plus every
    /// load that may still take effect and is not in the report.
    #[must_use]
    pub fn possible(
        &self,
        report: &EndpointReport,
        adapters: &BTreeMap<AdapterId, MemorySize>,
    ) -> MemorySize {
        let mut reserved: BTreeMap<HoldingKey, MemorySize> = BTreeMap::new();
        for (key, memory) in self
            .orders
            .values()
            .filter_map(|order| order.action.loaded())
        {
            if !report.lists(&key) {
                let entry = reserved.entry(key).or_default();
                *entry = (*entry).max(memory);
            }
        }
        reported_memory(report, adapters) + reserved.into_values().sum()
    }

    /// Returns whether a load of the model version or adapter may still take effect.
    #[must_use]
    pub fn may_load(&self, key: &HoldingKey) -> bool {
        self.orders
            .values()
            .filter_map(|order| order.action.loaded())
            .any(|(loaded, _)| loaded == *key)
    }

    /// Returns whether an unload of the model version or adapter may still take
    /// effect.
    #[must_use]
    pub fn may_unload(&self, key: &HoldingKey) -> bool {
        self.orders
            .values()
            .filter_map(|order| order.action.unloaded())
            .any(|unloaded| unloaded == *key)
    }

    /// Returns the orders in ascending order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (OrderNumber, &PossibleOrder)> {
        self.orders.iter().map(|(number, order)| (*number, order))
    }

    /// Returns whether no order can take effect any more.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }
}

/// Returns the larger of the memory that the report gives as used and the sum over
/// the models and adapters that it lists.
fn reported_memory(
    report: &EndpointReport,
    adapters: &BTreeMap<AdapterId, MemorySize>,
) -> MemorySize {
    let models: MemorySize = report.models.iter().map(|entry| entry.memory_mib).sum();
    let adapters: MemorySize = report
        .adapters
        .iter()
        .filter_map(|entry| adapters.get(&entry.adapter).copied())
        .sum();
    report.used_mib.max(models + adapters)
}

fn is_resolved(order: &PossibleOrder, report: &EndpointReport) -> bool {
    let passed = order
        .barrier
        .is_some_and(|barrier| report.last_order >= barrier);
    passed || is_done(order, report)
}

fn is_done(order: &PossibleOrder, report: &EndpointReport) -> bool {
    if let Some((key, _)) = order.action.loaded() {
        return report.lists(&key);
    }
    match order.action.unloaded() {
        Some(key) => !report.lists(&key),
        None => true,
    }
}
