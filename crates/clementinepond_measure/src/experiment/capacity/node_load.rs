//! Drives one node reducer with control events and requests, and measures its cost.

use clementinepond_decide::claim::ClaimSettings;
use clementinepond_decide::configuration::{ConfigurationEvent, ConfigurationSettings};
use clementinepond_decide::crash::{CrashSettings, RequestFingerprint};
use clementinepond_decide::limit::{AccountLimit, AccountTable, LimitSettings};
use clementinepond_decide::node::{
    EndpointObservation, FleetView, NodeEffect, NodeEvent, NodeSettings, NodeState, reduce,
};
use clementinepond_decide::plan::{
    ComputeLoad, EndpointReport, EndpointSpec, Incarnation, ModelReport, ModelSpec, ModelState,
    ModelVersion, OrderNumber, PlacementCatalogue, PlanSettings, ReportNumber,
};
use clementinepond_decide::port::VersionedObject;
use clementinepond_decide::request::{AttemptOutcome, RequestEvent, RequestPolicy, RequestProfile};
use clementinepond_decide::roster::{
    IncarnationId, RosterEvent, RosterMember, RosterSettings, RosterTable, UpdateNonce,
    WHOLE_PARTS, WatchAnswer, WatchChange,
};
use clementinepond_decide::route::{EndpointProfile, EndpointRole, RouteSettings, RouteTarget};
use clementinepond_types::{
    AccountId, DataCentreId, EndpointId, Epoch, FencingNumber, LocalTime, MemorySize, ModelId,
    ObjectVersion, PartCount, PriorityClass, RequestTicket, TimeSpan, TokenCount, TokenRate, VmId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::time::Instant;

/// Number of VMs in one data centre at the target size.
const VM_COUNT: usize = 98;
/// Ticks of the node task per second.
const TICKS_PER_SECOND: u64 = 50;
/// Virtual seconds covered by the measurement.
const TIMED_SECONDS: u64 = 12;
/// Virtual seconds before the measurement starts.
const WARM_UP_SECONDS: u64 = 4;
/// Number of requests covered by the measurement.
const TIMED_REQUESTS: u64 = 2_000;
/// Number of models loaded on each endpoint.
const MODELS_PER_ENDPOINT: usize = 4;
const INCARNATION: u64 = 7;

/// Dimensions on which the cost depends.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadSize {
    pub(super) accounts: usize,
    pub(super) endpoints: usize,
    pub(super) models: usize,
    /// Endpoint reports that the VM reads per second.
    pub(super) reports_per_second: usize,
}

/// Cost of the control work.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadCost {
    pub(super) core_share: f64,
    pub(super) memory_mb: f64,
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

fn vm(index: usize) -> VmId {
    parse_name(&format!("vm-{index}"))
}

fn model(index: usize) -> ModelId {
    parse_name(&format!("model-{index}"))
}

fn endpoint(index: usize) -> EndpointId {
    parse_name(&format!("endpoint-{index}"))
}

fn account(index: usize) -> AccountId {
    parse_name(&format!("account-{index}"))
}

fn data_centre() -> DataCentreId {
    parse_name("dc-1")
}

/// Measures the core share and the growth in resident memory of one VM's control work.
pub(super) fn measure(size: LoadSize, seed: u64) -> LoadCost {
    let before = resident_mb();
    let mut load = NodeLoad::new(size, VM_COUNT, seed);
    load.run(WARM_UP_SECONDS);
    let start = Instant::now();
    load.run(TIMED_SECONDS);
    let elapsed = start.elapsed().as_secs_f64();
    LoadCost {
        core_share: elapsed / TIMED_SECONDS as f64,
        memory_mb: (resident_mb() - before).max(0.0),
    }
}

/// Cost of handling requests.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestCost {
    /// Mean reducer time per request, in microseconds.
    pub(super) micros: f64,
    /// Requests that were not dispatched immediately on arrival.
    pub(super) not_dispatched: u64,
}

