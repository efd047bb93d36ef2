//! Selection of a model engine by its predicted time to the first token.
//!
//! With long prompts, most of a request's latency is the prefill queued ahead of it.
//! Candidates are therefore compared by the prompt tokens that they still have to
//! process, the part of this prompt in their prefix cache, and the occupancy of their
//! slots and KV cache. A request that the selected engine cannot start in time is
//! refused at once.

use crate::fleet::{EndpointEntry, TokenDemand};
use crate::health::HealthGrade;
use crate::load::{EndpointLoad, PREFILL_TOKENS_PER_MS};
use clementinepond_types::TimeSpan;

/// Duration of one decode step of an engine, in milliseconds.
const DECODE_STEP_MS: f64 = 6.0;
/// Time to load an adapter into a free slot, in milliseconds.
const ADAPTER_LOAD_MS: f64 = 35.0;
/// Time to load an adapter when another one has to be evicted first, in milliseconds.
const ADAPTER_SWAP_MS: f64 = 400.0;
/// Score penalty of an engine in another data centre, in milliseconds.
const REMOTE_PENALTY_MS: f64 = 12.0;
/// Score penalty of an engine that is unlisted or on trial, in milliseconds.
const UNLISTED_OR_TRIAL_PENALTY_MS: f64 = 400.0;
/// Mean time for which a request occupies a slot, in milliseconds.
const SLOT_OCCUPANCY_MS: f64 = 1_500.0;
/// Predicted delay per KV cache capacity requested beyond the soft limit, in
/// milliseconds.
const KV_OVERCOMMIT_PENALTY_MS: f64 = 4_000.0;
/// Share of the KV cache up to which running requests do not evict each other.
const KV_CACHE_SOFT_LIMIT: f64 = 0.9;
/// Share of the time until the deadline of the complete answer within which the first
/// token must be predicted to arrive.
const DEADLINE_SHARE: f64 = 0.6;
/// Share of the time until the deadline of the first token within which it must be
/// predicted to arrive; predictions are off by a tenth when queues are long.
const FIRST_TOKEN_WAIT_SHARE: f64 = 0.85;

/// Whether an engine can serve a request's adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdapterReadiness {
    /// The adapter is loaded, or the request needs none.
    Ready,
    /// The adapter is not loaded; a slot is free.
    Missing,
    /// The adapter is not loaded, and another one must be evicted first.
    NeedsEviction,
}

/// An engine that holds the requested model.
#[derive(Debug, Clone)]
pub struct EngineCandidate<'a> {
    /// Description of the engine.
    pub endpoint: &'a EndpointEntry,
    /// Load from the requests of all VMs.
    pub load: EndpointLoad,
    /// Prompt tokens queued ahead of this request.
    pub prefill_tokens: f64,
    /// Estimated number of the prompt's tokens in the engine's prefix cache.
    pub cached_tokens: u64,
    /// Health of the engine.
    pub grade: HealthGrade,
    /// Whether the request's adapter is loaded.
    pub adapter: AdapterReadiness,
    /// Whether the engine is in the VM's own data centre.
    pub is_local: bool,
    /// Whether the engine is no longer listed in the store.
    pub is_unlisted: bool,
    /// Ratio of measured to predicted time to the first token.
    pub slowdown: f64,
}

/// Request to be placed on an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineRequest {
    /// Declared prompt and output tokens.
    pub tokens: TokenDemand,
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of an engine's KV cache, in tokens.
    pub kv_capacity: u64,
    /// Time until the caller's deadline for the complete answer.
    pub time_left: TimeSpan,
    /// Time until the caller disconnects if it has received no first token.
    pub first_token_wait: TimeSpan,
}

/// Result of the engine selection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EngineVerdict {
    /// Send the request to a candidate.
    Send {
        /// Index into the candidates.
        index: usize,
        /// Predicted time to the first token.
        first_token: TimeSpan,
    },
    /// Refuse the request, since the selected engine is not predicted to start it in
    /// time.
    Refuse {
        /// Time by which the prediction exceeds the limit, after which a retry is
        /// expected to start in time.
        retry_after: TimeSpan,
    },
    /// No engine holds the model.
    NoCopy,
}

/// Returns the predicted time to the first token, in milliseconds.
#[must_use]
pub fn predict_first_token(candidate: &EngineCandidate<'_>, request: &EngineRequest) -> f64 {
    let uncached = request
        .tokens
        .prompt
        .saturating_sub(candidate.cached_tokens) as f64;
    let prefill = (candidate.prefill_tokens + uncached) / PREFILL_TOKENS_PER_MS + DECODE_STEP_MS;
    let over_slots = f64::from((candidate.load.runs + 1).saturating_sub(request.slots));
    let slot_wait = over_slots * SLOT_OCCUPANCY_MS / f64::from(request.slots.max(1));
    let capacity = request.kv_capacity.max(1) as f64;
    let kv_usage =
        (f64::from(candidate.load.context_tokens) + request.tokens.total() as f64) / capacity;
    let kv_wait = (kv_usage - KV_CACHE_SOFT_LIMIT).max(0.0) * KV_OVERCOMMIT_PENALTY_MS;
    let adapter = match candidate.adapter {
        AdapterReadiness::Ready => 0.0,
        AdapterReadiness::Missing => ADAPTER_LOAD_MS,
        AdapterReadiness::NeedsEviction => ADAPTER_SWAP_MS,
    };
    prefill * candidate.slowdown + slot_wait + kv_wait + adapter
}

/// Selects the engine with the lowest score: its predicted time to the first token plus
/// penalties. Ejected engines are considered only if all are ejected.
///
/// The request is refused if the selected engine's prediction, without penalties,
/// exceeds the limits set by the request's deadlines.
#[must_use]
pub fn choose_engine(candidates: &[EngineCandidate<'_>], request: &EngineRequest) -> EngineVerdict {
    let Some(best_grade) = candidates.iter().map(|candidate| candidate.grade).min() else {
        return EngineVerdict::NoCopy;
    };
    let mut best: Option<(f64, f64, usize)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        if candidate.grade > best_grade.max(HealthGrade::Trial) {
            continue;
        }
        let first_token = predict_first_token(candidate, request);
        let mut score = first_token;
        if !candidate.is_local {
            score += REMOTE_PENALTY_MS;
        }
        if candidate.is_unlisted || candidate.grade == HealthGrade::Trial {
            score += UNLISTED_OR_TRIAL_PENALTY_MS;
        }
        if best.is_none_or(|(lowest, ..)| score < lowest) {
            best = Some((score, first_token, index));
        }
    }
    let Some((_, first_token, index)) = best else {
        return EngineVerdict::NoCopy;
    };
    let deadline_limit = request.time_left.millis() as f64 * DEADLINE_SHARE;
    let limit =
        deadline_limit.min(request.first_token_wait.millis() as f64 * FIRST_TOKEN_WAIT_SHARE);
    if first_token > limit {
        let excess = (first_token - limit).max(1.0);
        return EngineVerdict::Refuse {
            retry_after: TimeSpan::from_millis(excess as u64),
        };
    }
    EngineVerdict::Send {
        index,
        first_token: TimeSpan::from_millis(first_token as u64),
    }
}
