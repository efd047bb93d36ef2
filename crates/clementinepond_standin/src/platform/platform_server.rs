//! The running platform and the handle to it.

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

/// Counted calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of objects, kinds and the list of VMs.
    pub reads: u64,
    /// Conditional updates and deletions.
    pub writes: u64,
    /// Watches, each counted once however long it waits.
    pub watches: u64,
}

/// State behind the lock.
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

/// State shared by the handle and the calls.
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

/// Running platform stand-in; stops when its token is cancelled.
#[derive(Debug)]
pub struct PlatformServer {
    task: ListenTask,
    shared: Arc<PlatformShared>,
    // Keeps the listening task from taking a closed channel for a stop.
    _restarts: mpsc::Sender<RestartRequest>,
}

impl PlatformServer {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be listened on.
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

    /// Returns the address it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.task.address()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.shared.lock().faults);
        self.shared.changed.notify_waiters();
    }

    /// Replaces the list of VMs; shown after the lag.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.shared.lock().vms.replace(vms);
    }

    /// Returns the newest list of VMs, without the lag.
    #[must_use]
    pub fn vms(&self) -> Vec<VmEntry> {
        self.shared.lock().vms.latest().to_vec()
    }

    /// Returns the counted calls.
    #[must_use]
    pub fn calls(&self) -> CallCounts {
        self.shared.lock().counts
    }

    /// Reads an object without a counted call.
    #[must_use]
    pub fn object(&self, kind: &str, name: &str) -> Option<StoredObject> {
        self.shared.lock().store.get(kind, name).cloned()
    }

    /// Returns the objects of a kind without a counted call.
    #[must_use]
    pub fn objects(&self, kind: &str) -> Vec<StoredObject> {
        self.shared.lock().store.list(kind)
    }

    /// Writes an object without a counted call; returns its version.
    pub fn put_object(&self, kind: &str, name: &str, value: Value) -> u64 {
        let outcome = self.shared.lock().store.put(kind, name, None, value);
        self.shared.changed.notify_waiters();
        match outcome {
            ChangeOutcome::Applied(object) => object.version,
            ChangeOutcome::Conflict(_) | ChangeOutcome::Missing => 0,
        }
    }
}
