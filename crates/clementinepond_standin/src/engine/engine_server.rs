//! The running engine and the handle to it.

use super::endpoint_report::EndpointReport;
use super::engine_faults::EngineFaults;
use super::engine_life::EngineLife;
use super::engine_options::EngineOptions;
use super::handler::EngineHandler;
use crate::fault::FaultRate;
use crate::network::{
    ListenTask, PENDING_RESTARTS, RestartOrder, StandinError, first_incarnation, hold,
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

/// State shared by the handle and all lives.
#[derive(Debug)]
pub(super) struct EngineShared {
    options: Arc<EngineOptions>,
    cancel: CancellationToken,
    restarts: mpsc::Sender<RestartOrder>,
    life: Mutex<Arc<EngineLife>>,
    faults: Mutex<FaultState>,
    record: Mutex<CallRecord>,
    draining: AtomicBool,
}

impl EngineShared {
    pub(super) fn life(&self) -> Arc<EngineLife> {
        Arc::clone(&hold(&self.life))
    }

    pub(super) fn record(&self) -> MutexGuard<'_, CallRecord> {
        hold(&self.record)
    }

    pub(super) fn faults(&self) -> MutexGuard<'_, FaultState> {
        hold(&self.faults)
    }

    /// Returns whether a fault strikes this time.
    pub(super) fn strikes(&self, rate: impl FnOnce(&mut EngineFaults) -> &mut FaultRate) -> bool {
        let mut state = self.faults();
        let FaultState { faults, random } = &mut *state;
        rate(faults).strikes(random)
    }

    pub(super) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Ends the current life: connections break and nothing listens.
    pub(super) fn crash(&self, down_for: Option<TimeSpan>) {
        let life = self.life();
        if life.ended.is_cancelled() {
            return;
        }
        info!(
            "event=engine_crashed endpoint={} incarnation={}",
            self.options.endpoint, life.incarnation
        );
        life.ended.cancel();
        // The channel is full only when more crashes than it holds are due.
        let _ = self.restarts.try_send(RestartOrder { down_for });
    }

    fn next_life(&self) {
        let mut life = hold(&self.life);
        if !life.ended.is_cancelled() {
            return;
        }
        let ended = self.cancel.child_token();
        let incarnation = life.incarnation + 1;
        *life = EngineLife::start(
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
        let life = EngineLife::start(&options, incarnation, true, cancel.child_token());
        let (restarts, orders) = mpsc::channel(PENDING_RESTARTS);
        let shared = Arc::new(EngineShared {
            options: Arc::clone(&options),
            cancel: cancel.clone(),
            restarts,
            life: Mutex::new(life),
            faults: Mutex::new(FaultState {
                faults: options.faults.clone(),
                random: ChaCha8Rng::seed_from_u64(options.seed),
            }),
            record: Mutex::new(CallRecord::new(options.recorded_calls)),
            draining: AtomicBool::new(false),
        });
        let lives = Arc::clone(&shared);
        let routes = move || {
            lives.next_life();
            let handler = EngineHandler::new(Arc::clone(&lives), lives.life());
            Router::with_path("{**path}").goal(handler)
        };
        let task = ListenTask::start(options.listen, orders, cancel, routes).await?;
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
    /// incarnation after `down_for`, or when told by [`Self::come_back`].
    pub fn crash(&self, down_for: Option<TimeSpan>) {
        self.shared.crash(down_for);
    }

    /// Listens again after a crash without an end.
    pub fn come_back(&self) {
        let order = RestartOrder {
            down_for: Some(TimeSpan::ZERO),
        };
        // The channel is full only when more crashes than it holds are due.
        let _ = self.shared.restarts.try_send(order);
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
        self.shared.life().report(draining)
    }
}
