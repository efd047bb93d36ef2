//! Demand for models at one VM.

use crate::load::NameHash;
use crate::peer::ModelDemand;
use clementinepond_types::LocalTime;
use fnv::FnvHashMap;

/// Decay time of the moving averages, in seconds; short, since demand shifts between
/// models within seconds.
const DECAY_TIME_S: f64 = 1.5;
/// Demand at or below which a model is dropped after it has been reported once more, in
/// prompt and output tokens per second. The demand of a single request stays above it
/// for some seconds.
const MIN_REPORTED_TOKENS_PER_S: f32 = 3.0;
/// Prompt tokens per second that an engine processes while it also generates.
const PREFILL_TOKENS_PER_S: f64 = 24_000.0;
/// Tokens per second that an engine generates at a moderate batch size.
const OUTPUT_TOKENS_PER_S: f64 = 3_000.0;

/// Exponentially decaying averages of the demand for each model.
#[derive(Debug, Default)]
pub struct DemandMeter {
    /// Demand and the time of its last update, by model.
    models: FnvHashMap<NameHash, (ModelDemand, LocalTime)>,
}

impl DemandMeter {
    /// Counts a request with its uncached prompt tokens and requested output tokens,
    /// whether or not it is served.
    pub fn record(&mut self, model: NameHash, prefill: u64, output: u64, now: LocalTime) {
        let (demand, at) = self
            .models
            .entry(model)
            .or_insert((ModelDemand::default(), now));
        *demand = decayed(*demand, *at, now);
        *at = now;
        let weight = (1.0 / DECAY_TIME_S) as f32;
        demand.prefill_per_s += prefill as f32 * weight;
        demand.output_per_s += output as f32 * weight;
    }

    /// Returns the current demand for each model and then drops models with negligible
    /// demand.
    pub fn snapshot(&mut self, now: LocalTime) -> Vec<(NameHash, ModelDemand)> {
        let current: Vec<_> = self
            .models
            .iter()
            .map(|(model, (demand, at))| (*model, decayed(*demand, *at, now)))
            .collect();
        self.models.retain(|_, (demand, at)| {
            tokens_per_s(decayed(*demand, *at, now)) > MIN_REPORTED_TOKENS_PER_S
        });
        current
    }
}

fn tokens_per_s(demand: ModelDemand) -> f32 {
    demand.prefill_per_s + demand.output_per_s
}

fn decayed(demand: ModelDemand, at: LocalTime, now: LocalTime) -> ModelDemand {
    let seconds = now.since(at).micros() as f64 / 1e6;
    let factor = (-seconds / DECAY_TIME_S).exp() as f32;
    ModelDemand {
        prefill_per_s: demand.prefill_per_s * factor,
        output_per_s: demand.output_per_s * factor,
    }
}

/// Returns the number of engines that a demand keeps busy.
#[must_use]
pub fn utilization(demand: ModelDemand) -> f64 {
    f64::from(demand.prefill_per_s) / PREFILL_TOKENS_PER_S
        + f64::from(demand.output_per_s) / OUTPUT_TOKENS_PER_S
}
