//! Choice of a model engine by the predicted time to the first token.
//!
//! Answers the load of long prompts: what makes callers wait is the prompt
//! text queued before theirs, so candidates are compared by the text they
//! still have to read, the part of this prompt in their cache, and their batch.
//! A request that no engine can start in time is refused at once.

use crate::fleet::{EndpointEntry, TokenDemand};
use crate::health::HealthGrade;
use crate::load::{EndpointLoad, PREFILL_TOKENS_PER_MS};
use clementinepond_types::TimeSpan;

/// Time of one step of an engine, in milliseconds.
const DECODE_STEP_MS: f64 = 6.0;
/// Time to load an adapter through the planner, in milliseconds.
const ADAPTER_LOAD_MS: f64 = 35.0;
/// Time to load an adapter where another one has to make way, in milliseconds.
const ADAPTER_SWAP_MS: f64 = 400.0;
/// Handicap of an engine in another data centre, in milliseconds.
const REMOTE_PENALTY_MS: f64 = 12.0;
/// Handicap of an engine that has left the list, in milliseconds.
const UNLISTED_PENALTY_MS: f64 = 400.0;
/// Time a slot stays taken on average when all are, in milliseconds.
const SLOT_OCCUPANCY_MS: f64 = 1_500.0;
/// Handicap of an engine whose memory is overbooked by a whole cache, in milliseconds.
const KV_OVERCOMMIT_PENALTY_MS: f64 = 4_000.0;
/// Share of an engine's memory up to which runs do not displace each other.
const KV_CACHE_SOFT_LIMIT: f64 = 0.9;
/// Share of the time left within which the first token has to be predicted.
const DEADLINE_SHARE: f64 = 0.6;
/// Share of the caller's patience within which it has to be; predictions err
/// by a tenth at long queues.
const FIRST_TOKEN_WAIT_SHARE: f64 = 0.85;

/// Whether an engine holds the adapter of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdapterReadiness {
    /// Loaded, or none is needed.
    Ready,
    /// Has to be loaded first.
    Missing,
    /// Has to be loaded in the place of another one.
    NeedsEviction,
}

/// One engine that holds the model.
#[derive(Debug, Clone)]
pub struct EngineCandidate<'a> {
    /// Description.
    pub endpoint: &'a EndpointEntry,
    /// Load that all VMs put on it.
    pub load: EndpointLoad,
    /// Prompt tokens that it still has to read for others.
    pub prefill_tokens: f64,
    /// Tokens of the prompt that it probably holds.
    pub cached_tokens: u64,
    /// How far it is trusted.
    pub grade: HealthGrade,
    /// Whether it holds the adapter.
    pub adapter: AdapterReadiness,
    /// Whether it is in the VM's data centre.
    pub is_local: bool,
    /// Whether it has left the list.
    pub is_unlisted: bool,
    /// Measured time over predicted time.
    pub slowdown: f64,
}

/// The request to place.
#[derive(Debug, Clone, Copy)]
pub struct EngineRequest {
    /// Tokens declared.
    pub tokens: TokenDemand,
    /// Slots of an engine.
    pub slots: u32,
    /// Tokens that fit into an engine's cache.
    pub kv_capacity: u64,
    /// Time that the caller still waits for the whole answer.
    pub time_left: TimeSpan,
    /// Time that it still waits for the first token.
    pub first_token_wait: TimeSpan,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum EngineVerdict {
    /// Send it to this candidate.
    Send {
        /// Index of the candidate.
        index: usize,
        /// Predicted time to the first token.
        first_token: TimeSpan,
    },
    /// Refuse it; no engine can start it in time.
    Refuse {
        /// Time after which the queue is short enough.
        retry_after: TimeSpan,
    },
    /// No engine holds the model.
    NoCopy,
}

/// Predicts the time to the first token, in milliseconds.
#[must_use]
pub fn predict_first_token(candidate: &EngineCandidate<'_>, request: &EngineRequest) -> f64 {
    let uncached = request
        .tokens
        .prompt
        .saturating_sub(candidate.cached_tokens) as f64;
    let reading = (candidate.prefill_tokens + uncached) / PREFILL_TOKENS_PER_MS + DECODE_STEP_MS;
    let over = f64::from((candidate.load.runs + 1).saturating_sub(request.slots));
    let slot_wait = over * SLOT_OCCUPANCY_MS / f64::from(request.slots.max(1));
    let capacity = request.kv_capacity.max(1) as f64;
    let booked =
        (f64::from(candidate.load.context_tokens) + request.tokens.total() as f64) / capacity;
    let memory_wait = (booked - KV_CACHE_SOFT_LIMIT).max(0.0) * KV_OVERCOMMIT_PENALTY_MS;
    let adapter = match candidate.adapter {
        AdapterReadiness::Ready => 0.0,
        AdapterReadiness::Missing => ADAPTER_LOAD_MS,
        AdapterReadiness::NeedsEviction => ADAPTER_SWAP_MS,
    };
    reading * candidate.slowdown + slot_wait + memory_wait + adapter
}

/// Chooses an engine.
#[must_use]
pub fn choose_engine(candidates: &[EngineCandidate<'_>], request: &EngineRequest) -> EngineVerdict {
    let Some(best_grade) = candidates.iter().map(|one| one.grade).min() else {
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
            score += UNLISTED_PENALTY_MS;
        }
        if best.is_none_or(|(lowest, ..)| score < lowest) {
            best = Some((score, first_token, index));
        }
    }
    let Some((_, first_token, index)) = best else {
        return EngineVerdict::NoCopy;
    };
    let time = request.time_left.millis() as f64 * DEADLINE_SHARE;
    let first_token_wait =
        time.min(request.first_token_wait.millis() as f64 * FIRST_TOKEN_WAIT_SHARE);
    if first_token > first_token_wait {
        let excess = (first_token - first_token_wait).max(1.0);
        return EngineVerdict::Refuse {
            retry_after: TimeSpan::from_millis(excess as u64),
        };
    }
    EngineVerdict::Send {
        index,
        first_token: TimeSpan::from_millis(first_token as u64),
    }
}
