//! Simulated process of an engine, from its start to its crash.

use super::batch_queue::BatchQueue;
use super::cache_event::{CacheEventLog, CacheOperation};
use super::endpoint_report::EndpointReport;
use super::engine_memory::{EngineMemory, FollowUp, ModelKey};
use super::engine_options::EngineOptions;
use super::engine_order::{EngineOrder, OrderAction};
use super::prefix_cache::PrefixCache;
use crate::fault::FaultRate;
use crate::network::lock;
use clementinepond_types::{FencingNumber, MemorySize};
use log::info;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Whether an order was accepted, or the reason why it was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderOutcome {
    Accepted,
    OldFencingNumber,
    NoMemory,
}

#[derive(Debug)]
struct AcceptedOrder {
    order: EngineOrder,
    reserved: MemorySize,
    due: Instant,
}

/// Mutable state of a process.
#[derive(Debug)]
pub(super) struct ProcessState {
    pub(super) memory: EngineMemory,
    pub(super) cache: PrefixCache,
    pub(super) cache_log: CacheEventLog,
    fencing_number: FencingNumber,
    seen_orders: BTreeSet<u64>,
    last_order: u64,
    report_number: u64,
    report: Option<(Instant, EndpointReport)>,
    runs: u64,
    cancels: BTreeMap<Box<str>, BTreeMap<u64, CancellationToken>>,
}

/// Simulated process of an engine; a crash ends it, a restart creates another.
#[derive(Debug)]
pub(super) struct EngineProcess {
    pub(super) options: Arc<EngineOptions>,
    pub(super) incarnation: u64,
    pub(super) batch: Arc<BatchQueue>,
    pub(super) ended: CancellationToken,
    pub(super) cache_changed: Notify,
    run_ended: Notify,
    orders: mpsc::UnboundedSender<AcceptedOrder>,
    state: Mutex<ProcessState>,
}

