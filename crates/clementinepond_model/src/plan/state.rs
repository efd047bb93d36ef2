//! State of the placement specification.

use super::mutation::PlanMutation;
use crate::explore::Bounds;
use derive_more::Display;
use std::collections::{BTreeMap, BTreeSet};

/// Longest time from the issue of an order to its deadline, in ticks.
pub(super) const ORDER_LIFETIME: u8 = 1;
/// Longest time after its deadline at which an order may still arrive, in ticks.
pub(super) const ARRIVAL_MARGIN: u8 = 1;
/// Margin for clock drift on durations that another VM counts, in ticks.
pub(super) const DRIFT: u8 = 1;
/// Number of models that fit into the endpoint's memory.
pub(super) const MEMORY_CAPACITY: usize = 1;
/// Window of an order that is not issued yet.
pub(super) const UNISSUED_WINDOW: u8 = u8::MAX;
/// Size of the range of order numbers of one holder.
pub(super) const ORDERS_PER_HOLDER: u8 = 10;

/// State from which an exploration starts.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum PlanStart {
    #[display("nothing has happened")]
    Fresh,
    #[display("vm-0 has just acquired the lease")]
    Held,
    #[display("vm-0 has loaded a model, and an older report is in flight to vm-1")]
    Loaded,
}

/// Bounds of one exploration: sizes, and how often each kind of step may happen.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
#[display(
    "from when {start}: 2 VMs, 2 models, {}, {}, {}, {acquisitions} acquisitions for {lease} ticks, {writes} writes, of which {renewals} only \
     renew, {unanswered} unanswered, {orders} orders, {barriers} barriers, {missed_ticks} missed ticks, \
     {restarts} endpoint restarts, {crashes} crashes",
    if *checks_fencing { "fencing checked" } else { "fencing ignored" },
    if *unloads { "loads and unloads" } else { "loads" },
    if *unused { "endpoint unused" } else { "endpoint in use" }
)]
pub(super) struct PlanBounds {
    pub(super) start: PlanStart,
    /// Duration of the lease, in ticks.
    pub(super) lease: u8,
    /// Whether the endpoint checks fencing numbers.
    pub(super) checks_fencing: bool,
    /// Whether models are also unloaded.
    pub(super) unloads: bool,
    /// Whether no order was sent before the first acquisition, as its holder knows.
    pub(super) unused: bool,
    pub(super) acquisitions: u8,
    pub(super) writes: u8,
    /// Writes that contain no new order.
    pub(super) renewals: u8,
    /// Writes whose answer is lost.
    pub(super) unanswered: u8,
    /// Orders to load or unload.
    pub(super) orders: u8,
    pub(super) barriers: u8,
    pub(super) missed_ticks: u8,
    /// Restarts of the endpoint.
    pub(super) restarts: u8,
    /// Crashes of VMs.
    pub(super) crashes: u8,
}

/// Orders of a single holder, with a restart of the endpoint.
const ONE_HOLDER: PlanBounds = PlanBounds {
    start: PlanStart::Held,
    lease: 4,
    checks_fencing: false,
    unloads: true,
    unused: true,
    acquisitions: 0,
    writes: 2,
    renewals: 0,
    unanswered: 0,
    orders: 2,
    barriers: 1,
    missed_ticks: 0,
    restarts: 1,
    crashes: 0,
};

/// Takeover while an order of the first holder is in flight.
const TAKEOVER: PlanBounds = PlanBounds {
    lease: 2,
    acquisitions: 1,
    orders: 1,
    missed_ticks: 1,
    restarts: 0,
    ..ONE_HOLDER
};

/// Takeover of an endpoint that checks fencing numbers until it restarts.
const CHECKED_TAKEOVER: PlanBounds = PlanBounds {
    checks_fencing: true,
    lease: 2,
    unloads: false,
    acquisitions: 1,
    writes: 3,
    missed_ticks: 1,
    ..ONE_HOLDER
};

/// Takeover by a VM whose report is older than the first holder's orders.
const OLD_REPORT: PlanBounds = PlanBounds {
    start: PlanStart::Loaded,
    unloads: false,
    acquisitions: 1,
    orders: 1,
    restarts: 0,
    ..ONE_HOLDER
};

/// Acquisitions whose writes take effect late.
const LATE_WRITES: PlanBounds = PlanBounds {
    start: PlanStart::Fresh,
    lease: 2,
    unused: false,
    acquisitions: 3,
    writes: 3,
    orders: 0,
    barriers: 2,
    missed_ticks: 1,
    restarts: 0,
    ..ONE_HOLDER
};

/// Returns the bounds to explore in turn; with a mutation, those under which its guard
/// is needed.
pub(super) fn bounds_of(bounds: Bounds, mutation: PlanMutation) -> Vec<PlanBounds> {
    let small = match mutation {
        PlanMutation::None => vec![
            ONE_HOLDER,
            TAKEOVER,
            CHECKED_TAKEOVER,
            OLD_REPORT,
            LATE_WRITES,
        ],
        PlanMutation::ReleaseOnAck
        | PlanMutation::ReleaseWithoutBarrier
        | PlanMutation::ForgetCopies => vec![ONE_HOLDER],
        PlanMutation::NoWaitOnTakeover
        | PlanMutation::OrdersWithoutDeadline
        | PlanMutation::SendLate
        | PlanMutation::IgnoreDrift => vec![TAKEOVER],
        PlanMutation::ForgetInheritedOrders | PlanMutation::SendBeforeIntent => {
            vec![CHECKED_TAKEOVER]
        }
        PlanMutation::NoBarrierOnTakeover => vec![OLD_REPORT],
        PlanMutation::ReuseNonce | PlanMutation::LeaseFromReply => vec![LATE_WRITES],
    };
    match bounds {
        Bounds::Small => small,
        Bounds::Large => small.into_iter().map(enlarged).collect(),
    }
}

