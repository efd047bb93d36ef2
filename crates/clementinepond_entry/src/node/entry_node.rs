//! State of the entry VM and the notifications that wake its tasks.

use super::NodeStats;
use super::crash_guard::UnstoredSuspects;
use super::placement::PlacementView;
use super::run_update::RunOutbox;
use super::send_permit::PermitWaits;
use crate::caller::{AnswerMemory, LostRuns};
use crate::endpoint::ConnectionPool;
use crate::forward::ForwardLoad;
use crate::peer::PeerSocket;
use crate::settings::EntrySettings;
use crate::store::WatchTarget;
use clementinepond_dispatch::budget::RetryBudget;
use clementinepond_dispatch::directory::{EndpointDirectory, RevisionGuard};
use clementinepond_dispatch::fleet::ServiceId;
use clementinepond_dispatch::health::HealthTable;
use clementinepond_dispatch::lease::PlacementLease;
use clementinepond_dispatch::load::{LoadTable, NameHash};
use clementinepond_dispatch::peer::{LinkBudget, PeerHeartbeat, PeerTable};
use clementinepond_dispatch::placement::{DemandMeter, PlacementPlanner};
use clementinepond_dispatch::quota::RateLimiter;
use clementinepond_dispatch::reach::PathTable;
use clementinepond_dispatch::rejection::RejectionTable;
use clementinepond_dispatch::select::PrefixCacheIndex;
use clementinepond_dispatch::send_limit::{LimitTable, PermitLedger};
use clementinepond_dispatch::stream::OriginTable;
use clementinepond_dispatch::suspect::{CrashGuard, CrashSuspect};
use clementinepond_dispatch::table::RouteTable;
use clementinepond_types::{EndpointId, LocalTime};
use fnv::{FnvHashMap, FnvHashSet};
use serde_json::Value;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Time for this VM's own watch to catch up with a peer before the watch is interrupted.
const OWN_WATCH_DELAY: Duration = Duration::from_millis(250);

/// State of the entry VM that the decisions depend on.
#[derive(Debug)]
pub(crate) struct NodeState {
    /// Routes and policies of the current configuration; `None` before the first one.
    pub(crate) table: Option<Rc<RouteTable>>,
    /// Current configuration as stored, for snapshots to peers.
    pub(crate) configuration_spec: Option<Rc<Value>>,
    /// Time since which a peer is known to have a newer configuration.
    pub(crate) newer_configuration_since: Option<LocalTime>,
    /// Store revision up to which the configuration is known.
    pub(crate) configuration_revision: u64,
    pub(crate) directory: EndpointDirectory,
    /// Revision and stored form of each endpoint's entry, for snapshots to peers.
    pub(crate) endpoint_specs: BTreeMap<Box<str>, (u64, Value)>,
    /// Highest known revision of each endpoint's entry.
    pub(crate) entry_revisions: RevisionGuard,
    /// Revision of the newest known change of an endpoint's entry.
    pub(crate) endpoint_revision: u64,
    pub(crate) health: HealthTable,
    pub(crate) loads: LoadTable,
    pub(crate) paths: PathTable,
    /// Endpoints that are being checked since they did not answer.
    pub(crate) checked_endpoints: FnvHashSet<NameHash>,
    pub(crate) rejections: RejectionTable,
    pub(crate) limits: LimitTable,
    /// Permits for endpoints whose limit this VM owns.
    pub(crate) permits: PermitLedger,
    pub(crate) permit_waits: PermitWaits,
    pub(crate) prefix_cache: PrefixCacheIndex,
    pub(crate) demand: DemandMeter,
    pub(crate) limiter: RateLimiter,
    pub(crate) budgets: FnvHashMap<ServiceId, RetryBudget>,
    pub(crate) peers: PeerTable,
    pub(crate) origins: OriginTable,
    pub(crate) placement: PlacementView,
    pub(crate) crash_guard: CrashGuard,
    pub(crate) lost_runs: LostRuns,
    /// Suspects of which this VM has a request in flight on trial.
    pub(crate) trials: FnvHashSet<CrashSuspect>,
    pub(crate) unstored_suspects: UnstoredSuspects,
    /// Time of the last request for peers' blocked suspects.
    pub(crate) blocked_synced_at: LocalTime,
    /// Measured time to the first token divided by the predicted one, averaged.
    pub(crate) slowdowns: FnvHashMap<EndpointId, f64>,
    /// Measured time to answer a request, averaged.
    pub(crate) service_ms: FnvHashMap<EndpointId, f64>,
    pub(crate) store_answered_at: LocalTime,
    /// Number of object kinds whose calls of the store currently fail.
    pub(crate) failing_kinds: u32,
    /// Time of the last order that this process sent.
    pub(crate) last_order: Option<LocalTime>,
    /// State machine of the placement lease; `None` until its task has started.
    pub(crate) lease: Option<PlacementLease>,
    /// Planner of each service; used while this VM holds the placement lease.
    pub(crate) planners: FnvHashMap<ServiceId, PlacementPlanner>,
    /// Endpoints that this VM ejected recently, with the time from which heartbeats report
    /// them to the peers.
    pub(crate) ejected_here: FnvHashMap<NameHash, LocalTime>,
    /// Limit of the snapshots served to peers.
    pub(crate) snapshot_budget: LinkBudget,
    /// Requests that were sent but not announced to the peers yet.
    pub(crate) unannounced: RunOutbox,
}