/// Measures the mean reducer time per request.
pub(super) fn request_cost(size: LoadSize, seed: u64) -> RequestCost {
    // A single VM holds all parts of the data centre's share, so that no request waits for
    // another VM.
    let mut load = NodeLoad::new(size, 1, seed);
    load.run(WARM_UP_SECONDS + 30);
    let start = Instant::now();
    let dispatched = (1..=TIMED_REQUESTS)
        .filter(|number| load.dispatch_request(*number))
        .count() as u64;
    RequestCost {
        micros: start.elapsed().as_secs_f64() * 1e6 / TIMED_REQUESTS as f64,
        not_dispatched: TIMED_REQUESTS - dispatched,
    }
}

fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1024.0
}

struct NodeLoad {
    state: NodeState,
    size: LoadSize,
    now: LocalTime,
    random: ChaCha8Rng,
    next_report: usize,
    report_number: u64,
}

impl NodeLoad {
    fn new(size: LoadSize, members: usize, seed: u64) -> Self {
        let now = LocalTime::from_micros(1_000_000);
        let mut load = Self {
            state: NodeState::new(settings(), now),
            size,
            now,
            random: ChaCha8Rng::seed_from_u64(seed),
            next_report: 0,
            report_number: 0,
        };
        load.apply(NodeEvent::Roster(RosterEvent::TablesWatched(
            roster_watch_answer(members),
        )));
        load.apply(NodeEvent::FleetChanged(Box::new(fleet_view(size))));
        load.apply(NodeEvent::Configuration(ConfigurationEvent::Applied {
            version: ObjectVersion::new(1),
        }));
        for _ in 0..size.endpoints {
            load.report_next_endpoint();
        }
        load
    }

    fn apply(&mut self, event: NodeEvent) -> Vec<NodeEffect> {
        reduce(&mut self.state, event, self.now)
    }

    fn run(&mut self, seconds: u64) {
        let step = TimeSpan::from_micros(1_000_000 / TICKS_PER_SECOND);
        let reports_per_tick = self
            .size
            .reports_per_second
            .div_ceil(TICKS_PER_SECOND as usize);
        let mut reported = 0;
        for tick in 0..seconds * TICKS_PER_SECOND {
            self.now = self.now + step;
            let seed = self.random.random();
            self.apply(NodeEvent::Tick { seed });
            let due = self.size.reports_per_second as u64 * (tick + 1) / TICKS_PER_SECOND;
            for _ in 0..reports_per_tick {
                if reported < due {
                    reported += 1;
                    self.report_next_endpoint();
                }
            }
        }
    }

    fn report_next_endpoint(&mut self) {
        let index = self.next_report % self.size.endpoints;
        self.next_report += 1;
        self.report_number += 1;
        let observation = EndpointObservation {
            report: endpoint_report(index, self.report_number, self.size.models),
            running: 3,
            queued: 0,
            requested_at: self.now,
        };
        self.apply(NodeEvent::EndpointReported {
            endpoint: endpoint(index),
            observation: Box::new(observation),
        });
    }

    /// Sends one request through the reducer and returns whether it was dispatched immediately.
    fn dispatch_request(&mut self, number: u64) -> bool {
        let ticket = RequestTicket::new(number);
        let index = number as usize;
        let model = model(index % self.size.models);
        let account = account(index % self.size.accounts);
        let profile = RequestProfile {
            fingerprint: RequestFingerprint::new(&account, &model, &number.to_le_bytes()),
            account: Some(account),
            target: RouteTarget::Model {
                model,
                adapter: None,
            },
            prompt: TokenCount::new(1),
            output: TokenCount::new(1),
            priority: PriorityClass::new(0),
            repeatable: true,
            idempotency: None,
            prefix: None,
            admission_deadline: self.now + TimeSpan::from_millis(300),
            deadline: self.now + TimeSpan::from_secs(60),
        };
        let effects = self.apply(NodeEvent::Request(RequestEvent::Arrived {
            ticket,
            profile,
        }));
        let mut is_dispatched = false;
        for effect in effects {
            if let NodeEffect::Dispatch(order) = effect {
                is_dispatched = true;
                self.apply(NodeEvent::Request(RequestEvent::AttemptEnded {
                    ticket,
                    attempt: order.attempt,
                    outcome: AttemptOutcome::Complete {
                        used_tokens: Some(2),
                        record: None,
                    },
                }));
            }
        }
        is_dispatched
    }
}

