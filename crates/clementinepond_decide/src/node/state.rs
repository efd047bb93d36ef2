//! State of the node reducer.

use super::{DemandTable, NodeSettings};
use crate::claim::ClaimState;
use crate::configuration::ConfigurationState;
use crate::crash::{CrashState, CrashTicket};
use crate::limit::{LimitSettings, LimitState, RosterView};
use crate::plan::PlanState;
use crate::request::{AttemptNumber, RequestTable};
use crate::roster::{RosterState, UsableParts};
use crate::route::{RouteQuery, RouteTable};
use clementinepond_types::{
    DataCentreId, EndpointId, Epoch, LocalTime, PartCount, RequestTicket, TimeSpan, VmId,
};
use std::collections::{BTreeMap, BTreeSet};

/// Attempt that waits for permission from the crash guard.
#[derive(Debug, Clone)]
pub(super) struct PendingRun {
    pub(super) ticket: RequestTicket,
    pub(super) attempt: AttemptNumber,
    pub(super) query: RouteQuery,
    pub(super) resume_from: u64,
    pub(super) deadline: LocalTime,
}

/// Change of the usable parts, and the time at which all grants on the removed parts have
/// expired.
#[derive(Debug, Clone, Copy)]
pub(super) struct PartsStop {
    pub(super) change: u64,
    pub(super) deadline: LocalTime,
}

/// State of the node reducer.
#[derive(Debug)]
pub struct NodeState {
    /// Name of this VM.
    pub vm: VmId,
    /// Data centre where this VM runs.
    pub data_centre: DataCentreId,
    /// Requests that have not ended.
    pub requests: RequestTable,
    /// Endpoints and their load.
    pub routes: RouteTable,
    /// State of the roster.
    pub roster: RosterState,
    /// State of the configuration.
    pub configuration: ConfigurationState,
    /// State of the rate limits.
    pub limit: LimitState,
    /// State of the claims.
    pub claim: ClaimState,
    /// State of the crash guard.
    pub crash: CrashState,
    /// State of placement.
    pub plan: PlanState,
    /// Demand for models at this VM and, at the lease holder, of the data centre.
    pub demand: DemandTable,
    pub(super) limit_settings: LimitSettings,
    pub(super) usable_parts: Option<UsableParts>,
    pub(super) limit_view: Option<RosterView>,
    pub(super) parts_stop: Option<PartsStop>,
    pub(super) is_limit_released: bool,
    pub(super) expects_share: bool,
    pub(super) known_epochs: BTreeMap<DataCentreId, Epoch>,
    pub(super) pending_runs: BTreeMap<CrashTicket, PendingRun>,
    pub(super) crash_tickets: BTreeMap<RequestTicket, CrashTicket>,
    pub(super) next_run: u64,
    pub(super) unreachable: BTreeSet<EndpointId>,
    pub(super) listed_engines: BTreeSet<EndpointId>,
    pub(super) next_slow_tick: LocalTime,
}

impl NodeState {
    /// Creates the state of a VM that has just started.
    #[must_use]
    pub fn new(settings: NodeSettings, now: LocalTime) -> Self {
        let identity = settings.identity();
        let incarnation = settings.claim_incarnation();
        let limit_incarnation = settings.limit_incarnation();
        let vm = settings.vm;
        let data_centre = settings.data_centre;
        Self {
            requests: RequestTable::new(settings.request),
            routes: RouteTable::new(settings.route, data_centre.clone()),
            roster: RosterState::new(identity, settings.roster, now),
            configuration: ConfigurationState::new(vm.clone(), settings.configuration, now),
            limit: LimitState::new(settings.limit.clone(), vm.clone(), limit_incarnation),
            claim: ClaimState::new(settings.claim, vm.clone(), data_centre.clone(), incarnation),
            crash: CrashState::new(settings.crash, vm.clone()),
            plan: PlanState::new(settings.plan, vm.clone(), data_centre.clone()),
            demand: DemandTable::default(),
            limit_settings: settings.limit,
            usable_parts: None,
            limit_view: None,
            parts_stop: None,
            is_limit_released: false,
            expects_share: true,
            known_epochs: BTreeMap::new(),
            pending_runs: BTreeMap::new(),
            crash_tickets: BTreeMap::new(),
            next_run: 0,
            unreachable: BTreeSet::new(),
            listed_engines: BTreeSet::new(),
            next_slow_tick: now,
            vm,
            data_centre,
        }
    }

    /// Returns whether the load balancer may send callers to this VM.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let has_share = self
            .limit_view
            .as_ref()
            .is_some_and(|view| view.share > PartCount::new(0) || !self.expects_share);
        has_share && self.limit.is_ready()
    }

    /// Returns the longest time for which a grant on this VM's parts may be valid.
    pub(super) fn longest_grant_lifetime(&self) -> TimeSpan {
        let members = self
            .roster
            .own_table()
            .map_or(1, |table| table.value.members.len());
        self.limit_settings.longest_grant_lifetime(members)
    }
}