impl NodeState {
    /// Returns the version of the configuration in use; 0 if there is none.
    pub(crate) fn configuration_version(&self) -> u64 {
        self.table
            .as_ref()
            .map_or(0, |table| table.policy().version)
    }

    /// Returns the state of the target that a heartbeat's sender has, if it is newer than
    /// this VM's.
    pub(crate) fn newer_at(&self, target: WatchTarget, heartbeat: &PeerHeartbeat) -> Option<u64> {
        let (theirs, own) = match target {
            WatchTarget::Configuration => (heartbeat.configuration, self.configuration_version()),
            WatchTarget::Endpoints => (heartbeat.directory, self.endpoint_revision),
        };
        (theirs > own).then_some(theirs)
    }
}

/// Entry VM: its settings, its state and the notifications between its tasks.
#[derive(Debug)]
pub(crate) struct EntryNode {
    settings: RefCell<Rc<EntrySettings>>,
    /// Random number of this process, by which peers recognize a restart.
    pub(crate) incarnation: u64,
    pub(crate) state: RefCell<NodeState>,
    pub(crate) pool: ConnectionPool,
    pub(crate) stats: NodeStats,
    pub(crate) answer_memory: AnswerMemory,
    pub(crate) forward_load: ForwardLoad,
    /// Time of the stop signal; `None` while the VM serves.
    pub(crate) stopping_since: Cell<Option<LocalTime>>,
    /// Wakes the watches and the fetches when a peer has sent its state.
    pub(crate) peer_updated: Notify,
    /// Wakes requests that wait for a copy or an adapter.
    pub(crate) placement_changed: Notify,
    /// Wakes requests that wait for the origin of a stream.
    pub(crate) origin_updated: Notify,
    /// Wakes the task that plans placement and sends orders.
    pub(crate) orders_due: Notify,
    /// Wakes requests in flight when a suspect is blocked.
    pub(crate) suspect_blocked: Notify,
    /// Wakes the task that stores blocked suspects.
    pub(crate) blocked_changed: Notify,
    pub(crate) socket: OnceCell<Rc<PeerSocket>>,
}

impl EntryNode {
    pub(crate) fn new(settings: EntrySettings, incarnation: u64) -> Self {
        let state = NodeState {
            table: None,
            configuration_spec: None,
            newer_configuration_since: None,
            configuration_revision: 0,
            directory: EndpointDirectory::default(),
            endpoint_specs: BTreeMap::new(),
            entry_revisions: RevisionGuard::default(),
            endpoint_revision: 0,
            health: HealthTable::default(),
            loads: LoadTable::default(),
            paths: PathTable::default(),
            checked_endpoints: FnvHashSet::default(),
            rejections: RejectionTable::default(),
            limits: LimitTable::default(),
            permits: PermitLedger::default(),
            permit_waits: PermitWaits::default(),
            prefix_cache: PrefixCacheIndex::default(),
            demand: DemandMeter::default(),
            limiter: RateLimiter::new(),
            budgets: FnvHashMap::default(),
            peers: PeerTable::default(),
            origins: OriginTable::default(),
            placement: PlacementView::default(),
            crash_guard: CrashGuard::default(),
            lost_runs: LostRuns::default(),
            trials: FnvHashSet::default(),
            unstored_suspects: UnstoredSuspects::default(),
            blocked_synced_at: LocalTime::ORIGIN,
            slowdowns: FnvHashMap::default(),
            service_ms: FnvHashMap::default(),
            store_answered_at: LocalTime::ORIGIN,
            failing_kinds: 0,
            last_order: None,
            lease: None,
            planners: FnvHashMap::default(),
            ejected_here: FnvHashMap::default(),
            snapshot_budget: LinkBudget::default(),
            unannounced: RunOutbox::default(),
        };
        Self {
            settings: RefCell::new(Rc::new(settings)),
            incarnation,
            state: RefCell::new(state),
            pool: ConnectionPool::default(),
            stats: NodeStats::default(),
            answer_memory: AnswerMemory::default(),
            forward_load: ForwardLoad::default(),
            stopping_since: Cell::new(None),
            peer_updated: Notify::new(),
            placement_changed: Notify::new(),
            origin_updated: Notify::new(),
            orders_due: Notify::new(),
            suspect_blocked: Notify::new(),
            blocked_changed: Notify::new(),
            socket: OnceCell::new(),
        }
    }

    pub(crate) fn settings(&self) -> Rc<EntrySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Replaces the settings after a reload; the sockets stay bound to their addresses.
    pub(crate) fn replace_settings(&self, settings: EntrySettings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        self.state.borrow().table.clone()
    }

    /// Returns whether the VM has a configuration and endpoints and is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        self.stopping_since.get().is_none() && state.table.is_some() && !state.directory.is_empty()
    }

    /// Waits until a peer has a newer revision and this VM's watch did not catch up.
    pub(crate) async fn peer_ahead(&self, target: WatchTarget) {
        loop {
            self.peer_updated.notified().await;
            if !self.is_peer_ahead(target) {
                continue;
            }
            tokio::time::sleep(OWN_WATCH_DELAY).await;
            if self.is_peer_ahead(target) {
                return;
            }
        }
    }
}
