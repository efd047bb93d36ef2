//! The VM's state and its wake-up calls.

use super::NodeStats;
use super::placement::PlacementView;
use super::run_update::RunOutbox;
use crate::endpoint::ConnectionPool;
use crate::peer::PeerSocket;
use crate::settings::EntrySettings;
use crate::store::WatchTarget;
use clementinepond_dispatch::budget::RetryBudget;
use clementinepond_dispatch::directory::{EndpointDirectory, RevisionGuard};
use clementinepond_dispatch::fleet::ServiceId;
use clementinepond_dispatch::health::HealthTable;
use clementinepond_dispatch::lease::PlacementLease;
use clementinepond_dispatch::load::{LoadTable, NameHash};
use clementinepond_dispatch::peer::PeerTable;
use clementinepond_dispatch::place::{DemandMeter, PlacementPlanner};
use clementinepond_dispatch::quota::RateLimiter;
use clementinepond_dispatch::select::PrefixCacheIndex;
use clementinepond_dispatch::suspect::CrashSuspects;
use clementinepond_dispatch::table::RouteTable;
use clementinepond_types::{EndpointId, LocalTime};
use fnv::FnvHashMap;
use serde_json::Value;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Time that this VM's own watch gets before a peer's news make it late.
const OWN_WATCH_DELAY: Duration = Duration::from_millis(250);

/// What the VM knows and counts.
#[derive(Debug)]
pub(crate) struct NodeState {
    pub(crate) table: Option<Rc<RouteTable>>,
    /// Configuration in force as the store holds it, for peers.
    pub(crate) configuration_spec: Option<Rc<Value>>,
    /// Revision of the store up to which the configuration is known.
    pub(crate) configuration_revision: u64,
    pub(crate) directory: EndpointDirectory,
    /// Endpoints' entries as the store holds them, for peers.
    pub(crate) endpoint_specs: BTreeMap<Box<str>, (u64, Value)>,
    /// Newest revision seen of each endpoint's entry.
    pub(crate) entry_revisions: RevisionGuard,
    /// Revision of the newest change of an endpoint's entry.
    pub(crate) endpoint_revision: u64,
    pub(crate) health: HealthTable,
    pub(crate) loads: LoadTable,
    pub(crate) prefix_cache: PrefixCacheIndex,
    pub(crate) demand: DemandMeter,
    pub(crate) limiter: RateLimiter,
    pub(crate) budgets: FnvHashMap<ServiceId, RetryBudget>,
    pub(crate) peers: PeerTable,
    pub(crate) placement: PlacementView,
    pub(crate) suspects: CrashSuspects,
    /// Measured time to the first token over the predicted one.
    pub(crate) slowdowns: FnvHashMap<EndpointId, f64>,
    /// Measured time of one request, in milliseconds.
    pub(crate) service_times_ms: FnvHashMap<EndpointId, f64>,
    pub(crate) store_answered_at: LocalTime,
    /// Kinds whose calls of the store fail now.
    pub(crate) failing_kinds: u32,
    /// Moment of this VM's last order in this process.
    pub(crate) last_order: Option<LocalTime>,
    /// State towards the lease of the placement placement_lease.
    pub(crate) lease: Option<PlacementLease>,
    /// Placement of each service while this VM holds the placement_lease.
    pub(crate) planners: FnvHashMap<ServiceId, PlacementPlanner>,
    pub(crate) ejected_here: FnvHashMap<NameHash, LocalTime>,
    /// Requests sent and not announced yet.
    pub(crate) unannounced: RunOutbox,
}

/// One entry VM.
#[derive(Debug)]
pub(crate) struct EntryNode {
    settings: RefCell<Rc<EntrySettings>>,
    pub(crate) incarnation: u64,
    pub(crate) state: RefCell<NodeState>,
    pub(crate) pool: ConnectionPool,
    pub(crate) stats: NodeStats,
    /// Moment of the signal to stop.
    pub(crate) stopping_since: Cell<Option<LocalTime>>,
    /// Wakes the watches when a peer knows more.
    pub(crate) heartbeat_received: Notify,
    /// Wakes requests that wait for placement.
    pub(crate) placement_changed: Notify,
    /// Wakes the placement_lease's task.
    pub(crate) orders_due: Notify,
    pub(crate) socket: OnceCell<Rc<PeerSocket>>,
}

impl EntryNode {
    pub(crate) fn new(settings: EntrySettings, incarnation: u64) -> Self {
        let state = NodeState {
            table: None,
            configuration_spec: None,
            configuration_revision: 0,
            directory: EndpointDirectory::default(),
            endpoint_specs: BTreeMap::new(),
            entry_revisions: RevisionGuard::default(),
            endpoint_revision: 0,
            health: HealthTable::default(),
            loads: LoadTable::default(),
            prefix_cache: PrefixCacheIndex::default(),
            demand: DemandMeter::default(),
            limiter: RateLimiter::new(),
            budgets: FnvHashMap::default(),
            peers: PeerTable::default(),
            placement: PlacementView::default(),
            suspects: CrashSuspects::default(),
            slowdowns: FnvHashMap::default(),
            service_times_ms: FnvHashMap::default(),
            store_answered_at: LocalTime::ORIGIN,
            failing_kinds: 0,
            last_order: None,
            lease: None,
            planners: FnvHashMap::default(),
            ejected_here: FnvHashMap::default(),
            unannounced: RunOutbox::default(),
        };
        Self {
            settings: RefCell::new(Rc::new(settings)),
            incarnation,
            state: RefCell::new(state),
            pool: ConnectionPool::default(),
            stats: NodeStats::default(),
            stopping_since: Cell::new(None),
            heartbeat_received: Notify::new(),
            placement_changed: Notify::new(),
            orders_due: Notify::new(),
            socket: OnceCell::new(),
        }
    }

    pub(crate) fn settings(&self) -> Rc<EntrySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Takes over settings that were read again; addresses keep their first value.
    pub(crate) fn replace_settings(&self, settings: EntrySettings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        self.state.borrow().table.clone()
    }

    /// Tells whether the VM can serve requests.
    pub(crate) fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        self.stopping_since.get().is_none() && state.table.is_some() && !state.directory.is_empty()
    }

    /// Returns once a peer has known more than this VM for a while.
    pub(crate) async fn peer_ahead(&self, target: WatchTarget) {
        loop {
            self.heartbeat_received.notified().await;
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
