//! VMs, engines and callers in virtual time.

use super::engine::{BATCH_SIZE, BatchEngine, CacheChange, EngineJob, StartedJob};
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

/// Bound of the first token.
const FIRST_TOKEN_BOUND: TimeSpan = TimeSpan::from_millis(800);
/// Bound between two tokens.
const BETWEEN_TOKENS_BOUND: TimeSpan = TimeSpan::from_millis(36);
/// Share of the engines' capacity that callers use.
const LOAD_SHARE: f64 = 0.8;
/// Mean time of one request on a full engine.
const MEAN_SERVICE: f64 = 2.4;
const REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
const REPORT_LAG: TimeSpan = TimeSpan::from_millis(300);
const CACHE_EVENT_LAG: TimeSpan = TimeSpan::from_millis(1_000);
/// Cache events out of 100 that are lost.
const LOST_CACHE_EVENTS: u32 = 10;
/// Conversations that share a prefix.
const PREFIXES: usize = 600;
/// Part of the run after which one endpoint leaves.
const LEAVE_AT: u64 = 2;

/// Numbers of one run.
#[derive(Debug, Clone, Copy)]
pub(super) struct WorldSize {
    vms: usize,
    engines: usize,
    seconds: u64,
}

impl WorldSize {
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

/// What callers saw.
#[derive(Debug, Clone, Default)]
pub(super) struct RouteOutcome {
    pub(super) ended: u64,
    pub(super) lost: u64,
    pub(super) sent_to_leaving: u64,
    within_both: u64,
    within_first: u64,
    within_between: u64,
    cached: u64,
    first_token_micros: u64,
}

impl RouteOutcome {
    pub(super) fn share_within(&self) -> f64 {
        self.share(self.within_both)
    }

    pub(super) fn share_first_token(&self) -> f64 {
        self.share(self.within_first)
    }

    pub(super) fn share_between_tokens(&self) -> f64 {
        self.share(self.within_between)
    }

    pub(super) fn prefix_reuse(&self) -> f64 {
        self.share(self.cached)
    }

    pub(super) fn first_token_mean_ms(&self) -> f64 {
        self.share(self.first_token_micros) / 1e3
    }

    fn share(&self, part: u64) -> f64 {
        part as f64 / self.ended.max(1) as f64
    }
}

/// What happens next; ordered by time, then by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WorldEvent {
    Arrival(usize),
    End { engine: usize, request: usize },
    ReportsTaken,
    ReportsSeen(usize),
    CacheSeen(usize),
    Leave,
}

/// A request on its way.
#[derive(Debug, Clone, Copy)]
struct SentRequest {
    vm: usize,
    arrived: LocalTime,
}

/// VMs, engines and callers.
pub(super) struct RouteWorld {
    policy: RoutePolicy,
    size: WorldSize,
    random: ChaCha8Rng,
    now: LocalTime,
    events: BinaryHeap<Reverse<(LocalTime, u64, WorldEvent)>>,
    next_number: u64,
    tables: Vec<RouteTable>,
    engines: Vec<BatchEngine>,
    requests: Vec<SentRequest>,
    reports: Vec<Vec<EndpointReport>>,
    cache_pages: Vec<Vec<(usize, CacheChange)>>,
    report_number: u64,
    leave_known: LocalTime,
    outcome: RouteOutcome,
}

fn endpoint(index: usize) -> EndpointId {
    name(&format!("engine-{index:03}"))
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    match text.parse() {
        Ok(name) => name,
        Err(error) => unreachable!("{text}: {error:?}"),
    }
}

fn model() -> ModelId {
    name("model")
}

impl RouteWorld {
    pub(super) fn new(size: WorldSize, policy: RoutePolicy, seed: u64) -> Self {
        let mut world = Self {
            policy,
            size,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: LocalTime::ORIGIN,
            events: BinaryHeap::new(),
            next_number: 0,
            tables: Vec::new(),
            engines: (0..size.engines).map(|_| BatchEngine::default()).collect(),
            requests: Vec::new(),
            reports: Vec::new(),
            cache_pages: Vec::new(),
            report_number: 0,
            leave_known: LocalTime::NEVER,
            outcome: RouteOutcome::default(),
        };
        world.open_tables();
        world.plan_arrivals();
        world.at(LocalTime::ORIGIN, WorldEvent::ReportsTaken);
        let leave = LocalTime::ORIGIN + TimeSpan::from_secs(size.seconds / LEAVE_AT);
        world.at(leave, WorldEvent::Leave);
        world
    }

