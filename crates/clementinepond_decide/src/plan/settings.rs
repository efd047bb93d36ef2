//! Settings of the placement part.

use super::planner::PlannerTuning;
use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Guard that a test removes to show that it is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlanMutation {
    /// Ends a reservation when the endpoint answers the order.
    ReleaseOnAck,
    /// Ends a reservation on the first report after the deadline, without a barrier.
    ReleaseWithoutBarrier,
    /// Forgets resolved orders at once, though copies may still arrive.
    ForgetCopies,
    /// Orders without waiting for the orders of the previous holder to die out.
    NoWaitOnTakeover,
    /// Orders without reading the endpoint again after a takeover.
    NoBarrierOnTakeover,
    /// Ignores the previous holder's written orders.
    ForgetInheritedOrders,
    /// Sends orders before they are written down.
    SendBeforeIntent,
    /// Unloads before the replacement is ready.
    UnloadBeforeReady,
    /// Lets the last ready copy be unloaded.
    LastCopyUnprotected,
    /// Sends orders without a deadline.
    OrdersWithoutDeadline,
    /// Counts the lease from the answer to a write instead of from its send.
    LeaseFromReply,
    /// Accepts reports that are older than the newest one.
    AcceptOldReports,
    /// Ignores the weight store's limits.
    IgnoreStoreShare,
}

/// Settings of the placement part.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct PlanSettings {
    /// Length of the plan lease.
    pub lease: TimeSpan,
    /// Drift bound of two clocks, in thousandths.
    pub drift_milli: u32,
    /// Longest time from an order's send to its deadline.
    pub order_span: TimeSpan,
    /// Longest time that an order may travel and act after its deadline.
    pub arrival_margin: TimeSpan,
    /// Time between two reads of a candidate for the lease.
    pub candidate_read_interval: TimeSpan,
    /// Time between two reads of any other VM.
    pub observer_read_interval: TimeSpan,
    /// Number of VMs that read as candidates; any VM may take a free lease.
    pub candidates: u32,
    /// Time that a VM leaves to each one that comes before it.
    pub candidate_stagger: TimeSpan,
    /// Time between two plans.
    pub plan_interval: TimeSpan,
    /// Smallest time between two writes of the plan object.
    pub write_interval: TimeSpan,
    /// Time from the withdrawal of a copy from routing to its unload.
    pub drain: TimeSpan,
    /// Age at which a report no longer proves that a copy serves.
    pub report_timeout: TimeSpan,
    /// Weights of the planner.
    pub tuning: PlannerTuning,
    /// Guards to remove in a test.
    #[serde(skip)]
    pub mutations: BTreeSet<PlanMutation>,
}

impl Default for PlanSettings {
    fn default() -> Self {
        Self {
            lease: TimeSpan::from_secs(15),
            drift_milli: 2,
            order_span: TimeSpan::from_secs(2),
            arrival_margin: TimeSpan::from_secs(1),
            candidate_read_interval: TimeSpan::from_secs(3),
            observer_read_interval: TimeSpan::from_secs(30),
            candidates: 3,
            candidate_stagger: TimeSpan::from_secs(2),
            plan_interval: TimeSpan::from_secs(2),
            write_interval: TimeSpan::from_millis(500),
            drain: TimeSpan::from_secs(5),
            report_timeout: TimeSpan::from_secs(10),
            tuning: PlannerTuning::default(),
            mutations: BTreeSet::new(),
        }
    }
}

impl PlanSettings {
    /// Returns whether a guard is removed.
    #[must_use]
    pub fn mutated(&self, mutation: PlanMutation) -> bool {
        self.mutations.contains(&mutation)
    }

    /// Returns the shortest time that another clock may show for a span.
    #[must_use]
    pub fn shortened(&self, span: TimeSpan) -> TimeSpan {
        span.saturating_sub(span.fraction(u64::from(self.drift_milli), 1_000))
    }

    /// Returns the longest time that another clock may show for a span.
    #[must_use]
    pub fn lengthened(&self, span: TimeSpan) -> TimeSpan {
        let drift = span.fraction(u64::from(self.drift_milli), 1_000);
        span + drift + drift
    }
}
