//! The running engine and the handle to it.

use super::endpoint_report::EndpointReport;
use super::engine_faults::EngineFaults;
use super::engine_options::EngineOptions;
use super::engine_process::EngineProcess;
use super::handler::EngineHandler;
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
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Faults and the chance by which they strike.
#[derive(Debug)]
pub(super) struct FaultState {
    pub(super) faults: EngineFaults,
    pub(super) random: ChaCha8Rng,
}

/// State shared by the handle and all shared_state.
#[derive(Debug)]
pub(super) struct EngineShared {
    options: Arc<EngineOptions>,
    cancel: CancellationToken,
    restarts: mpsc::Sender<RestartRequest>,
    process: Mutex<Arc<EngineProcess>>,
    faults: Mutex<FaultState>,
    record: Mutex<CallRecord>,
    draining: AtomicBool,
}

impl EngineShared {
    pub(super) fn process(&self) -> Arc<EngineProcess> {
        Arc::clone(&lock(&self.process))
    }

    pub(super) fn record(&self) -> MutexGuard<'_, CallRecord> {
        lock(&self.record)
    }

    pub(super) fn faults(&self) -> MutexGuard<'_, FaultState> {
        lock(&self.faults)
    }

    /// Returns whether a fault triggers this time.
    pub(super) fn triggers(&self, rate: impl FnOnce(&mut EngineFaults) -> &mut FaultRate) -> bool {
        let mut state = self.faults();
        let FaultState { faults, random } = &mut *state;
        rate(faults).triggers(random)
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Ends the current process: connections break and nothing listens.
    pub(super) fn crash(&self, down_for: Option<TimeSpan>) {
        let process = self.process();
        if process.ended.is_cancelled() {
            return;
        }
        info!(
            "event=engine_crashed endpoint={} incarnation={}",
            self.options.endpoint, process.incarnation
        );
        process.ended.cancel();
        // The channel is full only when more crashes than it holds are due.
        let _ = self.restarts.try_send(RestartRequest { down_for });
    }

    fn start_next_process(&self) {
        let mut process = lock(&self.process);
        if !process.ended.is_cancelled() {
            return;
        }
        let ended = self.cancel.child_token();
        let incarnation = process.incarnation + 1;
        *process = EngineProcess::start(
            &self.options,
            incarnation,
            self.options.restart_loaded,
            ended,
        );
    }
}

/// Running engine stand-in; stops when its token is cancelled.
#[derive(Debug)]
pub struct EngineServer {
    task: ListenTask,
    shared: Arc<EngineShared>,
}

impl EngineServer {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be listened on.
    pub async fn start(
        options: EngineOptions,
        cancel: CancellationToken,
    ) -> Result<Self, StandinError> {
        let options = Arc::new(options);
        let incarnation = options.incarnation.unwrap_or_else(first_incarnation);
        let process = EngineProcess::start(&options, incarnation, true, cancel.child_token());
        let (restarts, restart_requests) = mpsc::channel(RESTART_QUEUE_CAPACITY);
        let shared = Arc::new(EngineShared {
            options: Arc::clone(&options),
            cancel: cancel.clone(),
            restarts,
            process: Mutex::new(process),
            faults: Mutex::new(FaultState {
                faults: options.faults.clone(),
                random: ChaCha8Rng::seed_from_u64(options.seed),
            }),
            record: Mutex::new(CallRecord::new(options.recorded_calls)),
            draining: AtomicBool::new(false),
        });
        let shared_state = Arc::clone(&shared);
        let routes = move || {
            shared_state.start_next_process();
            let handler = EngineHandler::new(Arc::clone(&shared_state), shared_state.process());
            Router::with_path("{**path}").goal(handler)
        };
        let task = ListenTask::start(options.listen, restart_requests, cancel, routes).await?;
        info!(
            "event=engine_started endpoint={} address={}",
            options.endpoint,
            task.address()
        );
        Ok(Self { task, shared })
    }

    /// Returns the address it listens on, the same after each restart.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.task.address()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.faults().faults);
    }

    /// Sets whether reports say that the endpoint leaves.
    pub fn set_draining(&self, draining: bool) {
        self.shared.draining.store(draining, Ordering::Release);
    }

    /// Breaks all connections and stops to listen; listens again with a new
    /// incarnation after `down_for`, or when told by [`Self::restart`].
    pub fn crash(&self, down_for: Option<TimeSpan>) {
        self.shared.crash(down_for);
    }

    /// Listens again after a crash without an end.
    pub fn restart(&self) {
        let request = RestartRequest {
            down_for: Some(TimeSpan::ZERO),
        };
        // The channel is full only when more crashes than it holds are due.
        let _ = self.shared.restarts.try_send(request);
    }

    /// Returns what it saw.
    #[must_use]
    pub fn record(&self) -> CallRecord {
        self.shared.record().clone()
    }

    /// Returns a fresh report without a call.
    #[must_use]
    pub fn report(&self) -> EndpointReport {
        let draining = self.shared.is_draining();
        self.shared.process().report(draining)
    }
}