fn enlarged(bounds: PlanBounds) -> PlanBounds {
    PlanBounds {
        unanswered: 1,
        ..bounds
    }
}

/// One model.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum ModelName {
    #[display("m")]
    M,
    #[display("n")]
    N,
}

/// Action that an order requests.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum OrderAction {
    #[display("load {_0}")]
    Load(ModelName),
    #[display("unload {_0}")]
    Unload(ModelName),
    #[display("barrier")]
    Barrier,
}

/// Number of an order: the fencing number times `ORDERS_PER_HOLDER`, plus a count from 1.
pub(super) type OrderNumber = u8;

/// Lease object on the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct PlanObject {
    /// VM that holds the lease; none before the first acquisition.
    pub(super) holder: Option<usize>,
    pub(super) fencing: u8,
    /// Unique number of the acquisition.
    pub(super) nonce: u8,
    /// Number of the write within the acquisition, from 1.
    pub(super) renewal: u8,
    /// Orders that may still take effect.
    pub(super) orders: BTreeMap<OrderNumber, OrderAction>,
}

/// Conditional write that may still take effect.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct InFlightWrite {
    pub(super) vm: usize,
    pub(super) if_version: u8,
    pub(super) object: PlanObject,
}

/// Answer to a write that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct WriteAnswer {
    pub(super) vm: usize,
    pub(super) nonce: u8,
    pub(super) renewal: u8,
    pub(super) version: u8,
}

/// Order that is sent or about to be sent.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct InFlightOrder {
    pub(super) number: OrderNumber,
    pub(super) vm: usize,
    pub(super) action: OrderAction,
    /// Ticks until no copy can arrive, on the clock of the sender.
    pub(super) ticks_left: u8,
    pub(super) sent: bool,
    /// Whether a copy has arrived, tracked only for the mutation `ReleaseOnAck`.
    pub(super) arrived: bool,
}

/// State of the endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct EndpointState {
    pub(super) loaded: BTreeSet<ModelName>,
    /// Numbers of the orders that took effect since the last restart.
    pub(super) applied: BTreeSet<OrderNumber>,
    /// Number of the order that took effect last; zero after a restart.
    pub(super) last_order: OrderNumber,
    /// Largest fencing number seen; lost in a restart.
    pub(super) fencing: u8,
    /// Largest fencing number of the orders that ever took effect.
    pub(super) newest_applied: u8,
    /// Whether an order took effect after one of a newer holder, at an endpoint that does
    /// not check fencing numbers.
    pub(super) stale_applied: bool,
}

/// Contents of a report of the endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct ReportView {
    pub(super) loaded: BTreeSet<ModelName>,
    pub(super) last_order: OrderNumber,
}

/// Order that may still take effect.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct LedgerEntry {
    pub(super) action: OrderAction,
    /// Ticks until no copy can take effect.
    pub(super) window: u8,
    /// First order issued after the window; none before it is issued.
    pub(super) barrier: Option<OrderNumber>,
}

/// Phase of the lease on one VM.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum LeasePhase {
    /// The VM watches the object.
    Follower(SeenObject),
    /// The VM has sent the write that acquires the lease.
    Acquiring {
        if_version: u8,
        object: PlanObject,
        lease_left: u8,
        effect_left: u8,
    },
    /// The VM holds the lease.
    Held(HeldLease),
}

/// Object as a follower has seen it, counted from the first sight of its version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct SeenObject {
    pub(super) version: u8,
    pub(super) object: PlanObject,
    /// Ticks until the holder can no longer issue orders.
    pub(super) authority_left: u8,
    pub(super) effect_left: u8,
}

/// Holder's view of its lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct HeldLease {
    pub(super) fencing: u8,
    pub(super) nonce: u8,
    pub(super) version: u8,
    pub(super) renewal: u8,
    /// Ticks until the lease ends for the holder.
    pub(super) lease_left: u8,
    /// Ticks until no order of earlier holders can take effect.
    pub(super) effect_left: u8,
    /// Ticks of lease that the pending write would leave; none without a pending write.
    pub(super) pending: Option<u8>,
    /// Whether a report shows the takeover barrier, or none is needed.
    pub(super) confirmed: bool,
    /// First barrier of this holder; none before it is issued.
    pub(super) takeover_barrier: Option<OrderNumber>,
    /// Last order number that was assigned.
    pub(super) last_number: OrderNumber,
    pub(super) ledger: BTreeMap<OrderNumber, LedgerEntry>,
    /// Last report that was applied.
    pub(super) view: Option<ReportView>,
}

/// One VM.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct VmState {
    pub(super) phase: LeasePhase,
    /// Report in flight to the VM.
    pub(super) report: Option<ReportView>,
}

impl VmState {
    pub(super) fn follower(seen: SeenObject) -> Self {
        Self {
            phase: LeasePhase::Follower(seen),
            report: None,
        }
    }
}

/// State of the data centre.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PlanState {
    /// Steps that may still happen.
    pub(super) remaining: PlanBounds,
    pub(super) version: u8,
    pub(super) object: PlanObject,
    pub(super) writes: BTreeSet<InFlightWrite>,
    /// Answers to writes that took effect and may still arrive.
    pub(super) answers: BTreeSet<WriteAnswer>,
    pub(super) orders: BTreeSet<InFlightOrder>,
    pub(super) endpoint: EndpointState,
    pub(super) vms: [VmState; 2],
}
