//! Simulated deployments and their demand.
//!
//! The load of each model varies once an hour between a minimum and ten times
//! that minimum, with a short peak at a random phase and 10% noise.

use super::fake::{CentreSetup, EndpointSetup, FakeKey, FaultRates, WorldSetup};
use clementinepond_decide::plan::{
    AdapterSpec, ComputeLoad, ModelSpec, ModelVersion, PlacementCatalogue, PlanSettings, StoreShare,
};
use clementinepond_types::{
    AdapterId, DataCentreId, EndpointId, MemorySize, ModelId, PriorityClass, TimeSpan,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::f64::consts::TAU;

/// Exponent applied to the sine wave; larger values make the hourly peak shorter.
const PEAK_EXPONENT: i32 = 4;
/// Ratio of the highest to the lowest load, before noise.
const PEAK_TO_LOW_RATIO: f64 = 10.0;
/// Period of the demand curve, in seconds.
const PERIOD_S: f64 = 3_600.0;
/// Maximum relative change of the load by noise.
const NOISE_AMPLITUDE: f64 = 0.1;

/// Names of a deployment's measures in the report.
#[derive(Debug, Clone, Copy)]
pub struct MeasureNames {
    /// Measure of the mean served load per accelerator.
    pub attainment: &'static str,
    /// Measure of the share of the offered load that was served.
    pub served: &'static str,
    /// Measure of the model loads and unloads.
    pub moves: &'static str,
}

/// Size, limits and intervals of one simulated deployment.
#[derive(Debug, Clone, Copy)]
pub struct DeploymentSize {
    /// Prefix of the deployment's targets in the report.
    pub name: &'static str,
    /// Names of the deployment's measures.
    pub measures: MeasureNames,
    /// Number of data centres.
    pub centres: usize,
    /// Number of endpoints in each data centre.
    pub endpoints: usize,
    /// Number of accelerators of each endpoint.
    pub accelerators: u32,
    /// Accelerator memory of each endpoint, in MiB.
    pub memory: u64,
    /// Number of models.
    pub models: usize,
    /// Number of adapters.
    pub adapters: usize,
    /// Maximum model loads per hour, over all data centres.
    pub loads_an_hour: u32,
    /// Maximum concurrent model loads at full store throughput, over all data centres.
    pub loads_at_once: u32,
    /// Maximum concurrent adapter loads, over all data centres.
    pub adapters_at_once: u32,
    /// Mean offered load as a share of the capacity of all accelerators.
    pub mean_utilization: f64,
    /// Minimum and maximum memory of a model, in MiB.
    pub model_memory: (u64, u64),
    /// Maximum load of one copy, in thousandths of an accelerator.
    pub replica_limit: u64,
    /// Interval between plans.
    pub plan_interval: TimeSpan,
    /// Interval between demand observations, in seconds.
    pub step_s: u32,
    /// Interval between reports of an endpoint, in microseconds.
    pub report_us: u64,
    /// Interval between ticks of a VM, in microseconds.
    pub tick_us: u64,
}

/// 9 endpoints, 15 models, 40 adapters, 4 concurrent loads.
pub const MIZUHARA: DeploymentSize = DeploymentSize {
    name: "mizuhara",
    measures: MeasureNames {
        attainment: "mizuhara_attainment_per_accelerator",
        served: "mizuhara_served_share",
        moves: "mizuhara_moves",
    },
    centres: 3,
    endpoints: 3,
    accelerators: 1,
    memory: 80_000,
    models: 15,
    adapters: 40,
    loads_an_hour: 3_600,
    loads_at_once: 4,
    adapters_at_once: 30,
    mean_utilization: 0.6,
    model_memory: (16_000, 40_000),
    replica_limit: 1_000,
    plan_interval: TimeSpan::from_secs(2),
    step_s: 5,
    report_us: 500_000,
    tick_us: 250_000,
};

/// 9 endpoints, 17 models, 55 adapters, 6 concurrent loads.
pub const SKJABORD: DeploymentSize = DeploymentSize {
    name: "skjabord",
    measures: MeasureNames {
        attainment: "skjabord_attainment_per_accelerator",
        served: "skjabord_served_share",
        moves: "skjabord_moves",
    },
    models: 17,
    adapters: 55,
    loads_at_once: 6,
    adapters_at_once: 50,
    ..MIZUHARA
};

/// 600 endpoints of 8 accelerators in 4 data centres, 300 models, 16 concurrent loads.
pub const TARGET: DeploymentSize = DeploymentSize {
    name: "target",
    measures: MeasureNames {
        attainment: "target_attainment_per_accelerator",
        served: "target_served_share",
        moves: "target_moves",
    },
    centres: 4,
    endpoints: 150,
    accelerators: 8,
    memory: 640_000,
    models: 300,
    adapters: 0,
    loads_an_hour: 3_600,
    loads_at_once: 16,
    adapters_at_once: 0,
    mean_utilization: 0.6,
    model_memory: (256_000, 560_000),
    replica_limit: 8_000,
    plan_interval: TimeSpan::from_secs(15),
    step_s: 10,
    report_us: 4_000_000,
    tick_us: 2_000_000,
};

/// One model, with its memory in MiB and its demand in thousandths of an accelerator.
#[derive(Debug, Clone)]
pub(super) struct ModelDemand {
    pub(super) id: ModelId,
    pub(super) memory: u64,
    pub(super) mean: f64,
    phase: f64,
    noise: Vec<f64>,
}

impl ModelDemand {
    /// Returns the load at a time, in thousandths of an accelerator.
    pub(super) fn at(&self, second: f64) -> f64 {
        let wave = 0.5 * (1.0 + (TAU * (second / PERIOD_S + self.phase)).sin());
        let swing = PEAK_TO_LOW_RATIO.powf(wave.powi(PEAK_EXPONENT));
        self.mean * swing / mean_swing() * self.noise_at(second)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the minute of a run is a small index"
    )]
    fn noise_at(&self, second: f64) -> f64 {
        let minute = (second / 60.0) as usize;
        self.noise[minute % self.noise.len()]
    }
}

