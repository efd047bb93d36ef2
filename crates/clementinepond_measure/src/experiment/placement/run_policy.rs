//! Simulation of one policy on one deployment.

use super::attainment::{ModelLoad, ServedLoad, serve};
use super::fake::{FakeWorld, WorldChecks};
use super::policy::PlacementPolicy;
use super::workload::Workload;
use clementinepond_types::ModelId;
use std::collections::BTreeMap;

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;
/// Maximum duration before measurement starts, in seconds; never longer than the measurement.
const WARM_UP_DURATION_S: u32 = 300;

/// Result of one run.
#[derive(Debug, Clone, Copy)]
pub(super) struct PolicyResult {
    /// Mean served load per accelerator, as a share of its capacity.
    pub(super) attainment: f64,
    /// Share of the offered load that was served.
    pub(super) served: f64,
    pub(super) moves: f64,
    pub(super) checks: WorldChecks,
    /// Number of observations of a model without a ready copy, counted per model
    /// and step, warm-up included.
    pub(super) without_copy: u64,
}

/// Runs a policy for `seconds` after the warm-up.
pub(super) fn run(
    workload: &Workload,
    policy: PlacementPolicy,
    seed: u64,
    seconds: u32,
) -> PolicyResult {
    let step = workload.size.step_s;
    let mut setup = workload.setup(policy.settings());
    if policy == PlacementPolicy::Static {
        for centre in &mut setup.centres {
            centre.vms = 0;
        }
    }
    let mut world = FakeWorld::new(setup, seed);
    let mut offered = 0.0;
    let mut served = 0.0;
    let mut without_copy = 0;
    let mut warm_up_moves = 0;
    let warm_up = WARM_UP_DURATION_S.min(seconds);
    for second in (0..warm_up + seconds).step_by(usize::try_from(step).unwrap_or(1)) {
        world.run_until(u64::from(second) * SECOND_US);
        let loads = loads(workload, f64::from(second));
        let allocation = serve(&world.engines, &loads);
        report_demand(&mut world, workload, &loads, &allocation);
        without_copy += count_missing_models(&world, workload);
        if second < warm_up {
            warm_up_moves = world.checks.moves;
            continue;
        }
        offered += loads.values().map(|load| load.offered).sum::<f64>();
        served += allocation.total;
    }
    let accelerators: u32 = world.engines.iter().map(|engine| engine.accelerators).sum();
    let steps = f64::from(seconds.div_ceil(step));
    PolicyResult {
        attainment: served / steps / 1_000.0 / f64::from(accelerators),
        served: served / offered,
        moves: count(world.checks.moves - warm_up_moves),
        checks: world.checks,
        without_copy,
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
pub(super) fn count(value: u64) -> f64 {
    value as f64
}

#[expect(clippy::cast_precision_loss, reason = "limits are small")]
fn loads(workload: &Workload, second: f64) -> BTreeMap<ModelId, ModelLoad> {
    workload
        .models
        .iter()
        .map(|model| {
            let load = ModelLoad {
                offered: model.at(second),
                replica_limit: workload.size.replica_limit as f64,
            };
            (model.id.clone(), load)
        })
        .collect()
}

/// Reports to each data centre the load that it served and an equal share of the unserved load.
fn report_demand(
    world: &mut FakeWorld,
    workload: &Workload,
    loads: &BTreeMap<ModelId, ModelLoad>,
    served: &ServedLoad,
) {
    world.announce_ready_models();
    let centres = workload.size.centres;
    let centre_count = f64::from(u32::try_from(centres).unwrap_or(1));
    for (id, load) in loads {
        let copies = served.by_copy.get(id).map_or(&[][..], Vec::as_slice);
        let total: f64 = copies.iter().map(|(_, load)| load).sum();
        let unserved = (load.offered - total).max(0.0) / centre_count;
        for centre in 0..centres {
            let served_here: f64 = copies
                .iter()
                .filter(|(endpoint, _)| world.engine_centres[*endpoint] == centre)
                .map(|(_, load)| load)
                .sum();
            world.observe_demand(centre, id, round_load(served_here + unserved));
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "loads are small and not negative"
)]
fn round_load(load: f64) -> u64 {
    load.round() as u64
}

fn count_missing_models(world: &FakeWorld, workload: &Workload) -> u64 {
    let missing = workload
        .models
        .iter()
        .filter(|model| !world.engines.iter().any(|engine| engine.serves(&model.id)))
        .count();
    u64::try_from(missing).unwrap_or(u64::MAX)
}
