//! Small worlds in which everything goes wrong and the holder is killed in
//! the middle of its moves.

use super::fake::{CentreSetup, EndpointSetup, FakeWorld, FaultRates, WorldChecks, WorldSetup};
use super::run_policy::count;
use super::workload::{name, version};
use crate::{ExperimentReport, TargetResult};
use clementinepond_decide::plan::{
    AdapterSpec, ComputeLoad, ModelSpec, ModelVersion, PlacementCatalogue, PlanMutation,
    PlanSettings, StoreShare,
};
use clementinepond_types::{MemorySize, ModelId, PriorityClass, TimeSpan};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;
/// Schedules of one run.
const SCHEDULES: u64 = 1_000;
/// Time with faults, in seconds.
const FAULTY_S: u64 = 150;
/// Longest time to become whole again, in seconds.
const HEALING_S: u64 = 400;
/// Time of a graceful shutdown, in seconds.
const SHUTDOWN_S: u64 = 10;
/// Endpoints of the small world.
const ENDPOINTS: usize = 4;
/// Models of the small world.
const MODELS: u64 = 6;

/// What one schedule led to.
#[derive(Debug, Clone, Copy)]
pub struct ScheduleResult {
    /// Breaches of the must-holds.
    pub checks: WorldChecks,
    /// Whether every model is ready again and nothing is under way.
    pub is_whole: bool,
    /// Holders that were killed.
    pub kills: u32,
}

/// Kills the holder in the middle of its moves, over many seeded schedules.
#[must_use]
pub fn run_recovery(seed: u64) -> ExperimentReport {
    run_schedules(seed, SCHEDULES)
}

/// Runs some schedules; their seeds follow from the given one.
#[must_use]
pub fn run_schedules(seed: u64, schedules: u64) -> ExperimentReport {
    let mut report = ExperimentReport::new("placement-recovery", seed);
    let mut whole = 0;
    for schedule in 0..schedules {
        let result = run_schedule(seed.wrapping_mul(SCHEDULES).wrapping_add(schedule), &[]);
        add(&mut report, &result);
        whole += u64::from(result.is_whole);
    }
    let overcommitted = report.violations.get("overcommitted_memory").copied();
    report.targets = vec![
        TargetResult::at_least("schedules whole again", count(schedules), count(whole)),
        TargetResult::at_most(
            "overcommitted memory",
            0.0,
            count(overcommitted.unwrap_or_default()),
        ),
    ];
    report
}

fn add(report: &mut ExperimentReport, result: &ScheduleResult) {
    let checks = result.checks;
    let found = [
        ("overcommitted_memory", checks.overcommitted),
        ("last_copies_unloaded", checks.last_copies_unloaded),
        ("orders_of_old_holders", checks.old_orders),
        ("not_whole_again", u64::from(!result.is_whole)),
    ];
    for (name, count) in found {
        *report.violations.entry(name).or_default() += count;
    }
    let measures = report.policies.entry("current").or_default();
    *measures.entry("moves").or_default() += count(checks.moves);
    *measures.entry("orders").or_default() += count(checks.orders);
    *measures.entry("holders_killed").or_default() += f64::from(result.kills);
}

/// Runs one schedule, with the named guards removed.
///
/// Reports lag on even seeds; on odd ones they are prompt, and endpoints
/// restart and VMs pause more often.
#[must_use]
pub fn run_schedule(seed: u64, mutations: &[PlanMutation]) -> ScheduleResult {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = FakeWorld::new(setup(mutations, rates(seed)), seed);
    let mut kills = 0;
    let mut leaving = Vec::new();
    for second in 0..FAULTY_S {
        world.run_until(second * SECOND_US);
        kills += disturb(&mut world, &mut rng, second, &mut leaving);
    }
    // A shutdown that began is carried to its end; else no VM could be left
    // that takes the lease.
    for (_, vm) in leaving {
        world.kill(vm);
    }
    world.set_rates(FaultRates::default());
    let is_whole = heal(&mut world);
    ScheduleResult {
        checks: world.checks,
        is_whole,
        kills,
    }
}

