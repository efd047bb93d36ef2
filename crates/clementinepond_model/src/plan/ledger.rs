//! The holder's ledger of orders that may still take effect.

use super::mutation::PlanMutation;
use super::state::{
    HeldLease, LedgerEntry, MEMORY_CAPACITY, ModelName, OrderAction, OrderNumber, ReportView,
};
use std::collections::BTreeSet;

impl HeldLease {
    /// Makes an order the barrier of every entry whose window has ended and that has no
    /// barrier yet.
    pub(super) fn record_barrier(&mut self, number: OrderNumber) {
        for entry in self.ledger.values_mut() {
            if entry.window == 0 && entry.barrier.is_none() {
                entry.barrier = Some(number);
            }
        }
    }

    /// Applies a report and removes the entries whose outcome it shows.
    pub(super) fn apply_report(&mut self, report: ReportView, mutation: PlanMutation) {
        let resolves = |barrier: &OrderNumber| *barrier <= report.last_order;
        self.ledger.retain(|_, entry| {
            let done = is_done(entry, &report);
            let window_ended = entry.window == 0;
            let trusted = mutation == PlanMutation::ReleaseWithoutBarrier;
            let resolved = done || trusted || entry.barrier.as_ref().is_some_and(resolves);
            let forgotten = done && mutation == PlanMutation::ForgetCopies;
            !(window_ended && resolved || forgotten)
        });
        if self.takeover_barrier.as_ref().is_some_and(resolves) {
            self.confirmed = true;
        }
        self.view = Some(report);
    }

    /// Returns whether a report may change the state of the holder.
    pub(super) fn is_changed_by(&self, report: &ReportView) -> bool {
        self.view.as_ref() != Some(report) || !self.confirmed || !self.ledger.is_empty()
    }

    /// Returns whether the takeover or an order lacks a barrier to show its outcome.
    pub(super) fn needs_barrier(&self) -> bool {
        let unresolved = |entry: &LedgerEntry| entry.window == 0 && entry.barrier.is_none();
        !self.confirmed && self.takeover_barrier.is_none() || self.ledger.values().any(unresolved)
    }

    /// Returns the orders that the last report and the ledger allow.
    pub(super) fn allowed_orders(&self, unloads: bool) -> Vec<OrderAction> {
        let Some(view) = self.view.as_ref().filter(|_| self.confirmed) else {
            return Vec::new();
        };
        let mut possible: BTreeSet<ModelName> = view.loaded.clone();
        possible.extend(self.ledger.values().filter_map(loaded));
        let mut allowed = Vec::new();
        for model in [ModelName::M, ModelName::N] {
            if possible.len() < MEMORY_CAPACITY && !possible.contains(&model) {
                allowed.push(OrderAction::Load(model));
            }
            let unload = OrderAction::Unload(model);
            let ordered = self.ledger.values().any(|entry| entry.action == unload);
            if unloads && view.loaded.contains(&model) && !ordered {
                allowed.push(unload);
            }
        }
        allowed
    }
}

fn loaded(entry: &LedgerEntry) -> Option<ModelName> {
    match entry.action {
        OrderAction::Load(model) => Some(model),
        OrderAction::Unload(_) | OrderAction::Barrier => None,
    }
}

fn is_done(entry: &LedgerEntry, report: &ReportView) -> bool {
    match entry.action {
        OrderAction::Load(model) => report.loaded.contains(&model),
        OrderAction::Unload(model) => !report.loaded.contains(&model),
        OrderAction::Barrier => true,
    }
}
