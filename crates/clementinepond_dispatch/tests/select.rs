//! Selection of engines: time to the first token under load, refusals, adapters and
//! health.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test stops at the first error"
)]

mod support;

use clementinepond_dispatch::fleet::{EndpointEntry, TokenDemand};
use clementinepond_dispatch::health::HealthGrade;
use clementinepond_dispatch::load::EndpointLoad;
use clementinepond_dispatch::select::{
    AdapterReadiness, EngineCandidate, EngineRequest, EngineVerdict, choose_engine,
    rendezvous_weight, stream_stall_timeout,
};
use clementinepond_types::TimeSpan;
use support::entry;

/// Prompt tokens that a simulated engine processes per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 30.0;
/// Number of sessions whose shared prompt tokens fit into a simulated engine's cache.
const CACHED_SESSIONS: usize = 18;
/// Number of prompt tokens shared within a session, and of those of one request alone.
const PROMPT_TOKENS: (u64, u64) = (6_300, 2_890);

fn candidate(endpoint: &EndpointEntry) -> EngineCandidate<'_> {
    EngineCandidate {
        endpoint,
        load: EndpointLoad::default(),
        prefill_tokens: 0.0,
        cached_tokens: 0,
        grade: HealthGrade::Good,
        adapter: AdapterReadiness::Ready,
        is_local: true,
        is_unlisted: false,
        slowdown: 1.0,
    }
}

fn request(time_left_ms: u64) -> EngineRequest {
    EngineRequest {
        tokens: TokenDemand {
            prompt: PROMPT_TOKENS.0 + PROMPT_TOKENS.1,
            output: 52,
        },
        slots: 64,
        kv_capacity: 270_000,
        time_left: TimeSpan::from_millis(time_left_ms),
        first_token_wait: TimeSpan::from_secs(60),
    }
}

/// Simulated engine that processes prompts one after another.
struct SimulatedEngine {
    entry: EndpointEntry,
    free_at_ms: f64,
    /// Sessions whose shared tokens are cached, least recently used first.
    cached: Vec<u64>,
}

/// Simulates requests of 26 sessions; returns the share of requests with a first token
/// within 600 ms and the number of prompt tokens processed.
fn simulate(
    interval_ms: f64,
    choose: impl Fn(u64, f64, &[SimulatedEngine]) -> usize,
) -> (f64, u64) {
    let names = ["e1", "e2", "e3", "e4"];
    let mut engines: Vec<SimulatedEngine> = names
        .iter()
        .map(|name| SimulatedEngine {
            entry: entry(name, &["m0"]),
            free_at_ms: 0.0,
            cached: Vec::new(),
        })
        .collect();
    let (mut in_time, mut processed) = (0, 0);
    let count = 3_000_u32;
    for number in 0..count {
        let now = f64::from(number) * interval_ms;
        let session = rendezvous_weight(u64::from(number), "session") % 26;
        let chosen = choose(session, now, &engines);
        let engine = &mut engines[chosen];
        let cached_at = engine.cached.iter().position(|&cached| cached == session);
        let shared = match cached_at {
            Some(index) => {
                engine.cached.remove(index);
                0
            }
            None => PROMPT_TOKENS.0,
        };
        engine.cached.push(session);
        let tokens = shared + PROMPT_TOKENS.1;
        processed += tokens;
        engine.free_at_ms = engine.free_at_ms.max(now) + tokens as f64 / PREFILL_TOKENS_PER_MS;
        if engine.cached.len() > CACHED_SESSIONS {
            engine.cached.remove(0);
        }
        if engine.free_at_ms - now <= 600.0 {
            in_time += 1;
        }
    }
    (f64::from(in_time) / f64::from(count), processed)
}

fn select_by_prediction(session: u64, now: f64, engines: &[SimulatedEngine]) -> usize {
    let mut ranking: Vec<usize> = (0..engines.len()).collect();
    let weight = |index: usize| rendezvous_weight(session, engines[index].entry.id.as_str());
    ranking.sort_by_key(|&index| std::cmp::Reverse(weight(index)));
    let candidates: Vec<EngineCandidate<'_>> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| {
            let mut candidate = candidate(&engine.entry);
            let queued = (engine.free_at_ms - now).max(0.0) * PREFILL_TOKENS_PER_MS;
            candidate.prefill_tokens = queued;
            // The estimate for a session is high at its two highest-ranked engines,
            // whatever they have cached.
            candidate.cached_tokens = match ranking.iter().position(|&ranked| ranked == index) {
                Some(0) => PROMPT_TOKENS.0 * 85 / 100,
                Some(1) => PROMPT_TOKENS.0 * 70 / 100,
                _ => 0,
            };
            candidate
        })
        .collect();
    match choose_engine(&candidates, &request(60_000)) {
        EngineVerdict::Send { index, .. } => index,
        _ => 0,
    }
}