/// Returns the mean of the demand curve over its period, as a multiple of the lowest load.
fn mean_swing() -> f64 {
    let steps: u32 = 360;
    let total: f64 = (0..steps)
        .map(|step| {
            let wave = 0.5 * (1.0 + (TAU * f64::from(step) / f64::from(steps)).sin());
            PEAK_TO_LOW_RATIO.powf(wave.powi(PEAK_EXPONENT))
        })
        .sum();
    total / f64::from(steps)
}

/// A deployment with the demand of its models.
#[derive(Debug, Clone)]
pub(super) struct Workload {
    pub(super) size: DeploymentSize,
    pub(super) models: Vec<ModelDemand>,
}

impl Workload {
    pub(super) fn new(size: DeploymentSize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let endpoints = u32::try_from(size.centres * size.endpoints).unwrap_or(u32::MAX);
        let total = f64::from(endpoints * size.accelerators) * 1_000.0 * size.mean_utilization;
        // Squared so that a few models carry most of the load.
        let shares: Vec<f64> = (0..size.models)
            .map(|_| rng.random_range(0.2..1.0_f64).powi(2))
            .collect();
        let sum: f64 = shares.iter().sum();
        let models = shares
            .iter()
            .enumerate()
            .map(|(index, share)| ModelDemand {
                id: name(&format!("model-{index}")),
                memory: rng.random_range(size.model_memory.0..=size.model_memory.1),
                mean: total * share / sum,
                phase: rng.random_range(0.0..1.0),
                noise: (0..60)
                    .map(|_| rng.random_range(1.0 - NOISE_AMPLITUDE..1.0 + NOISE_AMPLITUDE))
                    .collect(),
            })
            .collect();
        Self { size, models }
    }

    /// Returns the simulator setup, with copies preloaded for the mean load.
    pub(super) fn setup(&self, settings: PlanSettings) -> WorldSetup {
        let mut settings = settings;
        settings.plan_interval = self.size.plan_interval;
        let preloaded = self.static_placement();
        let centres = (0..self.size.centres)
            .map(|centre| self.centre(centre, &preloaded))
            .collect();
        WorldSetup {
            centres,
            settings,
            rates: FaultRates {
                report_lag_us: 500_000,
                ..FaultRates::default()
            },
            store_at_once: usize::try_from(self.size.loads_at_once).unwrap_or(1),
            load_us: 4_000_000,
            drain_us: 2_000_000,
            report_us: self.size.report_us,
            tick_us: self.size.tick_us,
        }
    }

    fn centre(&self, centre: usize, preloaded: &[Vec<(FakeKey, u64)>]) -> CentreSetup {
        let first = centre * self.size.endpoints;
        CentreSetup {
            id: centre_name(centre),
            vms: 1,
            endpoints: (first..first + self.size.endpoints)
                .map(|index| EndpointSetup {
                    id: endpoint_name(index),
                    memory: self.size.memory,
                    accelerators: self.size.accelerators,
                    checks_fencing: index % 2 == 0,
                    preloaded: preloaded[index].clone(),
                })
                .collect(),
            catalogue: self.catalogue(centre),
        }
    }

