//! Running service stand-in and the handle that controls it.

use super::handler::ServiceHandler;
use super::service_faults::ServiceFaults;
use super::service_options::ServiceOptions;
use crate::fault::FaultRate;
use crate::network::{
    ListenTask, RESTART_QUEUE_CAPACITY, RestartRequest, StandinError, first_incarnation, lock,
};
use crate::record::CallRecord;
use clementinepond_types::TimeSpan;
use log::info;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use salvo::Router;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::{Semaphore, mpsc};
use tokio_util::sync::CancellationToken;

/// Configured faults and the random generator that selects affected calls.
#[derive(Debug)]
struct FaultState {
    faults: ServiceFaults,
    random: ChaCha8Rng,
}

/// State shared by the handle and all processes of the service.
#[derive(Debug)]
pub(super) struct ServiceShared {
    pub(super) options: ServiceOptions,
    pub(super) permits: Semaphore,
    pub(super) queued: AtomicU64,
    pub(super) report_number: AtomicU64,
    pub(super) incarnation: AtomicU64,
    pub(super) draining: AtomicBool,
    down: AtomicBool,
    restarts: mpsc::Sender<RestartRequest>,
    faults: Mutex<FaultState>,
    record: Mutex<CallRecord>,
}

impl ServiceShared {
    pub(super) fn record(&self) -> MutexGuard<'_, CallRecord> {
        lock(&self.record)
    }

    /// Returns whether a fault affects this call.
    pub(super) fn triggers(&self, rate: impl FnOnce(&mut ServiceFaults) -> &mut FaultRate) -> bool {
        let mut state = lock(&self.faults);
        let FaultState { faults, random } = &mut *state;
        rate(faults).triggers(random)
    }

    /// Returns the delay of this answer; zero unless the fault affects it.
    pub(super) fn late_by(&self) -> TimeSpan {
        let late = self.triggers(|faults| &mut faults.late_answers);
        let late_by = lock(&self.faults).faults.late_by;
        if late { late_by } else { TimeSpan::ZERO }
    }

    /// Crashes if the body contains a crash marker; returns whether it does.
    pub(super) fn crash_if_marked(&self, body: &str) -> bool {
        let down_for = {
            let state = lock(&self.faults);
            let mut markers = state.faults.crash_markers.iter();
            if !markers.any(|marker| body.contains(marker.as_ref())) {
                return false;
            }
            state.faults.down_for
        };
        self.crash(down_for);
        true
    }

    fn crash(&self, down_for: Option<TimeSpan>) {
        if self.down.swap(true, Ordering::AcqRel) {
            return;
        }
        info!("event=service_crashed endpoint={}", self.options.endpoint);
        self.request_restart(down_for);
    }

    fn request_restart(&self, down_for: Option<TimeSpan>) {
        // The channel is full only if more restarts are pending than it holds.
        let _ = self.restarts.try_send(RestartRequest { down_for });
    }
}

/// Handle of a running service stand-in, which stops when its token is cancelled.
#[derive(Debug)]
pub struct ServiceServer {
    task: ListenTask,
    shared: Arc<ServiceShared>,
}

impl ServiceServer {
    /// Starts a service that listens on the configured address.
    ///
    /// # Errors
    ///
    /// Returns an error if binding the address fails.
    pub async fn start(
        options: ServiceOptions,
        cancel: CancellationToken,
    ) -> Result<Self, StandinError> {
        let (restarts, restart_requests) = mpsc::channel(RESTART_QUEUE_CAPACITY);
        let listen = options.listen;
        let incarnation = options.incarnation.unwrap_or_else(first_incarnation);
        let shared = Arc::new(ServiceShared {
            permits: Semaphore::new(options.concurrency),
            queued: AtomicU64::new(0),
            report_number: AtomicU64::new(0),
            // Incremented by each process when it starts, including the first.
            incarnation: AtomicU64::new(incarnation.saturating_sub(1)),
            draining: AtomicBool::new(false),
            down: AtomicBool::new(false),
            restarts,
            faults: Mutex::new(FaultState {
                faults: options.faults.clone(),
                random: ChaCha8Rng::seed_from_u64(options.seed),
            }),
            record: Mutex::new(CallRecord::new(options.recorded_calls)),
            options,
        });
        let shared_state = Arc::clone(&shared);
        let routes = move || {
            shared_state.incarnation.fetch_add(1, Ordering::AcqRel);
            shared_state.report_number.store(0, Ordering::Release);
            shared_state.down.store(false, Ordering::Release);
            Router::with_path("{**path}").goal(ServiceHandler::new(Arc::clone(&shared_state)))
        };
        let task = ListenTask::start(listen, restart_requests, cancel, routes).await?;
        info!(
            "event=service_started endpoint={} address={}",
            shared.options.endpoint,
            task.address()
        );
        Ok(Self { task, shared })
    }

    /// Returns the address that the service listens on; it does not change on
    /// restart.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.task.address()
    }

    /// Updates the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServiceFaults)) {
        change(&mut lock(&self.shared.faults).faults);
    }

    /// Sets whether reports show the endpoint as draining.
    pub fn set_draining(&self, draining: bool) {
        self.shared.draining.store(draining, Ordering::Release);
    }

    /// Aborts all connections and stops listening; listens again with a new
    /// incarnation after `down_for`, or with none, on [`Self::restart`].
    pub fn crash(&self, down_for: Option<TimeSpan>) {
        self.shared.crash(down_for);
    }

    /// Listens again after a crash with no `down_for`.
    pub fn restart(&self) {
        self.shared.request_restart(Some(TimeSpan::ZERO));
    }

    /// Returns a copy of the record of calls and runs.
    #[must_use]
    pub fn record(&self) -> CallRecord {
        self.shared.record().clone()
    }
}
