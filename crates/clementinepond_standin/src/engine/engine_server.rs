//! Running engine stand-in and the handle that controls it.

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

/// Configured faults and the random generator that selects affected calls.
#[derive(Debug)]
pub(super) struct FaultState {
    pub(super) faults: EngineFaults,
    pub(super) random: ChaCha8Rng,
}

/// State shared by the handle and all processes of the engine.
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

    /// Returns whether a fault affects this call.
    pub(super) fn triggers(&self, rate: impl FnOnce(&mut EngineFaults) -> &mut FaultRate) -> bool {
        let mut state = self.faults();
        let FaultState { faults, random } = &mut *state;
        rate(faults).triggers(random)
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Ends the current process: aborts all connections and stops listening.
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
        // The channel is full only if more restarts are pending than it holds.
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

/// Handle of a running engine stand-in, which stops when its token is cancelled.
#[derive(Debug)]
pub struct EngineServer {
    task: ListenTask,
    shared: Arc<EngineShared>,
}

impl EngineServer {
    /// Starts an engine that listens on the configured address.
    ///
    /// # Errors
    ///
    /// Returns an error if binding the address fails.
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

    /// Returns the address that the engine listens on; it does not change on
    /// restart.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.task.address()
    }

    /// Updates the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.faults().faults);
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
        let request = RestartRequest {
            down_for: Some(TimeSpan::ZERO),
        };
        // The channel is full only if more restarts are pending than it holds.
        let _ = self.shared.restarts.try_send(request);
    }

    /// Returns a copy of the record of calls and runs.
    #[must_use]
    pub fn record(&self) -> CallRecord {
        self.shared.record().clone()
    }

    /// Returns a report without a recorded call; like the report endpoint, it may
    /// return one as old as the configured lag.
    #[must_use]
    pub fn report(&self) -> EndpointReport {
        let draining = self.shared.is_draining();
        self.shared.process().report(draining)
    }
}
