//! State of the placement specification.

use super::mutation::PlanMutation;
use crate::explore::Bounds;
use derive_more::Display;
use std::collections::{BTreeMap, BTreeSet};

/// Longest time from an order's issue to its deadline, in ticks.
pub(super) const ORDER_SPAN: u8 = 1;
/// Time after its deadline at which an order may still arrive, in ticks.
pub(super) const MARGIN: u8 = 1;
/// Addition to another clock's spans, in ticks.
pub(super) const DRIFT: u8 = 1;
/// Models that fit into the endpoint's memory.
pub(super) const MEMORY: usize = 1;
/// Window of an order that is not yet issued.
pub(super) const STAGED: u8 = u8::MAX;
/// Orders that one holder can number.
pub(super) const NUMBERS: u8 = 10;

/// State from which an exploration starts.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum PlanStart {
    #[display("nothing has happened")]
    Fresh,
    #[display("vm-0 has just taken the lease")]
    Held,
    #[display("vm-0 has loaded a model, and a report from before is on its way to vm-1")]
    Loaded,
}

/// Limits of the exploration.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
#[display(
    "from when {start}: 2 VMs, 2 models, {}, {}, {}, {acquisitions} acquisitions for {lease} ticks, {writes} writes, of which {renewals} only \
     renew, {unanswered} unanswered, {orders} orders, {barriers} barriers, {slips} clock slips, \
     {restarts} endpoint restarts, {crashes} crashes",
    if *checks_fencing { "fencing checked" } else { "fencing ignored" },
    if *unloads { "loads and unloads" } else { "loads" },
    if *untouched { "endpoint untouched" } else { "endpoint in use" }
)]
pub(super) struct PlanBounds {
    pub(super) start: PlanStart,
    /// Length of the lease, in ticks.
    pub(super) lease: u8,
    pub(super) checks_fencing: bool,
    /// Whether models are also unloaded.
    pub(super) unloads: bool,
    /// Whether the first holder knows that nothing was ever ordered.
    pub(super) untouched: bool,
    pub(super) acquisitions: u8,
    pub(super) writes: u8,
    pub(super) renewals: u8,
    pub(super) unanswered: u8,
    pub(super) orders: u8,
    pub(super) barriers: u8,
    pub(super) slips: u8,
    pub(super) restarts: u8,
    pub(super) crashes: u8,
}

/// Orders of one holder.
const ONE_HOLDER: PlanBounds = PlanBounds {
    start: PlanStart::Held,
    lease: 4,
    checks_fencing: false,
    unloads: true,
    untouched: true,
    acquisitions: 0,
    writes: 2,
    renewals: 0,
    unanswered: 0,
    orders: 2,
    barriers: 1,
    slips: 0,
    restarts: 1,
    crashes: 0,
};

/// Takeover while an order of the first holder is on its way.
const TAKEOVER: PlanBounds = PlanBounds {
    lease: 2,
    acquisitions: 1,
    orders: 1,
    slips: 1,
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
    slips: 1,
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

/// Acquisitions whose writes land late.
const LATE_WRITES: PlanBounds = PlanBounds {
    start: PlanStart::Fresh,
    lease: 2,
    untouched: false,
    acquisitions: 3,
    writes: 3,
    orders: 0,
    barriers: 2,
    slips: 1,
    restarts: 0,
    ..ONE_HOLDER
};

/// Returns the bounds to explore one after the other; with a mutation, those
/// in which its guard matters.
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

/// What an order asks for.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum OrderAction {
    #[display("load {_0}")]
    Load(ModelName),
    #[display("unload {_0}")]
    Unload(ModelName),
    #[display("barrier")]
    Barrier,
}

/// Number of an order: the fencing number and a count.
pub(super) type OrderNumber = u8;

/// Object on the platform.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct PlanObject {
    pub(super) holder: Option<usize>,
    pub(super) fencing: u8,
    /// Number that only this acquisition has.
    pub(super) nonce: u8,
    pub(super) renewal: u8,
    pub(super) orders: BTreeMap<OrderNumber, OrderAction>,
}

/// Conditional update on its way.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct FlyingWrite {
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

/// Order that left, or is about to leave, its holder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct FlyingOrder {
    pub(super) number: OrderNumber,
    pub(super) vm: usize,
    pub(super) action: OrderAction,
    /// Ticks until no copy can arrive.
    pub(super) left: u8,
    pub(super) sent: bool,
    pub(super) arrived: bool,
}

/// The endpoint.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct EndpointState {
    pub(super) loaded: BTreeSet<ModelName>,
    pub(super) applied: BTreeSet<OrderNumber>,
    pub(super) last_order: OrderNumber,
    /// Largest fencing number seen; forgotten in a restart.
    pub(super) fencing: u8,
    /// Largest fencing number that ever landed.
    pub(super) newest_landed: u8,
    /// Whether an order landed after one of a newer holder, without a check.
    pub(super) stale_landed: bool,
}

/// Report of the endpoint.
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
    /// First order issued after the window.
    pub(super) barrier: Option<OrderNumber>,
}

/// Phase of the lease on one VM.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum LeasePhase {
    /// Watches the object.
    Follower(SeenObject),
    /// Sent the first write.
    Acquiring {
        if_version: u8,
        object: PlanObject,
        lease_left: u8,
        quiet_left: u8,
    },
    /// Holds the lease.
    Held(HeldLease),
}

/// Object as a follower saw it first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct SeenObject {
    pub(super) version: u8,
    pub(super) object: PlanObject,
    pub(super) free_left: u8,
    pub(super) quiet_left: u8,
}

/// Holder's view of its lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct HeldLease {
    pub(super) fencing: u8,
    pub(super) nonce: u8,
    pub(super) version: u8,
    pub(super) renewal: u8,
    pub(super) lease_left: u8,
    pub(super) quiet_left: u8,
    /// Ticks of lease that the write under way would give.
    pub(super) pending: Option<u8>,
    pub(super) settled: bool,
    pub(super) takeover_barrier: Option<OrderNumber>,
    pub(super) next_number: OrderNumber,
    pub(super) ledger: BTreeMap<OrderNumber, LedgerEntry>,
    pub(super) view: Option<ReportView>,
}

/// One VM.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct VmState {
    pub(super) phase: LeasePhase,
    /// Report that was taken and has not arrived.
    pub(super) report: Option<ReportView>,
}

impl VmState {
    pub(super) fn watching(seen: SeenObject) -> Self {
        Self {
            phase: LeasePhase::Follower(seen),
            report: None,
        }
    }
}

/// State of the data centre.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PlanState {
    /// What may still happen.
    pub(super) left: PlanBounds,
    pub(super) version: u8,
    pub(super) object: PlanObject,
    pub(super) writes: BTreeSet<FlyingWrite>,
    /// Answers to writes that took effect; they may arrive late.
    pub(super) answers: BTreeSet<WriteAnswer>,
    pub(super) orders: BTreeSet<FlyingOrder>,
    pub(super) endpoint: EndpointState,
    pub(super) vms: [VmState; 2],
}
