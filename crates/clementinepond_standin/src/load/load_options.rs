//! Configuration of the load generator.

use clementinepond_types::TimeSpan;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

/// Caller and its API key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadCaller {
    /// Caller name in the report.
    pub name: Box<str>,
    /// API key, sent as a bearer token; empty to send none.
    pub key: Box<str>,
    /// Weight of the caller in the draw among all callers.
    pub weight: u32,
}

/// Model or adapter that receives requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadTarget {
    /// Model or adapter name in requests.
    pub model: Box<str>,
    /// Versions whose answers are accepted as correct.
    pub versions: Vec<Box<str>>,
    /// Weight of the model in the draw among all models.
    pub weight: u32,
}

/// Inclusive range of lengths; if `most` is less than `least`, all lengths are
/// `least`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LengthRange {
    /// Minimum length.
    pub least: u32,
    /// Maximum length.
    pub most: u32,
}

impl LengthRange {
    pub(super) fn draw(self, random: &mut impl Rng) -> u32 {
        random.random_range(self.least..=self.most.max(self.least))
    }
}

/// API or service that a request is sent to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadForm {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
    /// POST to a service that is not a model.
    Service {
        /// Path of the request.
        path: Box<str>,
    },
}

/// Kind of request in the mix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadWorkload {
    /// API or service that the request is sent to.
    pub form: LoadForm,
    /// Weight of the workload in the draw among all workloads.
    pub weight: u32,
    /// Length of the content of the prompt or body, in bytes; the content exceeds
    /// the drawn length by up to 7 bytes, and always contains the number of the
    /// request.
    pub prompt_bytes: LengthRange,
    /// Value of `max_tokens` in the request.
    pub max_tokens: LengthRange,
    /// Whether the request asks for a streamed answer.
    pub stream: bool,
    /// Whether the request carries an idempotency key.
    pub keyed: bool,
}

/// Parameters by which engines choose the length of an answer, used to check
/// it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerLength {
    /// Seed of the engines; see [`EngineOptions::seed`](crate::engine::EngineOptions::seed).
    pub seed: u64,
    /// Minimum answer length of the engines, in tokens.
    pub shortest: u32,
    /// Maximum answer length of the engines, in tokens.
    pub longest: u32,
}

/// Options of the load generator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadOptions {
    /// Addresses that requests are sent to, in round-robin order.
    pub targets: Vec<SocketAddr>,
    /// Callers to draw from.
    pub callers: Vec<LoadCaller>,
    /// Models and adapters to draw from.
    pub models: Vec<LoadTarget>,
    /// Workloads to draw from.
    pub workloads: Vec<LoadWorkload>,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Time during which requests are sent.
    pub duration: TimeSpan,
    /// Timeout of a request, up to the end of its answer.
    pub timeout: TimeSpan,
    /// Seed of the plan.
    pub seed: u64,
    /// Name of the idempotency key header.
    pub key_header: Box<str>,
    /// Number of requests in flight above which further ones are skipped and
    /// counted as left out.
    pub in_flight_limit: usize,
    /// Parameters to check answer lengths with; none disables the check.
    pub answer_length: Option<AnswerLength>,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            targets: vec![SocketAddr::from((Ipv4Addr::LOCALHOST, 8080))],
            callers: vec![LoadCaller {
                name: "caller".into(),
                key: "".into(),
                weight: 1,
            }],
            models: Vec::new(),
            workloads: vec![LoadWorkload {
                form: LoadForm::Chat,
                weight: 1,
                prompt_bytes: LengthRange {
                    least: 64,
                    most: 2_048,
                },
                max_tokens: LengthRange {
                    least: 8,
                    most: 256,
                },
                stream: true,
                keyed: false,
            }],
            rate: 10.0,
            duration: TimeSpan::from_secs(10),
            timeout: TimeSpan::from_secs(60),
            seed: 1,
            key_header: "idempotency-key".into(),
            in_flight_limit: 10_000,
            answer_length: None,
        }
    }
}