    fn catalogue(&self, centre: usize) -> PlacementCatalogue {
        PlacementCatalogue {
            models: self.models.iter().map(|model| self.spec(model)).collect(),
            adapters: self.adapters(),
            exceptions: Vec::new(),
            share: self.share(centre),
            data_centres: (0..self.size.centres)
                .map(centre_name)
                .collect::<BTreeSet<_>>(),
        }
    }

    /// Returns a data centre's share of the store limits; the shares add up to the limits.
    fn share(&self, centre: usize) -> StoreShare {
        let centres = u32::try_from(self.size.centres).unwrap_or(1);
        let index = u32::try_from(centre).unwrap_or(0);
        let share_of = |limit: u32| limit / centres + u32::from(index < limit % centres);
        StoreShare {
            loads_an_hour: share_of(self.size.loads_an_hour),
            loads_at_once: share_of(self.size.loads_at_once),
            adapters_at_once: share_of(self.size.adapters_at_once),
        }
    }

    fn spec(&self, model: &ModelDemand) -> (ModelId, ModelSpec) {
        let spec = ModelSpec {
            version: version(),
            memory_mib: MemorySize::new(model.memory),
            priority: PriorityClass::new(0),
            replica_limit: ComputeLoad::from_milli(self.size.replica_limit),
            resident: false,
        };
        (model.id.clone(), spec)
    }

    fn adapters(&self) -> BTreeMap<AdapterId, AdapterSpec> {
        (0..self.size.adapters)
            .map(|index| {
                let spec = AdapterSpec {
                    model: self.models[index % self.models.len()].id.clone(),
                    memory_mib: MemorySize::new(200),
                };
                (name(&format!("adapter-{index}")), spec)
            })
            .collect()
    }

    /// Returns the memory of a model with its adapters, in MiB.
    fn footprint(&self, index: usize) -> u64 {
        let adapters = (index..self.size.adapters)
            .step_by(self.models.len())
            .count();
        self.models[index].memory + u64::try_from(adapters).unwrap_or(0) * 200
    }

    /// Returns a placement for the mean load, as copies by endpoint.
    ///
    /// Places one copy of each model, then repeatedly another of the model with
    /// the highest load per copy, until no further copy fits.
    pub(super) fn static_placement(&self) -> Vec<Vec<(FakeKey, u64)>> {
        let endpoints = self.size.centres * self.size.endpoints;
        let mut free = vec![self.size.memory; endpoints];
        let mut used = vec![0.0_f64; endpoints];
        let mut placed: Vec<Vec<(FakeKey, u64)>> = vec![Vec::new(); endpoints];
        let mut copies: Vec<u32> = vec![0; self.models.len()];
        let mut unplaceable = vec![false; self.models.len()];
        while let Some(model) = self.next_model_to_place(&copies, &unplaceable) {
            let key = (self.models[model].id.clone(), version());
            let need = self.footprint(model);
            let endpoint = (0..endpoints)
                .filter(|&endpoint| free[endpoint] >= need)
                .filter(|&endpoint| placed[endpoint].iter().all(|(held, _)| *held != key))
                .min_by(|&left, &right| used[left].total_cmp(&used[right]));
            let Some(endpoint) = endpoint else {
                unplaceable[model] = true;
                continue;
            };
            free[endpoint] -= need;
            copies[model] += 1;
            used[endpoint] += self.models[model].mean / f64::from(copies[model]);
            placed[endpoint].push((key, self.models[model].memory));
        }
        placed
    }

    fn next_model_to_place(&self, copies: &[u32], unplaceable: &[bool]) -> Option<usize> {
        let rank = |index: usize| {
            let load = self.models[index].mean / f64::from(copies[index].max(1));
            (copies[index] == 0, load)
        };
        (0..self.models.len())
            .filter(|&index| !unplaceable[index])
            .max_by(|&left, &right| {
                let (left, right) = (rank(left), rank(right));
                left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
            })
    }
}

/// Returns the initial version of every model.
pub(super) fn version() -> ModelVersion {
    ModelVersion::from("v1")
}

fn centre_name(index: usize) -> DataCentreId {
    name(&format!("dc-{index}"))
}

fn endpoint_name(index: usize) -> EndpointId {
    name(&format!("runner-{index}"))
}

/// Converts a text that is known to be valid into a typed name.
pub(super) fn name<T: TryFrom<Box<str>>>(text: &str) -> T {
    T::try_from(text.into()).unwrap_or_else(|_| unreachable!())
}
