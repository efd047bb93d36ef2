//! Plan of all requests of a run, drawn from the seed before sending starts.

use super::load_options::{LoadForm, LoadOptions};
use clementinepond_types::TimeSpan;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt::Write;
use uuid::{Builder, Uuid};

/// Request to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Position in the plan, from 0.
    pub number: u64,
    /// Send time relative to the start of the run.
    pub send_offset: TimeSpan,
    /// Index of the caller in the options.
    pub caller: usize,
    /// Index of the model in the options; none for a service, or if the options
    /// name no models.
    pub model: Option<usize>,
    /// Index of the workload in the options.
    pub workload: usize,
    /// Content of the prompt or body, unique within the plan.
    pub content: Box<str>,
    /// Value of `max_tokens` in the request.
    pub max_tokens: u32,
    /// Idempotency key, if the workload is keyed.
    pub key: Option<Uuid>,
}

/// Draws all requests of a run; only the timestamps in idempotency keys depend
/// on the clock instead of the seed.
#[must_use]
pub fn plan_requests(options: &LoadOptions) -> Vec<PlannedRequest> {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let mut requests = Vec::new();
    let mut send_offset = next_gap(options, &mut random);
    while send_offset < options.duration {
        let number = requests.len() as u64;
        requests.push(draw_request(options, number, send_offset, &mut random));
        send_offset += next_gap(options, &mut random);
    }
    requests
}

/// Draws the interval between two arrivals of a Poisson process.
fn next_gap(options: &LoadOptions, random: &mut impl Rng) -> TimeSpan {
    let uniform: f64 = random.random();
    let seconds = -(1.0 - uniform).ln() / options.rate.max(f64::MIN_POSITIVE);
    TimeSpan::from_micros((seconds * 1e6) as u64)
}

fn draw_request(
    options: &LoadOptions,
    number: u64,
    send_offset: TimeSpan,
    random: &mut impl Rng,
) -> PlannedRequest {
    let caller = draw_index(options.callers.iter().map(|caller| caller.weight), random);
    let model = draw_index(options.models.iter().map(|model| model.weight), random);
    let index = draw_index(options.workloads.iter().map(|load| load.weight), random);
    let workload = options.workloads.get(index);
    let serves_model = workload.is_some_and(|load| !matches!(load.form, LoadForm::Service { .. }));
    let length = workload.map_or(1, |load| load.prompt_bytes.draw(random));
    let max_tokens = workload.map_or(1, |load| load.max_tokens.draw(random));
    let is_keyed = workload.is_some_and(|load| load.keyed);
    let key_bytes = random.random();
    PlannedRequest {
        number,
        send_offset,
        caller,
        model: (serves_model && !options.models.is_empty()).then_some(model),
        workload: index,
        content: draw_content(number, length, random),
        max_tokens,
        key: is_keyed.then(|| draw_key(key_bytes)),
    }
}

fn draw_key(bytes: [u8; 10]) -> Uuid {
    let now = Uuid::now_v7().get_timestamp();
    let millis = now.map_or(0, |time| {
        let (seconds, nanos) = time.to_unix();
        seconds * 1_000 + u64::from(nanos) / 1_000_000
    });
    Builder::from_unix_timestamp_millis(millis, &bytes).into_uuid()
}

fn draw_index(weights: impl Iterator<Item = u32> + Clone, random: &mut impl Rng) -> usize {
    let total: u32 = weights.clone().sum();
    let mut left = random.random_range(0..total.max(1));
    for (index, weight) in weights.enumerate() {
        if left < weight {
            return index;
        }
        left -= weight;
    }
    0
}

fn draw_content(number: u64, length: u32, random: &mut impl Rng) -> Box<str> {
    let mut content = format!("request {number}");
    while content.len() < length as usize {
        // Writing to a string cannot fail.
        let _ = write!(content, " {:07x}", random.random::<u32>() >> 4);
    }
    content.into()
}
