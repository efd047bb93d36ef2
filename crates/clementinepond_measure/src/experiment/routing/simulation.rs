//! Discrete-event simulation of VMs, engines and callers.

use super::engine::{BatchEngine, CacheChange, EngineRequest, MAX_BATCH_SIZE, StartedJob};
use super::policy::RoutePolicy;
use clementinepond_decide::route::{
    EndpointProfile, EndpointReport, EndpointRole, ModelReplica, PrefixHash, ReplicaState,
    RouteQuery, RouteSettings, RouteTable, RouteTarget,
};
use clementinepond_types::{
    DataCentreId, EndpointId, FencingNumber, LocalTime, MemorySize, ModelId, TimeSpan,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Upper bound of the time from arrival to the first token.
const FIRST_TOKEN_TARGET: TimeSpan = TimeSpan::from_millis(800);
/// Upper bound of the time between two tokens.
const TOKEN_INTERVAL_TARGET: TimeSpan = TimeSpan::from_millis(36);
/// Load as a share of the engines' capacity.
const LOAD_SHARE: f64 = 0.8;
/// Mean time of one request on an engine with a full batch, in seconds.
const MEAN_SERVICE_S: f64 = 2.4;
const REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
const REPORT_LAG: TimeSpan = TimeSpan::from_millis(300);
const CACHE_EVENT_LAG: TimeSpan = TimeSpan::from_millis(1_000);
/// Probability that a cache event is lost, in percent.
const CACHE_EVENT_LOSS_PERCENT: u32 = 10;
/// Number of different prompt prefixes.
const PREFIX_COUNT: usize = 600;
/// Divisor of the arrival period after which one endpoint leaves.
const LEAVE_TIME_DIVISOR: u64 = 2;

/// Size of the simulated fleet and length of its arrival period.
#[derive(Debug, Clone, Copy)]
pub(super) struct SimulationSize {
    vms: usize,
    engines: usize,
    seconds: u64,
}

impl SimulationSize {
    pub(super) const fn full() -> Self {
        Self {
            vms: 8,
            engines: 24,
            seconds: 60,
        }
    }

    pub(super) const fn short() -> Self {
        Self {
            vms: 4,
            engines: 8,
            seconds: 15,
        }
    }
}

/// Counters of one run; time is in microseconds.
#[derive(Debug, Clone, Default)]
pub(super) struct RouteOutcome {
    pub(super) started: u64,
    pub(super) lost: u64,
    pub(super) sent_to_leaving: u64,
    within_both: u64,
    within_first_token: u64,
    within_interval: u64,
    cache_hits: u64,
    first_token_micros: u64,
}

impl RouteOutcome {
    pub(super) fn share_within(&self) -> f64 {
        self.share(self.within_both)
    }

    pub(super) fn share_first_token(&self) -> f64 {
        self.share(self.within_first_token)
    }

    pub(super) fn share_between_tokens(&self) -> f64 {
        self.share(self.within_interval)
    }

    pub(super) fn prefix_reuse(&self) -> f64 {
        self.share(self.cache_hits)
    }

    pub(super) fn first_token_mean_ms(&self) -> f64 {
        self.share(self.first_token_micros) / 1e3
    }

    fn share(&self, part: u64) -> f64 {
        part as f64 / self.started.max(1) as f64
    }
}

/// Event of the simulation; events at the same time occur in the order of scheduling.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrival(usize),
    Completion { engine: usize, request: usize },
    CollectReports,
    ApplyReports(usize),
    ApplyCacheEvents(usize),
    Leave,
}

/// VM and arrival time of a request.
#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    vm: usize,
    arrived: LocalTime,
}

/// Simulated fleet and its callers.
pub(super) struct RoutingSimulation {
    policy: RoutePolicy,
    size: SimulationSize,
    random: ChaCha8Rng,
    now: LocalTime,
    events: BinaryHeap<Reverse<(LocalTime, u64, SimulationEvent)>>,
    next_event_number: u64,
    tables: Vec<RouteTable>,
    engines: Vec<BatchEngine>,
    requests: Vec<PendingRequest>,
    reports: Vec<Vec<EndpointReport>>,
    cache_batches: Vec<Vec<(usize, CacheChange)>>,
    report_number: u64,
    leave_known_by: LocalTime,
    outcome: RouteOutcome,
}

fn endpoint(index: usize) -> EndpointId {
    parse_name(&format!("engine-{index:03}"))
}