    fn open_tables(&mut self) {
        let data_centre: DataCentreId = name("dc-1");
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

    fn plan_arrivals(&mut self) {
        let capacity = self.size.engines as f64 * BATCH_SIZE as f64 / MEAN_SERVICE;
        let rate = capacity * LOAD_SHARE;
        let count = (rate * self.size.seconds as f64) as usize;
        for index in 0..count {
            let micros = self.random.random_range(0..self.size.seconds * 1_000_000);
            let arrived = LocalTime::from_micros(micros);
            let vm = self.random.random_range(0..self.size.vms);
            self.requests.push(SentRequest { vm, arrived });
            self.at(arrived, WorldEvent::Arrival(index));
        }
    }

    fn at(&mut self, time: LocalTime, event: WorldEvent) {
        self.next_number += 1;
        self.events.push(Reverse((time, self.next_number, event)));
    }

    /// Runs until every request has ended.
    pub(super) fn run(mut self) -> RouteOutcome {
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            match event {
                WorldEvent::Arrival(request) => self.arrive(request),
                WorldEvent::End { engine, request } => self.end(engine, request),
                WorldEvent::ReportsTaken => self.take_reports(),
                WorldEvent::ReportsSeen(page) => self.see_reports(page),
                WorldEvent::CacheSeen(page) => self.see_cache(page),
                WorldEvent::Leave => self.leave(),
            }
        }
        self.outcome.lost = self.requests.len() as u64 - self.outcome.ended;
        self.outcome
    }

    fn arrive(&mut self, request: usize) {
        // Few conversations take most of the requests.
        let draw: f64 = self.random.random();
        let prefix = PrefixHash::new((draw * draw * PREFIXES as f64) as u64);
        let job = EngineJob {
            number: request,
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
        if self.engines[index].is_leaving && self.now > self.leave_known {
            self.outcome.sent_to_leaving += 1;
        }
        self.tables[vm].record_sent(&chosen, Some(prefix));
        self.engines[index].submit(job);
        self.start(index);
    }

    fn start(&mut self, engine: usize) {
        while let Some(started) = self.engines[engine].start_next(self.now) {
            self.note(&started);
            let request = started.job.number;
            self.at(started.end, WorldEvent::End { engine, request });
        }
    }

    fn note(&mut self, started: &StartedJob) {
        let arrived = self.requests[started.job.number].arrived;
        let first = started.first_token.since(arrived);
        let is_first = first <= FIRST_TOKEN_BOUND;
        let is_between = started.between <= BETWEEN_TOKENS_BOUND;
        let outcome = &mut self.outcome;
        outcome.ended += 1;
        outcome.first_token_micros += first.micros();
        outcome.within_first += u64::from(is_first);
        outcome.within_between += u64::from(is_between);
        outcome.within_both += u64::from(is_first && is_between);
        outcome.cached += u64::from(started.was_cached);
    }

    fn end(&mut self, engine: usize, request: usize) {
        self.engines[engine].running -= 1;
        let vm = self.requests[request].vm;
        self.tables[vm].record_ended(&endpoint(engine), false, self.now);
        self.start(engine);
    }

    fn take_reports(&mut self) {
        self.report_number += 1;
        let page = (0..self.size.engines)
            .map(|index| self.report(index))
            .collect();
        self.reports.push(page);
        self.at(
            self.now + REPORT_LAG,
            WorldEvent::ReportsSeen(self.reports.len() - 1),
        );
        self.take_cache_events();
        let last = LocalTime::ORIGIN + TimeSpan::from_secs(self.size.seconds);
        if self.now < last {
            self.at(self.now + REPORT_INTERVAL, WorldEvent::ReportsTaken);
        }
    }

    fn take_cache_events(&mut self) {
        let mut page = Vec::new();
        for index in 0..self.size.engines {
            for change in std::mem::take(&mut self.engines[index].changes) {
                if self.random.random_range(0..100) >= LOST_CACHE_EVENTS {
                    page.push((index, change));
                }
            }
        }
        self.cache_pages.push(page);
        self.at(
            self.now + CACHE_EVENT_LAG,
            WorldEvent::CacheSeen(self.cache_pages.len() - 1),
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

    fn see_reports(&mut self, page: usize) {
        for table in &mut self.tables {
            for (index, report) in self.reports[page].iter().enumerate() {
                table.apply_report(&endpoint(index), report.clone(), self.now);
            }
        }
    }

    fn see_cache(&mut self, page: usize) {
        let limit = RouteSettings::default().prefix_limit;
        for table in &mut self.tables {
            for (index, change) in &self.cache_pages[page] {
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
        self.leave_known = self.now + REPORT_INTERVAL + REPORT_LAG;
    }
}
