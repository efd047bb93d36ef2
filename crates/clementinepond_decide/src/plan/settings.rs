//! Settings of placement.

use super::planner::PlannerTuning;
use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Guard that a test disables to show that it is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlanMutation {
    /// Ends a reservation when the endpoint replies to the order.
    ReleaseOnAck,
    /// Ends a reservation once the order's window has ended, without a barrier.
    ReleaseWithoutBarrier,
    /// Forgets completed orders at once, although copies of them may still arrive.
    ForgetCopies,
    /// Sends orders while orders of the previous holder may still take effect.
    NoWaitOnTakeover,
    /// Sends orders after a takeover without a barrier to each endpoint.
    NoBarrierOnTakeover,
    /// Ignores the orders stored by the previous holder.
    ForgetInheritedOrders,
    /// Sends orders before their intents are stored.
    SendBeforeIntent,
    /// Unloads before the replacement is ready.
    UnloadBeforeReady,
    /// Lets the last ready copy be unloaded.
    LastCopyUnprotected,
    /// Sends orders without a deadline.
    OrdersWithoutDeadline,
    /// Counts the lease from the reply to a write instead of from its send.
    LeaseFromReply,
    /// Accepts reports that are older than the newest one.
    AcceptOldReports,
    /// Ignores the weight store's limits.
    IgnoreStoreShare,
}

/// Settings of placement.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct PlanSettings {
    /// Length of the plan lease.
    pub lease: TimeSpan,
    /// Bound of the drift between two clocks, in thousandths of the time measured.
    pub drift_milli: u32,
    /// Longest time from an order's send to its deadline.
    pub order_span: TimeSpan,
    /// Longest time after its deadline at which an order may still arrive and act.
    pub arrival_margin: TimeSpan,
    /// Time between two reads of the plan object by a candidate for the lease.
    pub candidate_read_interval: TimeSpan,
    /// Time between two reads of the plan object by any other VM.
    pub observer_read_interval: TimeSpan,
    /// Number of VMs that read at the candidates' interval; any VM may acquire a free
    /// lease.
    pub candidates: u32,
    /// Time that a VM waits before acquiring a free lease, for each VM that ranks
    /// before it.
    pub candidate_stagger: TimeSpan,
    /// Time between two runs of the planner.
    pub plan_interval: TimeSpan,
    /// Shortest time between two writes of the plan object for orders; also the time
    /// between two reads after a lost reply.
    pub write_interval: TimeSpan,
    /// Time from the withdrawal of a copy from routing to its unload.
    pub drain: TimeSpan,
    /// Age at which a report no longer proves that a copy serves.
    pub report_timeout: TimeSpan,
    /// Weights and limits of the planner.
    pub tuning: PlannerTuning,
    /// Guards that a test disables.
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
    /// Returns whether a test disables the guard.
    #[must_use]
    pub fn mutated(&self, mutation: PlanMutation) -> bool {
        self.mutations.contains(&mutation)
    }

    /// Returns the time less the clock drift.
    #[must_use]
    pub fn shortened(&self, span: TimeSpan) -> TimeSpan {
        span.saturating_sub(span.fraction(u64::from(self.drift_milli), 1_000))
    }

    /// Returns the time plus twice the clock drift.
    #[must_use]
    pub fn lengthened(&self, span: TimeSpan) -> TimeSpan {
        let drift = span.fraction(u64::from(self.drift_milli), 1_000);
        span + drift + drift
    }
}
