//! Choice of engines under load: what callers get.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test stops at the first surprise"
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

/// Prompt tokens that an engine of these tests reads in a millisecond.
const READ_PER_MS: f64 = 30.0;
/// Sessions whose shared parts fit into an engine's cache.
const CACHED_SESSIONS: usize = 18;
/// Shared tokens of a prompt, and its own.
const PROMPT: (u64, u64) = (6_300, 2_890);

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
            prompt: PROMPT.0 + PROMPT.1,
            output: 52,
        },
        slots: 64,
        kv_capacity: 270_000,
        time_left: TimeSpan::from_millis(time_left_ms),
        first_token_wait: TimeSpan::from_secs(60),
    }
}

/// Engine that reads prompts one after another.
struct Reader {
    entry: EndpointEntry,
    free_at_ms: f64,
    /// Sessions whose shared parts are cached, the oldest first.
    cached: Vec<u64>,
}

/// Plays requests of 26 sessions; returns the share with a first token within
/// 600 ms and the tokens read.
fn play(gap_ms: f64, choose: impl Fn(u64, f64, &[Reader]) -> usize) -> (f64, u64) {
    let names = ["e1", "e2", "e3", "e4"];
    let mut engines: Vec<Reader> = names
        .iter()
        .map(|name| Reader {
            entry: entry(name, &["m0"]),
            free_at_ms: 0.0,
            cached: Vec::new(),
        })
        .collect();
    let (mut in_time, mut read) = (0, 0);
    let count = 3_000_u32;
    for number in 0..count {
        let now = f64::from(number) * gap_ms;
        let session = rendezvous_weight(u64::from(number), "session") % 26;
        let chosen = choose(session, now, &engines);
        let engine = &mut engines[chosen];
        let held = engine.cached.iter().position(|&one| one == session);
        let shared = match held {
            Some(index) => {
                engine.cached.remove(index);
                0
            }
            None => PROMPT.0,
        };
        engine.cached.push(session);
        let tokens = shared + PROMPT.1;
        read += tokens;
        engine.free_at_ms = engine.free_at_ms.max(now) + tokens as f64 / READ_PER_MS;
        if engine.cached.len() > CACHED_SESSIONS {
            engine.cached.remove(0);
        }
        if engine.free_at_ms - now <= 600.0 {
            in_time += 1;
        }
    }
    (f64::from(in_time) / f64::from(count), read)
}

fn by_prediction(session: u64, now: f64, engines: &[Reader]) -> usize {
    let mut order: Vec<usize> = (0..engines.len()).collect();
    let weight = |index: usize| rendezvous_weight(session, engines[index].entry.id.as_str());
    order.sort_by_key(|&index| std::cmp::Reverse(weight(index)));
    let candidates: Vec<EngineCandidate<'_>> = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| {
            let mut one = candidate(&engine.entry);
            let queued = (engine.free_at_ms - now).max(0.0) * READ_PER_MS;
            one.prefill_tokens = queued;
            one.cached_tokens = match order.iter().position(|&owner| owner == index) {
                Some(0) => PROMPT.0 * 85 / 100,
                Some(1) => PROMPT.0 * 70 / 100,
                _ => 0,
            };
            one
        })
        .collect();
    match choose_engine(&candidates, &request(60_000)) {
        EngineVerdict::Send { index, .. } => index,
        _ => 0,
    }
}

fn by_least_queue(_: u64, _: f64, engines: &[Reader]) -> usize {
    let free = |index: &usize| engines[*index].free_at_ms;
    (0..engines.len())
        .min_by(|a, b| free(a).total_cmp(&free(b)))
        .unwrap()
}

#[test]
fn under_load_more_callers_get_their_first_token_in_time_than_with_the_shortest_queue() {
    // Four engines could read one whole prompt in 77 ms together.
    let (predicted, predicted_read) = play(50.0, by_prediction);
    let (shortest, shortest_read) = play(50.0, by_least_queue);
    assert!(predicted > 0.95, "{predicted} in time");
    assert!(predicted >= shortest, "{predicted} against {shortest}");
    assert!(
        predicted_read < shortest_read,
        "{predicted_read} against {shortest_read}"
    );
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_at_once_with_the_time_to_come_back() {
    let endpoint = entry("e1", &["m0"]);
    let mut full = candidate(&endpoint);
    full.prefill_tokens = 300_000.0;
    let EngineVerdict::Refuse { retry_after } = choose_engine(&[full], &request(5_000)) else {
        panic!("ten seconds of queue before a caller who waits five");
    };
    assert!(retry_after > TimeSpan::from_secs(5) && retry_after < TimeSpan::from_secs(12));
}

#[test]
fn an_engine_that_holds_the_adapter_is_preferred_and_a_full_one_avoided() {
    let (first, second, third) = (
        entry("e1", &["m0"]),
        entry("e2", &["m0"]),
        entry("e3", &["m0"]),
    );
    let mut crowded = candidate(&first);
    crowded.adapter = AdapterReadiness::NeedsEviction;
    let mut missing = candidate(&second);
    missing.adapter = AdapterReadiness::Missing;
    let mut ready = candidate(&third);
    ready.prefill_tokens = 600.0;
    let choose =
        |candidates: &[EngineCandidate<'_>]| match choose_engine(candidates, &request(5_000)) {
            EngineVerdict::Send { index, .. } => index,
            other => panic!("{other:?}"),
        };
    assert_eq!(
        choose(&[crowded.clone(), missing.clone(), ready.clone()]),
        2
    );
    assert_eq!(choose(&[crowded, missing]), 1);
}

#[test]
fn an_engine_set_aside_is_used_only_when_there_is_no_other() {
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
fn no_engine_means_no_copy() {
    assert_eq!(choose_engine(&[], &request(5_000)), EngineVerdict::NoCopy);
}

#[test]
fn who_would_leave_before_the_first_token_is_refused_at_once() {
    // 70,000 tokens take 2.3 s; the caller leaves after 2.4 s of silence,
    // though its deadline is far off.
    let endpoint = entry("e1", &["m0"]);
    let mut busy = candidate(&endpoint);
    busy.prefill_tokens = 61_000.0;
    let mut patient = request(15_000);
    assert!(matches!(
        choose_engine(&[busy.clone()], &patient),
        EngineVerdict::Send { .. }
    ));
    patient.first_token_wait = TimeSpan::from_millis(2_400);
    let EngineVerdict::Refuse { retry_after } = choose_engine(&[busy], &patient) else {
        panic!("sent though the caller leaves before the first token");
    };
    assert!((200..=400).contains(&retry_after.millis()), "{retry_after}");
}

#[test]
fn callers_wait_four_times_the_objective_or_eight_pauses() {
    let mut route = support::route(TimeSpan::from_millis(400));
    assert_eq!(stream_stall_timeout(&route), TimeSpan::from_secs(2));
    route.pause_target = Some(TimeSpan::from_millis(300));
    assert_eq!(stream_stall_timeout(&route), TimeSpan::from_millis(2_400));
    route.latency_target = TimeSpan::from_secs(3);
    assert_eq!(stream_stall_timeout(&route), TimeSpan::from_secs(12));
}
