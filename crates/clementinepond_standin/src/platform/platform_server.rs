//! Running platform stand-in and the handle that controls it.

use super::call_rate_limiter::CallRateLimiter;
use super::handler::PlatformHandler;
use super::object_store::{ChangeOutcome, ObjectStore};
use super::platform_faults::PlatformFaults;
use super::platform_options::PlatformOptions;
use super::stored_object::StoredObject;
use super::vm_list::{VmEntry, VmList};
use crate::network::{ListenTask, RESTART_QUEUE_CAPACITY, RestartRequest, StandinError, lock};
use log::info;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use salvo::Router;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

/// Number of calls by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of objects, kinds and the list of VMs, and calls of unknown paths.
    pub reads: u64,
    /// Updates and deletions, conditional or not.
    pub writes: u64,
    /// Watches, each counted once regardless of how long it waits.
    pub watches: u64,
}

/// Mutable state of the platform.
#[derive(Debug)]
pub(super) struct PlatformState {
    pub(super) store: ObjectStore,
    pub(super) vms: VmList,
    pub(super) counts: CallCounts,
    pub(super) faults: PlatformFaults,
    pub(super) reads: CallRateLimiter,
    pub(super) writes: CallRateLimiter,
    pub(super) random: ChaCha8Rng,
}

/// State shared by the handle and the handler.
#[derive(Debug)]
pub(super) struct PlatformShared {
    state: Mutex<PlatformState>,
    pub(super) changed: Notify,
    pub(super) value_limit: usize,
}

impl PlatformShared {
    pub(super) fn lock(&self) -> MutexGuard<'_, PlatformState> {
        lock(&self.state)
    }
}

/// Handle of a running platform stand-in, which stops when its token is cancelled
/// or the handle is dropped.
#[derive(Debug)]
pub struct PlatformServer {
    task: ListenTask,
    shared: Arc<PlatformShared>,
    // The listening task stops when this channel closes.
    _restarts: mpsc::Sender<RestartRequest>,
}

impl PlatformServer {
    /// Starts a platform that listens on the configured address.
    ///
    /// # Errors
    ///
    /// Returns an error if binding the address fails.
    pub async fn start(
        options: PlatformOptions,
        cancel: CancellationToken,
    ) -> Result<Self, StandinError> {
        let state = PlatformState {
            store: ObjectStore::new(options.kept_changes),
            vms: VmList::new(options.vms, options.vm_list_lag),
            counts: CallCounts::default(),
            faults: options.faults,
            reads: CallRateLimiter::new(options.reads_per_second),
            writes: CallRateLimiter::new(options.writes_per_second),
            random: ChaCha8Rng::seed_from_u64(options.seed),
        };
        let shared = Arc::new(PlatformShared {
            state: Mutex::new(state),
            changed: Notify::new(),
            value_limit: options.value_limit,
        });
        let (restarts, restart_requests) = mpsc::channel(RESTART_QUEUE_CAPACITY);
        let handler = PlatformHandler::new(Arc::clone(&shared));
        let routes = move || Router::with_path("{**path}").goal(handler.clone());
        let task = ListenTask::start(options.listen, restart_requests, cancel, routes).await?;
        info!("event=platform_started address={}", task.address());
        Ok(Self {
            task,
            shared,
            _restarts: restarts,
        })
    }

    /// Returns the address that the platform listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.task.address()
    }

    /// Updates the faults and wakes waiting watches.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.shared.lock().faults);
        self.shared.changed.notify_waiters();
    }

    /// Replaces the list of VMs; callers see the new list after the lag.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.shared.lock().vms.replace(vms);
    }

    /// Returns the newest list of VMs, without the lag.
    #[must_use]
    pub fn vms(&self) -> Vec<VmEntry> {
        self.shared.lock().vms.latest().to_vec()
    }

    /// Returns the number of calls by kind.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.shared.lock().counts
    }

    /// Returns an object without counting a call.
    #[must_use]
    pub fn object(&self, kind: &str, name: &str) -> Option<StoredObject> {
        self.shared.lock().store.get(kind, name).cloned()
    }

    /// Returns the objects of a kind without counting a call.
    #[must_use]
    pub fn objects(&self, kind: &str) -> Vec<StoredObject> {
        self.shared.lock().store.list(kind)
    }

    /// Writes an object unconditionally and without counting a call; returns its
    /// version.
    pub fn put_object(&self, kind: &str, name: &str, value: Value) -> u64 {
        let outcome = self.shared.lock().store.put(kind, name, None, value);
        self.shared.changed.notify_waiters();
        match outcome {
            ChangeOutcome::Applied(object) => object.version,
            ChangeOutcome::Conflict(_) | ChangeOutcome::Missing => 0,
        }
    }
}