fn parse_name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    match text.parse() {
        Ok(name) => name,
        Err(error) => unreachable!("{text}: {error:?}"),
    }
}

fn model() -> ModelId {
    parse_name("model")
}

impl RoutingSimulation {
    pub(super) fn new(size: SimulationSize, policy: RoutePolicy, seed: u64) -> Self {
        let mut simulation = Self {
            policy,
            size,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: LocalTime::ORIGIN,
            events: BinaryHeap::new(),
            next_event_number: 0,
            tables: Vec::new(),
            engines: (0..size.engines).map(|_| BatchEngine::default()).collect(),
            requests: Vec::new(),
            reports: Vec::new(),
            cache_batches: Vec::new(),
            report_number: 0,
            leave_known_by: LocalTime::NEVER,
            outcome: RouteOutcome::default(),
        };
        simulation.init_tables();
        simulation.schedule_arrivals();
        simulation.schedule(LocalTime::ORIGIN, SimulationEvent::CollectReports);
        let leave = LocalTime::ORIGIN + TimeSpan::from_secs(size.seconds / LEAVE_TIME_DIVISOR);
        simulation.schedule(leave, SimulationEvent::Leave);
        simulation
    }

    fn init_tables(&mut self) {
        let data_centre: DataCentreId = parse_name("dc-1");
        let profiles: BTreeMap<EndpointId, EndpointProfile> = (0..self.size.engines)
            .map(|index| {
                let profile = EndpointProfile {
                    data_centre: data_centre.clone(),
                    role: EndpointRole::Engine,
                    leaving: false,
                };
                (endpoint(index), profile)
            })
            .collect();
        let first: Vec<EndpointReport> = (0..self.size.engines)
            .map(|index| self.report(index))
            .collect();
        for _ in 0..self.size.vms {
            let mut table = RouteTable::new(RouteSettings::default(), data_centre.clone());
            table.configure(profiles.clone());
            for (index, report) in first.iter().enumerate() {
                table.apply_report(&endpoint(index), report.clone(), self.now);
            }
            self.tables.push(table);
        }
    }

    fn schedule_arrivals(&mut self) {
        let capacity = self.size.engines as f64 * MAX_BATCH_SIZE as f64 / MEAN_SERVICE_S;
        let rate = capacity * LOAD_SHARE;
        let count = (rate * self.size.seconds as f64) as usize;
        for index in 0..count {
            let micros = self.random.random_range(0..self.size.seconds * 1_000_000);
            let arrived = LocalTime::from_micros(micros);
            let vm = self.random.random_range(0..self.size.vms);
            self.requests.push(PendingRequest { vm, arrived });
            self.schedule(arrived, SimulationEvent::Arrival(index));
        }
    }

    fn schedule(&mut self, time: LocalTime, event: SimulationEvent) {
        self.next_event_number += 1;
        self.events
            .push(Reverse((time, self.next_event_number, event)));
    }