impl EngineProcess {
    /// Starts a process; `loaded` is whether the configured models and adapters
    /// are in memory from the start.
    pub(super) fn start(
        options: &Arc<EngineOptions>,
        incarnation: u64,
        loaded: bool,
        ended: CancellationToken,
    ) -> Arc<Self> {
        let (orders, accepted) = mpsc::unbounded_channel();
        let mut memory = EngineMemory::new(options.memory_mib);
        if loaded {
            load_initial(&mut memory, options);
        }
        let state = ProcessState {
            memory,
            cache: PrefixCache::new(options.cached_prefixes),
            cache_log: CacheEventLog::new(options.cache_event_lag),
            fencing_number: FencingNumber::default(),
            seen_orders: BTreeSet::new(),
            last_order: 0,
            report_number: 0,
            report: None,
            runs: 0,
            cancels: BTreeMap::new(),
        };
        let process = Arc::new(Self {
            options: Arc::clone(options),
            incarnation,
            batch: BatchQueue::new(options.batch_size, options.queue_length),
            ended,
            cache_changed: Notify::new(),
            run_ended: Notify::new(),
            orders,
            state: Mutex::new(state),
        });
        tokio::spawn(apply_orders(Arc::clone(&process), accepted));
        process
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, ProcessState> {
        lock(&self.state)
    }

    /// Accepts an order for later execution, or refuses it.
    pub(super) fn accept(&self, order: EngineOrder) -> OrderOutcome {
        let mut state = self.lock();
        if self.options.checks_fencing && order.fencing_number < state.fencing_number {
            return OrderOutcome::OldFencingNumber;
        }
        state.fencing_number = state.fencing_number.max(order.fencing_number);
        if state.seen_orders.contains(&order.order) {
            return OrderOutcome::Accepted;
        }
        let Some(reserved) = state.memory.reserve(&order.action) else {
            return OrderOutcome::NoMemory;
        };
        state.seen_orders.insert(order.order);
        let due = Instant::now() + self.options.order_time.duration();
        let accepted = AcceptedOrder {
            order,
            reserved,
            due,
        };
        // Sending fails only once the process has ended, and then no order is applied.
        let _ = self.orders.send(accepted);
        OrderOutcome::Accepted
    }

    /// Returns a report, which may be as old as the configured lag.
    pub(super) fn report(&self, draining: bool) -> EndpointReport {
        let now = Instant::now();
        let mut state = self.lock();
        if let Some((taken, report)) = &state.report
            && now - *taken < self.options.report_lag.duration()
        {
            return report.clone();
        }
        let report = self.build_report(&mut state, draining);
        state.report = Some((now, report.clone()));
        report
    }

    /// Adds a prefix to the cache; returns whether the cache already contained
    /// it.
    pub(super) fn touch_cache(
        &self,
        prefix: u64,
        loss_rate: &mut FaultRate,
        random: &mut ChaCha8Rng,
    ) -> bool {
        let mut state = self.lock();
        let change = state.cache.touch(prefix);
        if !change.hit {
            let log = &mut state.cache_log;
            log.add(CacheOperation::Stored, prefix, loss_rate, random);
        }
        if let Some(evicted) = change.evicted {
            let log = &mut state.cache_log;
            log.add(CacheOperation::Evicted, evicted, loss_rate, random);
        }
        drop(state);
        self.cache_changed.notify_waiters();
        change.hit
    }

    /// Registers a running request; `None` if no ready model serves `name`.
    pub(super) fn begin_run(self: &Arc<Self>, id: &str, name: &str) -> Option<InFlightGuard> {
        let mut state = self.lock();
        let model = state.memory.begin_run(name)?;
        state.runs += 1;
        let number = state.runs;
        let cancel = self.ended.child_token();
        let cancels = state.cancels.entry(id.into()).or_default();
        cancels.insert(number, cancel.clone());
        Some(InFlightGuard {
            process: Arc::clone(self),
            id: id.into(),
            number,
            model,
            cancel,
        })
    }

    /// Cancels all runs of the request with this identifier.
    pub(super) fn cancel(&self, id: &str) {
        if let Some(cancels) = self.lock().cancels.get(id) {
            cancels.values().for_each(CancellationToken::cancel);
        }
    }

    fn build_report(&self, state: &mut ProcessState, draining: bool) -> EndpointReport {
        state.report_number += 1;
        let (running, queued) = self.batch.load();
        EndpointReport {
            endpoint: self.options.endpoint.clone(),
            incarnation: self.incarnation,
            report_number: state.report_number,
            last_order: state.last_order,
            memory_mib: state.memory.total(),
            used_mib: state.memory.used(),
            running: running as u64,
            queued: queued as u64,
            draining,
            fencing_number: state.fencing_number,
            models: state.memory.reported_models(),
            adapters: state.memory.reported_adapters(),
        }
    }

    async fn complete_follow_up(&self, follow_up: FollowUp) {
        match follow_up {
            FollowUp::Nothing => {}
            FollowUp::FinishModel(key) => {
                tokio::time::sleep(self.options.load_time.duration()).await;
                self.lock().memory.finish_model(&key);
            }
            FollowUp::FinishAdapter(adapter) => {
                tokio::time::sleep(self.options.adapter_load_time.duration()).await;
                self.lock().memory.finish_adapter(&adapter);
            }
            FollowUp::RemoveModel(key) => {
                self.wait_until_idle(&key).await;
                tokio::time::sleep(self.options.unload_time.duration()).await;
                self.lock().memory.remove_model(&key);
            }
        }
    }

    async fn wait_until_idle(&self, key: &ModelKey) {
        loop {
            let ended = self.run_ended.notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            if self.lock().memory.is_idle(key) {
                return;
            }
            ended.await;
        }
    }
}

/// Running request; unregistered when dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    process: Arc<EngineProcess>,
    id: Box<str>,
    number: u64,
    pub(super) model: ModelKey,
    pub(super) cancel: CancellationToken,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.process.lock();
        state.memory.end_run(&self.model);
        if let Some(cancels) = state.cancels.get_mut(&self.id) {
            cancels.remove(&self.number);
            if cancels.is_empty() {
                state.cancels.remove(&self.id);
            }
        }
        drop(state);
        self.process.run_ended.notify_waiters();
    }
}

fn load_initial(memory: &mut EngineMemory, options: &EngineOptions) {
    let models = options.models.iter().map(|start| OrderAction::LoadModel {
        model: start.model.clone(),
        version: start.version.clone(),
        memory_mib: start.memory_mib,
    });
    let adapters = options.adapters.iter();
    let adapters = adapters.map(|start| OrderAction::LoadAdapter {
        adapter: start.adapter.clone(),
        model: start.model.clone(),
        memory_mib: start.memory_mib,
    });
    for action in models.chain(adapters) {
        match memory.apply(action, MemorySize::default()) {
            FollowUp::FinishModel(key) => memory.finish_model(&key),
            FollowUp::FinishAdapter(adapter) => memory.finish_adapter(&adapter),
            FollowUp::Nothing | FollowUp::RemoveModel(_) => {}
        }
    }
}

/// Applies the orders of a process in the order in which they were accepted.
async fn apply_orders(
    process: Arc<EngineProcess>,
    mut accepted: mpsc::UnboundedReceiver<AcceptedOrder>,
) {
    let ended = process.ended.clone();
    let applying = async {
        while let Some(next) = accepted.recv().await {
            tokio::time::sleep_until(next.due).await;
            let number = next.order.order;
            let follow_up = {
                let mut state = process.lock();
                state.last_order = number;
                state.memory.apply(next.order.action, next.reserved)
            };
            info!(
                "event=engine_order_applied endpoint={} order={number}",
                process.options.endpoint
            );
            let process = Arc::clone(&process);
            tokio::spawn(async move {
                let ended = process.ended.clone();
                ended
                    .run_until_cancelled(process.complete_follow_up(follow_up))
                    .await;
            });
        }
    };
    ended.run_until_cancelled(applying).await;
}
