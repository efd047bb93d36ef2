//! Many VMs that choose among the same engines: what callers get when VMs tell
//! each other of requests at once, and when they do so with the regular news.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test stops at the first surprise"
)]

mod support;

use clementinepond_dispatch::fleet::{EndpointEntry, TokenDemand};
use clementinepond_dispatch::health::HealthGrade;
use clementinepond_dispatch::load::{EndpointLoad, LoadTable, NameHash};
use clementinepond_dispatch::select::{
    AdapterReadiness, EngineCandidate, EngineRequest, EngineVerdict, choose_engine,
    rendezvous_weight,
};
use clementinepond_types::{LocalTime, TimeSpan, VmId};
use std::collections::VecDeque;
use support::entry;

const VMS: usize = 40;
const ENGINES: usize = 12;
/// Prompt tokens of each request that no engine holds.
const UNCACHED: u32 = 4_000;
/// Time that an engine takes to read them, in microseconds.
const READ_US: u64 = 133_000;
/// Time between two requests; keeps the engines busy for three quarters of the time.
const GAP_US: u64 = 15_000;
const REQUESTS: u64 = 4_000;
/// Time within which callers want the first token.
const TARGET_US: u64 = 400_000;

/// Announcement of one request on its way to the other VMs.
struct Announcement {
    due: LocalTime,
    from: usize,
    engine: usize,
}

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().unwrap()
}

fn choose(ledger: &LoadTable, engines: &[EndpointEntry], now: LocalTime) -> usize {
    let candidates: Vec<EngineCandidate<'_>> = engines
        .iter()
        .map(|endpoint| {
            let key = NameHash::of(endpoint.id.as_str());
            EngineCandidate {
                endpoint,
                load: ledger.total(key),
                prefill_tokens: ledger.pending_prefill(key, now),
                cached_tokens: 0,
                grade: HealthGrade::Good,
                adapter: AdapterReadiness::Ready,
                is_local: true,
                is_unlisted: false,
                slowdown: 1.0,
            }
        })
        .collect();
    let request = EngineRequest {
        tokens: TokenDemand {
            prompt: u64::from(UNCACHED),
            output: 50,
        },
        slots: 64,
        kv_capacity: 10_000_000,
        time_left: TimeSpan::from_secs(60),
        first_token_wait: TimeSpan::from_secs(60),
    };
    match choose_engine(&candidates, &request) {
        EngineVerdict::Send { index, .. } => index,
        other => panic!("{other:?}"),
    }
}

/// Returns the share of requests with a first token in time.
fn play(told_after: TimeSpan) -> f64 {
    let engines: Vec<EndpointEntry> = (0..ENGINES)
        .map(|index| entry(&format!("e{index}"), &["m0"]))
        .collect();
    let mut ledgers: Vec<LoadTable> = (0..VMS).map(|_| LoadTable::default()).collect();
    let mut sent: VecDeque<Announcement> = VecDeque::new();
    let mut free_at = [0_u64; ENGINES];
    // Batches and memory have room throughout.
    let share = EndpointLoad::default();
    let mut in_time = 0;
    for number in 0..REQUESTS {
        let micros = number * GAP_US;
        let now = LocalTime::from_micros(micros);
        while sent.front().is_some_and(|next| next.due <= now) {
            let Some(next) = sent.pop_front() else { break };
            let key = NameHash::of(engines[next.engine].id.as_str());
            let others = ledgers.iter_mut().enumerate();
            for (_, ledger) in others.filter(|(index, _)| *index != next.from) {
                ledger.start_remote(&vm(next.from), key, share, UNCACHED, next.due);
            }
        }
        let from = (rendezvous_weight(number, "caller") % VMS as u64) as usize;
        let engine = choose(&ledgers[from], &engines, now);
        let key = NameHash::of(engines[engine].id.as_str());
        ledgers[from].start(key, share);
        ledgers[from].start_prefill(key, UNCACHED, now);
        sent.push_back(Announcement {
            due: now + told_after,
            from,
            engine,
        });
        free_at[engine] = free_at[engine].max(micros) + READ_US;
        if free_at[engine] - micros <= TARGET_US {
            in_time += 1;
        }
        // The first token ends the VM's own count; one request is enough here.
        ledgers[from].finish_prefill(key, UNCACHED);
        ledgers[from].finish(key, share);
    }
    f64::from(in_time) / REQUESTS as f64
}

#[test]
fn requests_announced_at_once_keep_vms_apart() {
    let at_once = play(TimeSpan::from_millis(3));
    let with_news = play(TimeSpan::from_millis(750));
    assert!(at_once > 0.99, "{at_once}");
    assert!(with_news < at_once - 0.2, "{with_news}");
}

#[test]
fn a_queue_drains_at_reading_speed() {
    let mut ledger = LoadTable::default();
    let key = NameHash::of("e0");
    let share = EndpointLoad {
        runs: 1,
        context_tokens: 9_000,
    };
    let start = LocalTime::from_micros(1_000_000);
    ledger.start_remote(&vm(1), key, share, 9_000, start);
    assert_eq!(ledger.pending_prefill(key, start), 9_000.0);
    let later = start + TimeSpan::from_millis(100);
    assert_eq!(ledger.pending_prefill(key, later), 6_000.0);
    // Own requests without a first token still count once the estimate is used up.
    ledger.start(key, share);
    ledger.start_prefill(key, 500, later);
    let much_later = start + TimeSpan::from_secs(5);
    assert_eq!(ledger.pending_prefill(key, much_later), 500.0);
    ledger.finish_prefill(key, 500);
    assert_eq!(ledger.pending_prefill(key, much_later), 0.0);
}

#[test]
fn regular_news_replace_what_was_told_at_once() {
    let mut ledger = LoadTable::default();
    let key = NameHash::of("e0");
    let share = EndpointLoad {
        runs: 1,
        context_tokens: 100,
    };
    let now = LocalTime::from_micros(1);
    ledger.set_peer(&vm(1), vec![(key, share)]);
    ledger.start_remote(&vm(1), key, share, 0, now);
    assert_eq!(ledger.total(key).runs, 2);
    ledger.set_peer(&vm(1), vec![(key, share)]);
    assert_eq!(ledger.total(key).runs, 1);
    ledger.forget_peer(&vm(1));
    assert_eq!(ledger.total(key), EndpointLoad::default());
}
