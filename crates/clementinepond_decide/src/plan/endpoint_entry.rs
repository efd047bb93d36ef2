//! Known state of one endpoint.

use super::{EndpointLedger, EndpointReport, EndpointSpec, HoldingKey, Incarnation, OrderNumber};
use clementinepond_types::LocalTime;
use std::collections::{BTreeMap, BTreeSet};

/// Known state of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointEntry {
    /// Configured properties; none once the endpoint has gone.
    pub spec: Option<EndpointSpec>,
    /// Newest report.
    pub report: Option<EndpointReport>,
    /// Arrival time of the newest report.
    pub reported_at: LocalTime,
    /// Orders that may still take effect.
    pub ledger: EndpointLedger,
    /// Copies withdrawn from routing, with the time from which they may be unloaded.
    pub draining: BTreeMap<HoldingKey, LocalTime>,
    /// Largest order number used for the endpoint.
    pub last_number: OrderNumber,
    /// Order that a report must name, or a later one, to confirm the endpoint's
    /// state; none if it is confirmed or no barrier was sent yet.
    pub barrier: Option<OrderNumber>,
    /// Time from which another barrier may be sent, since the last one can no longer
    /// take effect.
    pub barrier_window_end: LocalTime,
    /// Whether a report has confirmed the endpoint's state to this holder.
    pub confirmed: bool,
    retired_incarnations: BTreeSet<Incarnation>,
    largest_order: OrderNumber,
}

impl EndpointEntry {
    /// Creates the entry of a listed endpoint without a report.
    #[must_use]
    pub fn new(spec: EndpointSpec) -> Self {
        Self {
            spec: Some(spec),
            report: None,
            reported_at: LocalTime::ORIGIN,
            ledger: EndpointLedger::default(),
            draining: BTreeMap::new(),
            last_number: OrderNumber::default(),
            barrier: None,
            barrier_window_end: LocalTime::ORIGIN,
            confirmed: false,
            retired_incarnations: BTreeSet::new(),
            largest_order: OrderNumber::default(),
        }
    }

    /// Creates the entry of an endpoint known only from stored orders.
    #[must_use]
    pub fn unlisted() -> Self {
        Self {
            spec: None,
            ..Self::new(EndpointSpec::default())
        }
    }

    /// Installs a report unless it is old; returns whether it was installed.
    pub fn accept(&mut self, report: EndpointReport, now: LocalTime) -> bool {
        let Some(current) = &self.report else {
            self.install(report, now);
            return true;
        };
        if report.incarnation == current.incarnation {
            if report.report_number <= current.report_number {
                return false;
            }
            self.install(report, now);
            return true;
        }
        // A report of a retired incarnation is accepted only if it names a newer order
        // than all reports before, which an old report cannot do.
        let is_retired = self.retired_incarnations.contains(&report.incarnation);
        if is_retired && report.last_order <= self.largest_order {
            return false;
        }
        self.retired_incarnations.insert(current.incarnation);
        self.retired_incarnations.remove(&report.incarnation);
        self.require_barrier();
        self.install(report, now);
        true
    }

    /// Stores a report without checking whether it is old.
    pub fn install(&mut self, report: EndpointReport, now: LocalTime) {
        self.largest_order = self.largest_order.max(report.last_order);
        self.last_number = self.last_number.max(report.last_order);
        if self
            .barrier
            .is_some_and(|barrier| report.last_order >= barrier)
        {
            self.confirmed = true;
            self.barrier = None;
        }
        self.ledger.release_resolved(&report, now);
        self.draining.retain(|key, _| report.lists(key));
        self.report = Some(report);
        self.reported_at = now;
    }

    /// Clears orders and draining copies and requires a new barrier, at the start or
    /// end of a term.
    pub fn reset(&mut self) {
        self.require_barrier();
        self.ledger = EndpointLedger::default();
        self.draining.clear();
    }

    /// Requires a new barrier before the next load or unload.
    pub fn require_barrier(&mut self) {
        self.confirmed = false;
        self.barrier = None;
        self.barrier_window_end = LocalTime::ORIGIN;
    }

    /// Assigns an order number larger than any used for this endpoint, and advances
    /// `next` past it.
    pub fn assign_number(&mut self, next: &mut OrderNumber) -> OrderNumber {
        let number = self.last_number.next().max(*next);
        *next = number.next();
        self.last_number = number;
        number
    }
}
