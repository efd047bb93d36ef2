//! What is known of one endpoint.

use super::{EndpointLedger, EndpointReport, EndpointSpec, HoldingKey, Incarnation, OrderNumber};
use clementinepond_types::LocalTime;
use std::collections::{BTreeMap, BTreeSet};

/// Knowledge of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointEntry {
    /// What the settings say; none once the endpoint has gone.
    pub spec: Option<EndpointSpec>,
    /// Newest report.
    pub report: Option<EndpointReport>,
    /// Moment of the newest report's arrival.
    pub reported_at: LocalTime,
    /// Orders that may still take effect.
    pub ledger: EndpointLedger,
    /// Copies withdrawn from routing, with the moment of their unload.
    pub draining: BTreeMap<HoldingKey, LocalTime>,
    /// Last order number given to the endpoint.
    pub last_number: OrderNumber,
    /// Order that a report must name before loads are ordered.
    pub barrier: Option<OrderNumber>,
    /// Moment after which the last barrier counts as lost.
    pub barrier_window_end: LocalTime,
    /// Whether a report has proved the endpoint's state to this holder.
    pub confirmed: bool,
    retired_incarnations: BTreeSet<Incarnation>,
    largest_order: OrderNumber,
}

impl EndpointEntry {
    /// Starts without knowledge.
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

    /// Starts for an endpoint that is known only from written orders.
    #[must_use]
    pub fn unlisted() -> Self {
        Self {
            spec: None,
            ..Self::new(EndpointSpec::default())
        }
    }

    /// Takes in a report; returns whether it was news.
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
        // A retired incarnation is heard again only if it names an order that
        // nobody had named before, which no earlier report can do.
        let retired_incarnations = self.retired_incarnations.contains(&report.incarnation);
        if retired_incarnations && report.last_order <= self.largest_order {
            return false;
        }
        self.retired_incarnations.insert(current.incarnation);
        self.retired_incarnations.remove(&report.incarnation);
        self.require_barrier();
        self.install(report, now);
        true
    }

    /// Takes in a report without asking whether it is old.
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

    /// Doubts everything, for a new term or after the end of one.
    pub fn reset(&mut self) {
        self.require_barrier();
        self.ledger = EndpointLedger::default();
        self.draining.clear();
    }

    /// Requires a new barrier before the next load.
    pub fn require_barrier(&mut self) {
        self.confirmed = false;
        self.barrier = None;
        self.barrier_window_end = LocalTime::ORIGIN;
    }

    /// Takes an order number that this endpoint has never had.
    pub fn assign_number(&mut self, next: &mut OrderNumber) -> OrderNumber {
        let number = self.last_number.next().max(*next);
        *next = number.next();
        self.last_number = number;
        number
    }
}
