//! Possible memory of one endpoint.
//!
//! An order may take effect from the moment of its intent until the end of
//! its window, the deadline and the arrival margin. Within the window even an
//! order that was seen to act may act again, since a copy of it may reach the
//! endpoint after a restart.

use super::{EndpointAction, EndpointReport, HoldingKey, OrderNumber};
use clementinepond_types::{AdapterId, LocalTime, MemorySize};
use std::collections::BTreeMap;

/// Order that may still take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PossibleOrder {
    /// What the order asks for.
    pub action: EndpointAction,
    /// Why the order is given.
    pub reason: Box<str>,
    /// Moment after which no copy of the order can take effect.
    pub window_end: LocalTime,
    /// First order issued after the window; a report that names it, or a
    /// later one, shows what became of this order.
    pub barrier: Option<OrderNumber>,
}

/// Orders that may still take effect on one endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointLedger {
    orders: BTreeMap<OrderNumber, PossibleOrder>,
}

impl EndpointLedger {
    /// Reserves for an order before it is sent.
    pub fn reserve(&mut self, number: OrderNumber, order: PossibleOrder) {
        self.orders.insert(number, order);
    }

    /// Notes that an order leaves for the endpoint.
    pub fn issue(&mut self, number: OrderNumber, window_end: LocalTime, now: LocalTime) {
        self.record_barrier(number, now);
        if let Some(order) = self.orders.get_mut(&number) {
            order.window_end = window_end;
        }
    }

    /// Makes an order the barrier of every order whose window is over.
    pub fn record_barrier(&mut self, number: OrderNumber, now: LocalTime) {
        for order in self.orders.values_mut() {
            if order.window_end < now && order.barrier.is_none() {
                order.barrier = Some(number);
            }
        }
    }

    /// Ends the reservations that a report settles.
    pub fn release_resolved(&mut self, report: &EndpointReport, now: LocalTime) {
        self.orders
            .retain(|_, order| order.window_end >= now || !is_resolved(order, report));
    }

    /// Drops one order, whatever became of it.
    pub fn forget(&mut self, number: OrderNumber) {
        self.orders.remove(&number);
    }

    /// Drops the orders whose window is over, without a report.
    pub fn forget_expired(&mut self, now: LocalTime) {
        self.orders.retain(|_, order| order.window_end >= now);
    }

    /// Drops the orders that a report shows as done.
    pub fn forget_completed(&mut self, report: &EndpointReport) {
        self.orders.retain(|_, order| !is_done(order, report));
    }

    /// Returns whether an order whose window is over still lacks its proof.
    #[must_use]
    pub fn has_unresolved(&self, now: LocalTime) -> bool {
        self.orders.values().any(|order| order.window_end < now)
    }

    /// Returns the memory that may be in use.
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

    /// Returns whether a load of something may still take effect.
    #[must_use]
    pub fn may_load(&self, key: &HoldingKey) -> bool {
        self.orders
            .values()
            .filter_map(|order| order.action.loaded())
            .any(|(loaded, _)| loaded == *key)
    }

    /// Returns whether an unload of something may still take effect.
    #[must_use]
    pub fn may_unload(&self, key: &HoldingKey) -> bool {
        self.orders
            .values()
            .filter_map(|order| order.action.unloaded())
            .any(|unloaded| unloaded == *key)
    }

    /// Iterates over the orders.
    pub fn iter(&self) -> impl Iterator<Item = (OrderNumber, &PossibleOrder)> {
        self.orders.iter().map(|(number, order)| (*number, order))
    }

    /// Returns whether nothing can take effect any more.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }
}

/// Returns the memory that a report accounts for.
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