    /// Runs until no events are left; requests that no engine started count as lost.
    pub(super) fn run(mut self) -> RouteOutcome {
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            match event {
                SimulationEvent::Arrival(request) => self.arrive(request),
                SimulationEvent::Completion { engine, request } => self.complete(engine, request),
                SimulationEvent::CollectReports => self.collect_reports(),
                SimulationEvent::ApplyReports(batch) => self.apply_reports(batch),
                SimulationEvent::ApplyCacheEvents(batch) => self.apply_cache_events(batch),
                SimulationEvent::Leave => self.leave(),
            }
        }
        self.outcome.lost = self.requests.len() as u64 - self.outcome.started;
        self.outcome
    }

    fn arrive(&mut self, request: usize) {
        // The square skews the draw: few prefixes take most of the requests.
        let draw: f64 = self.random.random();
        let prefix = PrefixHash::new((draw * draw * PREFIX_COUNT as f64) as u64);
        let job = EngineRequest {
            request_index: request,
            prefix,
            prompt_tokens: self.random.random_range(500..2_500),
            answer_tokens: self.random.random_range(20..120),
        };
        let query = RouteQuery {
            target: RouteTarget::Model {
                model: model(),
                adapter: None,
            },
            prefix: Some(prefix),
            prompt_tokens: job.prompt_tokens,
            excluded: BTreeSet::new(),
            avoided: BTreeSet::new(),
            seed: self.random.random(),
        };
        let vm = self.requests[request].vm;
        let Some(chosen) = self.policy.choose(&self.tables[vm], &query, self.now) else {
            return;
        };
        let index = (0..self.size.engines)
            .find(|index| endpoint(*index) == chosen)
            .unwrap_or(0);
        if self.engines[index].is_leaving && self.now > self.leave_known_by {
            self.outcome.sent_to_leaving += 1;
        }
        self.tables[vm].record_sent(&chosen, Some(prefix));
        self.engines[index].submit(job);
        self.start(index);
    }

    fn start(&mut self, engine: usize) {
        while let Some(started) = self.engines[engine].start_next(self.now) {
            self.record_start(&started);
            let request = started.job.request_index;
            self.schedule(
                started.completed_at,
                SimulationEvent::Completion { engine, request },
            );
        }
    }

    fn record_start(&mut self, started: &StartedJob) {
        let arrived = self.requests[started.job.request_index].arrived;
        let first = started.first_token.since(arrived);
        let is_first_within = first <= FIRST_TOKEN_TARGET;
        let is_interval_within = started.token_interval <= TOKEN_INTERVAL_TARGET;
        let outcome = &mut self.outcome;
        outcome.started += 1;
        outcome.first_token_micros += first.micros();
        outcome.within_first_token += u64::from(is_first_within);
        outcome.within_interval += u64::from(is_interval_within);
        outcome.within_both += u64::from(is_first_within && is_interval_within);
        outcome.cache_hits += u64::from(started.was_cached);
    }

    fn complete(&mut self, engine: usize, request: usize) {
        self.engines[engine].running -= 1;
        let vm = self.requests[request].vm;
        self.tables[vm].record_ended(&endpoint(engine), false, self.now);
        self.start(engine);
    }

    fn collect_reports(&mut self) {
        self.report_number += 1;
        let batch = (0..self.size.engines)
            .map(|index| self.report(index))
            .collect();
        self.reports.push(batch);
        self.schedule(
            self.now + REPORT_LAG,
            SimulationEvent::ApplyReports(self.reports.len() - 1),
        );
        self.collect_cache_events();
        let last = LocalTime::ORIGIN + TimeSpan::from_secs(self.size.seconds);
        if self.now < last {
            self.schedule(self.now + REPORT_INTERVAL, SimulationEvent::CollectReports);
        }
    }

    fn collect_cache_events(&mut self) {
        let mut batch = Vec::new();
        for index in 0..self.size.engines {
            for change in std::mem::take(&mut self.engines[index].changes) {
                if self.random.random_range(0..100) >= CACHE_EVENT_LOSS_PERCENT {
                    batch.push((index, change));
                }
            }
        }
        self.cache_batches.push(batch);
        self.schedule(
            self.now + CACHE_EVENT_LAG,
            SimulationEvent::ApplyCacheEvents(self.cache_batches.len() - 1),
        );
    }

    fn report(&self, index: usize) -> EndpointReport {
        let engine = &self.engines[index];
        let replica = ModelReplica {
            version: "1".into(),
            state: ReplicaState::Ready,
            memory_mib: MemorySize::new(1),
        };
        EndpointReport {
            incarnation: 1,
            report_number: self.report_number,
            running: u32::try_from(engine.running).unwrap_or(u32::MAX),
            queued: u32::try_from(engine.queued()).unwrap_or(u32::MAX),
            draining: engine.is_leaving,
            fencing_number: FencingNumber::new(0),
            models: BTreeMap::from([(model(), replica)]),
            adapters: BTreeMap::new(),
        }
    }

    fn apply_reports(&mut self, batch: usize) {
        for table in &mut self.tables {
            for (index, report) in self.reports[batch].iter().enumerate() {
                table.apply_report(&endpoint(index), report.clone(), self.now);
            }
        }
    }

    fn apply_cache_events(&mut self, batch: usize) {
        let limit = RouteSettings::default().prefix_limit;
        for table in &mut self.tables {
            for (index, change) in &self.cache_batches[batch] {
                if let Some(state) = table.endpoints.get_mut(&endpoint(*index)) {
                    state.prefixes.observe_sequence(change.sequence);
                    if change.stored {
                        state.prefixes.insert(change.prefix, limit);
                    } else {
                        state.prefixes.remove(change.prefix);
                    }
                }
            }
        }
    }

    fn leave(&mut self) {
        self.engines[0].is_leaving = true;
        self.leave_known_by = self.now + REPORT_INTERVAL + REPORT_LAG;
    }
}
