//! Deployments and their demand.
//!
//! The load of each model swings once an hour between a low and ten times
//! it, each at its own time of the hour, with a short peak and some noise.

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

/// Sharpness of the hourly peak.
const PEAK_POWER: i32 = 4;
/// Factor between the lowest and the highest load.
const SWING: f64 = 10.0;
/// Period of the swing, in seconds.
const PERIOD_S: f64 = 3_600.0;
/// Share by which noise changes the load.
const NOISE: f64 = 0.1;

/// Names of a deployment's measures.
#[derive(Debug, Clone, Copy)]
pub struct MeasureNames {
    /// Served load of one accelerator.
    pub attainment: &'static str,
    /// Share of the offered load that was served.
    pub served: &'static str,
    /// Loads and unloads.
    pub moves: &'static str,
}

/// Size of one deployment.
#[derive(Debug, Clone, Copy)]
pub struct DeploymentSize {
    /// Name in the targets.
    pub name: &'static str,
    /// Names of the measures.
    pub measures: MeasureNames,
    /// Data centres.
    pub centres: usize,
    /// Endpoints in each data centre.
    pub endpoints: usize,
    /// Accelerators of each endpoint.
    pub accelerators: u32,
    /// Memory of each endpoint, in MiB.
    pub memory: u64,
    /// Models.
    pub models: usize,
    /// Adapters.
    pub adapters: usize,
    /// Loads an hour, over all data centres.
    pub loads_an_hour: u32,
    /// Loads at once at full speed, over all data centres.
    pub loads_at_once: u32,
    /// Adapters in transit at full speed, over all data centres.
    pub adapters_at_once: u32,
    /// Mean load as a share of all accelerators.
    pub mean_use: f64,
    /// Smallest and largest memory of a model, in MiB.
    pub model_memory: (u64, u64),
    /// Load that one copy can carry, in thousandths of an accelerator.
    pub replica_limit: u64,
    /// Time between two plans.
    pub plan_interval: TimeSpan,
    /// Time between two observations of demand, in seconds.
    pub step_s: u32,
    /// Time between two reports, in microseconds.
    pub report_us: u64,
    /// Time between two ticks of a VM, in microseconds.
    pub tick_us: u64,
}

/// Nine runners, 15 models, 40 adapters; four loads at once.
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
    mean_use: 0.6,
    model_memory: (16_000, 40_000),
    replica_limit: 1_000,
    plan_interval: TimeSpan::from_secs(2),
    step_s: 5,
    report_us: 500_000,
    tick_us: 250_000,
};

/// Nine runners, 17 models, 55 adapters; six loads at once.
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

/// 600 endpoints of 8 accelerators, 300 models, four data centres.
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
    mean_use: 0.6,
    model_memory: (256_000, 560_000),
    replica_limit: 8_000,
    plan_interval: TimeSpan::from_secs(15),
    step_s: 10,
    report_us: 4_000_000,
    tick_us: 2_000_000,
};

/// One model with its demand.
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
        let swing = SWING.powf(wave.powi(PEAK_POWER));
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

/// Returns the mean of the swing over its period.
fn mean_swing() -> f64 {
    let steps: u32 = 360;
    let total: f64 = (0..steps)
        .map(|step| {
            let wave = 0.5 * (1.0 + (TAU * f64::from(step) / f64::from(steps)).sin());
            SWING.powf(wave.powi(PEAK_POWER))
        })
        .sum();
    total / f64::from(steps)
}

/// A deployment with its demand.
#[derive(Debug, Clone)]
pub(super) struct Workload {
    pub(super) size: DeploymentSize,
    pub(super) models: Vec<ModelDemand>,
}

impl Workload {
    pub(super) fn new(size: DeploymentSize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let endpoints = u32::try_from(size.centres * size.endpoints).unwrap_or(u32::MAX);
        let total = f64::from(endpoints * size.accelerators) * 1_000.0 * size.mean_use;
        // A few models are large, most are small.
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
                    .map(|_| rng.random_range(1.0 - NOISE..1.0 + NOISE))
                    .collect(),
            })
            .collect();
        Self { size, models }
    }

    /// Returns the world, with a placement made for the mean load.
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
                    id: name_endpoint(index),
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

    /// Divides the store's limits without a rest over the data centres.
    fn share(&self, centre: usize) -> StoreShare {
        let centres = u32::try_from(self.size.centres).unwrap_or(1);
        let index = u32::try_from(centre).unwrap_or(0);
        let part = |whole: u32| whole / centres + u32::from(index < whole % centres);
        StoreShare {
            loads_an_hour: part(self.size.loads_an_hour),
            loads_at_once: part(self.size.loads_at_once),
            adapters_at_once: part(self.size.adapters_at_once),
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
        let beside = (index..self.size.adapters)
            .step_by(self.models.len())
            .count();
        self.models[index].memory + u64::try_from(beside).unwrap_or(0) * 200
    }

    /// Fills all memory for the mean load: a copy of each model, then always
    /// one more of the model with the most load on each copy.
    pub(super) fn static_placement(&self) -> Vec<Vec<(FakeKey, u64)>> {
        let endpoints = self.size.centres * self.size.endpoints;
        let mut free = vec![self.size.memory; endpoints];
        let mut used = vec![0.0_f64; endpoints];
        let mut placed: Vec<Vec<(FakeKey, u64)>> = vec![Vec::new(); endpoints];
        let mut copies: Vec<u32> = vec![0; self.models.len()];
        let mut full = vec![false; self.models.len()];
        while let Some(model) = self.neediest(&copies, &full) {
            let key = (self.models[model].id.clone(), version());
            let need = self.footprint(model);
            let place = (0..endpoints)
                .filter(|&place| free[place] >= need)
                .filter(|&place| placed[place].iter().all(|(held, _)| *held != key))
                .min_by(|&left, &right| used[left].total_cmp(&used[right]));
            let Some(place) = place else {
                full[model] = true;
                continue;
            };
            free[place] -= need;
            copies[model] += 1;
            used[place] += self.models[model].mean / f64::from(copies[model]);
            placed[place].push((key, self.models[model].memory));
        }
        placed
    }

    fn neediest(&self, copies: &[u32], full: &[bool]) -> Option<usize> {
        let rank = |index: usize| {
            let load = self.models[index].mean / f64::from(copies[index].max(1));
            (copies[index] == 0, load)
        };
        (0..self.models.len())
            .filter(|&index| !full[index])
            .max_by(|&left, &right| {
                let (left, right) = (rank(left), rank(right));
                left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
            })
    }
}

/// Returns the version that all models have.
pub(super) fn version() -> ModelVersion {
    ModelVersion::from("v1")
}

fn centre_name(index: usize) -> DataCentreId {
    name(&format!("dc-{index}"))
}

fn name_endpoint(index: usize) -> EndpointId {
    name(&format!("runner-{index}"))
}

/// Builds a checked name from text that is known to be one.
pub(super) fn name<T: TryFrom<Box<str>>>(text: &str) -> T {
    T::try_from(text.into()).unwrap_or_else(|_| unreachable!())
}