fn settings() -> NodeSettings {
    NodeSettings {
        vm: vm(0),
        data_centre: data_centre(),
        address: "127.0.0.1:7000".into(),
        incarnation: INCARNATION,
        request: RequestPolicy {
            attempt_limit: 4,
            retry_percent: 20,
        },
        route: RouteSettings::default(),
        roster: RosterSettings::default(),
        configuration: ConfigurationSettings::default(),
        limit: LimitSettings::default(),
        claim: ClaimSettings::default(),
        crash: CrashSettings::default(),
        plan: PlanSettings::default(),
    }
}

fn roster_watch_answer(member_count: usize) -> WatchAnswer<RosterTable> {
    let members: BTreeMap<VmId, RosterMember> = (0..member_count)
        .map(|index| {
            let member = RosterMember {
                address: format!("127.0.0.1:{}", 7_000 + index).into(),
                incarnation: IncarnationId::new(INCARNATION + index as u64),
                parts: PartCount::new(WHOLE_PARTS / member_count as u32),
            };
            (vm(index), member)
        })
        .collect();
    let table = RosterTable {
        data_centre: data_centre(),
        epoch: Epoch::new(1),
        share: PartCount::new(256),
        share_version: ObjectVersion::new(1),
        share_releasing: false,
        members,
        holder: vm(0),
        nonce: UpdateNonce::default(),
    };
    let version = ObjectVersion::new(2);
    WatchAnswer::Changes {
        version,
        changes: vec![WatchChange {
            name: data_centre().as_str().into(),
            object: Some(VersionedObject {
                version,
                value: table,
            }),
        }],
    }
}

fn fleet_view(size: LoadSize) -> FleetView {
    let limit = AccountLimit {
        rate: TokenRate::new(1_000_000),
        burst: TokenCount::new(10_000_000),
    };
    let spec = ModelSpec {
        version: ModelVersion::from("1"),
        memory_mib: MemorySize::new(1_024),
        priority: PriorityClass::new(0),
        replica_limit: ComputeLoad::accelerators(1),
        resident: false,
    };
    FleetView {
        version: ObjectVersion::new(1),
        endpoints: (0..size.endpoints)
            .map(|index| {
                let profile = EndpointProfile {
                    data_centre: data_centre(),
                    role: EndpointRole::Engine,
                    leaving: false,
                };
                (endpoint(index), profile)
            })
            .collect(),
        engines: (0..size.endpoints / 4)
            .map(|index| (endpoint(index), EndpointSpec::default()))
            .collect(),
        accounts: AccountTable {
            version: ObjectVersion::new(1),
            limits: (0..size.accounts)
                .map(|index| (account(index), limit))
                .collect(),
        },
        catalogue: PlacementCatalogue {
            models: (0..size.models)
                .map(|index| (model(index), spec.clone()))
                .collect(),
            data_centres: [data_centre()].into(),
            ..PlacementCatalogue::default()
        },
        capacities: (0..size.models).map(|index| (model(index), 400)).collect(),
        share: PartCount::new(256),
        data_centres: vec![data_centre()],
    }
}

fn endpoint_report(index: usize, number: u64, models: usize) -> EndpointReport {
    EndpointReport {
        endpoint: endpoint(index),
        incarnation: Incarnation::new(1),
        report_number: ReportNumber::new(number),
        last_order: OrderNumber::default(),
        memory_mib: MemorySize::new(80 * 1_024),
        used_mib: MemorySize::new(4 * 1_024),
        draining: false,
        fencing_number: FencingNumber::new(0),
        models: (0..MODELS_PER_ENDPOINT)
            .map(|copy| ModelReport {
                model: model((index * MODELS_PER_ENDPOINT + copy) % models),
                version: ModelVersion::from("1"),
                state: ModelState::Ready,
                memory_mib: MemorySize::new(1_024),
            })
            .collect(),
        adapters: Vec::new(),
    }
}