/// Changes the demand, the version and the holder.
fn disturb(
    world: &mut FakeWorld,
    rng: &mut ChaCha8Rng,
    second: u64,
    leaving: &mut Vec<(u64, usize)>,
) -> u32 {
    let mut kills = 0;
    if second.is_multiple_of(10) {
        for model in 0..MODELS {
            let load = if rng.random_bool(0.3) { 1_500 } else { 100 };
            world.observe_demand(0, &model_name(model), load);
        }
    }
    if second % 60 == 59 {
        let version = format!("v{}", second / 60 + 2);
        world.set_catalogue(0, catalogue(ModelVersion::from(version.as_str())));
    }
    leaving.retain(|&(at, vm)| {
        if at == second {
            world.kill(vm);
        }
        at > second
    });
    let Some(holder) = world.holder(0) else {
        return kills;
    };
    let is_moving = !world.is_quiet(0);
    if is_moving && rng.random_bool(0.03) {
        world.kill(holder);
        kills += 1;
    } else if rng.random_bool(0.03) {
        world.release(holder);
        leaving.push((second + SHUTDOWN_S, holder));
    }
    if rng.random_bool(0.01) {
        world.restart(rng.random_range(0..ENDPOINTS));
    }
    kills
}

/// Waits until the placement is whole and at rest.
fn heal(world: &mut FakeWorld) -> bool {
    for model in 0..MODELS {
        world.observe_demand(0, &model_name(model), 100);
    }
    let start = world.now();
    for second in 1..=HEALING_S {
        world.run_until(start + second * SECOND_US);
        let is_ready = |model| {
            let name = model_name(model);
            world.engines.iter().any(|engine| engine.serves(&name))
        };
        if world.is_quiet(0) && (0..MODELS).all(is_ready) {
            return true;
        }
    }
    false
}

fn setup(mutations: &[PlanMutation], rates: FaultRates) -> WorldSetup {
    WorldSetup {
        centres: vec![CentreSetup {
            id: name("dc-0"),
            vms: 3,
            endpoints: (0..ENDPOINTS)
                .map(|index| EndpointSetup {
                    id: name(&format!("runner-{index}")),
                    memory: 1_000,
                    accelerators: 2,
                    checks_fencing: index % 2 == 0,
                    preloaded: Vec::new(),
                })
                .collect(),
            catalogue: catalogue(version()),
        }],
        settings: PlanSettings {
            candidate_read_interval: TimeSpan::from_millis(300),
            candidate_stagger: TimeSpan::from_millis(500),
            mutations: mutations.iter().copied().collect(),
            ..PlanSettings::default()
        },
        rates,
        store_at_once: 4,
        load_us: 4 * SECOND_US,
        drain_us: 2 * SECOND_US,
        report_us: SECOND_US / 4,
        tick_us: SECOND_US / 4,
    }
}

fn rates(seed: u64) -> FaultRates {
    let laggy = FaultRates {
        order_lost: 0.1,
        order_doubled: 0.2,
        order_late: 0.2,
        report_lost: 0.1,
        report_lag_us: 3 * SECOND_US,
        answer_lost: 0.05,
        pause: 0.01,
        pause_us: 25 * SECOND_US,
        restart: 0.001,
    };
    if seed.is_multiple_of(2) {
        return laggy;
    }
    FaultRates {
        order_doubled: 0.5,
        report_lag_us: SECOND_US / 10,
        pause: 0.03,
        pause_us: 40 * SECOND_US,
        restart: 0.005,
        ..laggy
    }
}

fn catalogue(version: ModelVersion) -> PlacementCatalogue {
    let spec = |model| ModelSpec {
        version: version.clone(),
        memory_mib: MemorySize::new(250 + 30 * model),
        priority: PriorityClass::new(0),
        replica_limit: ComputeLoad::accelerators(1),
        resident: true,
    };
    PlacementCatalogue {
        models: (0..MODELS)
            .map(|model| (model_name(model), spec(model)))
            .collect(),
        adapters: (0..2)
            .map(|index| {
                let adapter = AdapterSpec {
                    model: model_name(index),
                    memory_mib: MemorySize::new(30),
                };
                (name(&format!("adapter-{index}")), adapter)
            })
            .collect(),
        exceptions: Vec::new(),
        share: StoreShare {
            loads_an_hour: 3_600,
            loads_at_once: 4,
            adapters_at_once: 30,
        },
        data_centres: BTreeSet::from([name("dc-0")]),
    }
}

fn model_name(model: u64) -> ModelId {
    name(&format!("model-{model}"))
}