fn select_by_shortest_queue(_: u64, _: f64, engines: &[SimulatedEngine]) -> usize {
    let free_at = |index: &usize| engines[*index].free_at_ms;
    (0..engines.len())
        .min_by(|a, b| free_at(a).total_cmp(&free_at(b)))
        .unwrap()
}

#[test]
fn prediction_beats_shortest_queue_under_load() {
    // Four engines together can process one uncached prompt every 77 ms.
    let (predicted, predicted_processed) = simulate(50.0, select_by_prediction);
    let (shortest, shortest_processed) = simulate(50.0, select_by_shortest_queue);
    assert!(predicted > 0.95, "{predicted} of the requests in time");
    assert!(
        predicted >= shortest,
        "{predicted} of the requests in time, {shortest} with the shortest queue"
    );
    assert!(
        predicted_processed < shortest_processed,
        "{predicted_processed} tokens processed, {shortest_processed} with the shortest queue"
    );
}

#[test]
fn request_that_cannot_start_in_time_is_refused_with_retry_after() {
    let endpoint = entry("e1", &["m0"]);
    let mut full = candidate(&endpoint);
    full.prefill_tokens = 300_000.0;
    let EngineVerdict::Refuse { retry_after } = choose_engine(&[full], &request(5_000)) else {
        panic!("a queue of 10 s must be refused to a caller with 5 s left");
    };
    assert!(retry_after > TimeSpan::from_secs(5) && retry_after < TimeSpan::from_secs(12));
}

#[test]
fn engine_with_adapter_is_preferred_and_full_one_avoided() {
    let (first, second, third) = (
        entry("e1", &["m0"]),
        entry("e2", &["m0"]),
        entry("e3", &["m0"]),
    );
    let mut needs_eviction = candidate(&first);
    needs_eviction.adapter = AdapterReadiness::NeedsEviction;
    let mut missing = candidate(&second);
    missing.adapter = AdapterReadiness::Missing;
    let mut ready = candidate(&third);
    ready.prefill_tokens = 600.0;
    let choose =
        |candidates: &[EngineCandidate<'_>]| match choose_engine(candidates, &request(5_000)) {
            EngineVerdict::Send { index, .. } => index,
            other => panic!("expected Send, got {other:?}"),
        };
    assert_eq!(
        choose(&[needs_eviction.clone(), missing.clone(), ready.clone()]),
        2
    );
    assert_eq!(choose(&[needs_eviction, missing]), 1);
}

#[test]
fn ejected_engine_is_used_only_without_alternative() {
    let (first, second) = (entry("e1", &["m0"]), entry("e2", &["m0"]));
    let mut ejected = candidate(&first);
    ejected.grade = HealthGrade::Ejected;
    let mut busy = candidate(&second);
    busy.prefill_tokens = 20_000.0;
    let verdict = choose_engine(&[ejected.clone(), busy], &request(5_000));
    assert!(matches!(verdict, EngineVerdict::Send { index: 1, .. }));
    let verdict = choose_engine(&[ejected], &request(5_000));
    assert!(matches!(verdict, EngineVerdict::Send { index: 0, .. }));
}

#[test]
fn no_candidates_give_no_copy() {
    assert_eq!(choose_engine(&[], &request(5_000)), EngineVerdict::NoCopy);
}

#[test]
fn first_token_after_caller_disconnects_is_refused() {
    // 70,000 tokens take 2.3 s. The caller disconnects after 2.4 s without an event,
    // although its deadline is later.
    let endpoint = entry("e1", &["m0"]);
    let mut busy = candidate(&endpoint);
    busy.prefill_tokens = 61_000.0;
    let mut short_wait = request(15_000);
    assert!(matches!(
        choose_engine(&[busy.clone()], &short_wait),
        EngineVerdict::Send { .. }
    ));
    short_wait.first_token_wait = TimeSpan::from_millis(2_400);
    let EngineVerdict::Refuse { retry_after } = choose_engine(&[busy], &short_wait) else {
        panic!("sent although the caller disconnects before the first token");
    };
    assert!(
        (200..=400).contains(&retry_after.millis()),
        "retry after {retry_after}"
    );
}

#[test]
fn stall_timeout_is_four_latency_or_eight_pause_targets() {
    let mut route = support::route(TimeSpan::from_millis(400));
    assert_eq!(stream_stall_timeout(&route), TimeSpan::from_secs(2));
    route.pause_target = Some(TimeSpan::from_millis(300));
    assert_eq!(stream_stall_timeout(&route), TimeSpan::from_millis(2_400));
    route.latency_target = TimeSpan::from_secs(3);
    assert_eq!(stream_stall_timeout(&route), TimeSpan::from_secs(12));
}
