//! Options of the load tool.

use clementinepond_types::TimeSpan;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

/// Caller with its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadCaller {
    /// Name in the report.
    pub name: Box<str>,
    /// Key sent as bearer token; empty for none.
    pub key: Box<str>,
    /// Share of the requests, compared with the other callers'.
    pub weight: u32,
}

/// Model or adapter that requests ask for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadTarget {
    /// Name of the model or adapter.
    pub model: Box<str>,
    /// Versions that may answer.
    pub versions: Vec<Box<str>>,
    /// Share of the requests, compared with the other models'.
    pub weight: u32,
}

/// Smallest and largest length, both possible.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LengthRange {
    /// Smallest length.
    pub least: u32,
    /// Largest length.
    pub most: u32,
}

impl LengthRange {
    pub(super) fn draw(self, random: &mut impl Rng) -> u32 {
        random.random_range(self.least..=self.most.max(self.least))
    }
}

/// Form of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadForm {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
    /// POST to a plain service.
    Service {
        /// Path of the service.
        path: Box<str>,
    },
}

/// One kind of request in the mix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadWorkload {
    /// Form of the request.
    pub form: LoadForm,
    /// Share of the requests, compared with the other workloads'.
    pub weight: u32,
    /// Length of the prompt or body, in bytes.
    pub prompt_bytes: LengthRange,
    /// Limit on generated tokens.
    pub max_tokens: LengthRange,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the request carries an idempotency key.
    pub keyed: bool,
}

/// How engines choose the length of an answer, when it is to be checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnswerLength {
    /// Seed of the engines.
    pub seed: u64,
    /// Shortest answer of the engines.
    pub shortest: u32,
    /// Longest answer of the engines.
    pub longest: u32,
}

/// Options of the load tool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadOptions {
    /// Addresses to send to, in turn.
    pub targets: Vec<SocketAddr>,
    /// Callers.
    pub callers: Vec<LoadCaller>,
    /// Models and adapters.
    pub models: Vec<LoadTarget>,
    /// Mix of requests.
    pub workloads: Vec<LoadWorkload>,
    /// Requests a second.
    pub rate: f64,
    /// Time during which requests leave.
    pub duration: TimeSpan,
    /// Longest wait for an answer.
    pub timeout: TimeSpan,
    /// Seed of the plan.
    pub seed: u64,
    /// Header of the idempotency key.
    pub key_header: Box<str>,
    /// Requests in flight beyond which further ones are left out and counted.
    pub in_flight_limit: usize,
    /// How engines choose the length of an answer; not checked when absent.
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
