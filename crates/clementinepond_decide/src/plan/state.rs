//! State of placement on one VM.

use super::lease::{LeasePhase, PlanLease};
use super::planner::UnplacedItem;
use super::{
    DemandForecast, EndpointAction, EndpointEntry, OrderNumber, PlacementCatalogue, PlacementGoal,
    PlanSettings, PlanStatus, RecentMove,
};
use clementinepond_types::{
    AdapterId, DataCentreId, EndpointId, LocalTime, MemorySize, ModelId, VmId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most recent moves kept for the status.
const MAX_RECENT_MOVES: usize = 64;

/// Order that waits until its intent is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StagedOrder {
    pub(super) endpoint: EndpointId,
    pub(super) number: OrderNumber,
    pub(super) action: EndpointAction,
    pub(super) reason: Box<str>,
}

/// State of placement on one VM.
#[derive(Debug)]
pub struct PlanState {
    pub(super) settings: PlanSettings,
    pub(super) vm: VmId,
    pub(super) data_centre: DataCentreId,
    pub(super) phase: LeasePhase,
    pub(super) members: BTreeSet<VmId>,
    pub(super) next_read_at: LocalTime,
    pub(super) next_write_at: LocalTime,
    pub(super) next_plan_at: LocalTime,
    pub(super) next_load_at: LocalTime,
    pub(super) next_number: OrderNumber,
    pub(super) releasing: bool,
    pub(super) endpoints: BTreeMap<EndpointId, EndpointEntry>,
    pub(super) catalogue: PlacementCatalogue,
    pub(super) adapter_memory: BTreeMap<AdapterId, MemorySize>,
    pub(super) forecasts: BTreeMap<ModelId, DemandForecast>,
    pub(super) peers: BTreeMap<DataCentreId, BTreeSet<ModelId>>,
    pub(super) staged: Vec<StagedOrder>,
    pub(super) goals: Vec<PlacementGoal>,
    pub(super) recent: VecDeque<RecentMove>,
    pub(super) unplaced: Vec<UnplacedItem>,
    pub(super) published: Option<PlanStatus>,
}

impl PlanState {
    /// Creates the state of a follower that has seen no plan object yet.
    #[must_use]
    pub fn new(settings: PlanSettings, vm: VmId, data_centre: DataCentreId) -> Self {
        Self {
            settings,
            vm,
            data_centre,
            phase: LeasePhase::Follower(PlanLease::watch(None)),
            members: BTreeSet::new(),
            next_read_at: LocalTime::ORIGIN,
            next_write_at: LocalTime::ORIGIN,
            next_plan_at: LocalTime::ORIGIN,
            next_load_at: LocalTime::ORIGIN,
            next_number: OrderNumber::default(),
            releasing: false,
            endpoints: BTreeMap::new(),
            catalogue: PlacementCatalogue::default(),
            adapter_memory: BTreeMap::new(),
            forecasts: BTreeMap::new(),
            peers: BTreeMap::new(),
            staged: Vec::new(),
            goals: Vec::new(),
            recent: VecDeque::new(),
            unplaced: Vec::new(),
            published: None,
        }
    }

    /// Returns this VM's phase in the life cycle of the lease.
    #[must_use]
    pub const fn phase(&self) -> &LeasePhase {
        &self.phase
    }

    /// Returns whether this VM holds the lease and its deadline has not passed.
    ///
    /// Orders are sent only in the phase [`LeasePhase::Holding`].
    #[must_use]
    pub fn holds(&self, now: LocalTime) -> bool {
        self.phase.term().is_some_and(|term| now < term.deadline)
    }

    /// Returns the last known lease holder; none if unknown, released or while this
    /// VM is acquiring the lease.
    #[must_use]
    pub fn holder(&self) -> Option<&VmId> {
        match &self.phase {
            LeasePhase::Follower(lease) => lease
                .state
                .seen
                .as_ref()
                .and_then(|seen| seen.value.as_ref()?.holder.as_ref()),
            LeasePhase::Acquiring(_) => None,
            LeasePhase::Waiting(_) | LeasePhase::Holding(_) => Some(&self.vm),
        }
    }

    /// Returns the known state of each endpoint.
    #[must_use]
    pub const fn endpoints(&self) -> &BTreeMap<EndpointId, EndpointEntry> {
        &self.endpoints
    }

    /// Returns the models and adapters that could not be placed.
    #[must_use]
    pub fn unplaced(&self) -> &[UnplacedItem] {
        &self.unplaced
    }

    /// Returns the loads that wait for free memory or for the weight store.
    #[must_use]
    pub fn goals(&self) -> &[PlacementGoal] {
        &self.goals
    }

    /// Returns the upper bound of the memory in use on an endpoint; none without a
    /// report.
    #[must_use]
    pub fn possible_memory(&self, endpoint: &EndpointId) -> Option<MemorySize> {
        let entry = self.endpoints.get(endpoint)?;
        let report = entry.report.as_ref()?;
        Some(entry.ledger.possible(report, &self.adapter_memory))
    }

    pub(super) fn record_move(&mut self, order: &StagedOrder, now: LocalTime) {
        if self.recent.len() == MAX_RECENT_MOVES {
            self.recent.pop_front();
        }
        self.recent.push_back(RecentMove {
            at: now,
            endpoint: order.endpoint.clone(),
            action: order.action.clone(),
            reason: order.reason.clone(),
        });
    }
}
