//! Herding of VMs that select among the same engines: if they know each other's load
//! only from periodic heartbeats, they all choose the same engine until the next
//! heartbeat. Announcing each request at once prevents this.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test stops at the first error"
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
/// Number of uncached prompt tokens of each request.
const UNCACHED_TOKENS: u32 = 4_000;
/// Time that an engine takes to process them, in microseconds.
const PREFILL_US: u64 = 133_000;
/// Interval between requests, in microseconds; keeps the engines busy three quarters of
/// the time.
const REQUEST_INTERVAL_US: u64 = 15_000;
const REQUESTS: u64 = 4_000;
/// Target time to the first token, in microseconds.
const FIRST_TOKEN_TARGET_US: u64 = 400_000;

/// Announcement of one request in transit to the other VMs.
struct Announcement {
    due: LocalTime,
    from: usize,
    engine: usize,
}

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().unwrap()
}

fn choose(table: &LoadTable, engines: &[EndpointEntry], now: LocalTime) -> usize {
    let candidates: Vec<EngineCandidate<'_>> = engines
        .iter()
        .map(|endpoint| {
            let key = NameHash::of(endpoint.id.as_str());
            EngineCandidate {
                endpoint,
                load: table.total(key),
                prefill_tokens: table.pending_prefill(key, now),
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
            prompt: u64::from(UNCACHED_TOKENS),
            output: 50,
        },
        slots: 64,
        kv_capacity: 10_000_000,
        time_left: TimeSpan::from_secs(60),
        first_token_wait: TimeSpan::from_secs(60),
    };
    match choose_engine(&candidates, &request) {
        EngineVerdict::Send { index, .. } => index,
        other => panic!("expected Send, got {other:?}"),
    }
}

/// Simulates requests whose announcements arrive after a delay; returns the share of
/// requests with a first token within the target.
fn simulate(announcement_delay: TimeSpan) -> f64 {
    let engines: Vec<EndpointEntry> = (0..ENGINES)
        .map(|index| entry(&format!("e{index}"), &["m0"]))
        .collect();
    let mut tables: Vec<LoadTable> = (0..VMS).map(|_| LoadTable::default()).collect();
    let mut sent: VecDeque<Announcement> = VecDeque::new();
    let mut free_at = [0_u64; ENGINES];
    // Slots and KV cache never limit the choice in this simulation.
    let load = EndpointLoad::default();
    let mut in_time = 0;
    for number in 0..REQUESTS {
        let micros = number * REQUEST_INTERVAL_US;
        let now = LocalTime::from_micros(micros);
        while sent.front().is_some_and(|next| next.due <= now) {
            let Some(next) = sent.pop_front() else { break };
            let key = NameHash::of(engines[next.engine].id.as_str());
            let others = tables.iter_mut().enumerate();
            for (_, table) in others.filter(|(index, _)| *index != next.from) {
                table.start_remote(&vm(next.from), key, load, UNCACHED_TOKENS, next.due);
            }
        }
        let from = (rendezvous_weight(number, "caller") % VMS as u64) as usize;
        let engine = choose(&tables[from], &engines, now);
        let key = NameHash::of(engines[engine].id.as_str());
        tables[from].start(key, load);
        tables[from].start_prefill(key, UNCACHED_TOKENS, now);
        sent.push_back(Announcement {
            due: now + announcement_delay,
            from,
            engine,
        });
        free_at[engine] = free_at[engine].max(micros) + PREFILL_US;
        if free_at[engine] - micros <= FIRST_TOKEN_TARGET_US {
            in_time += 1;
        }
        // Ends the request in the VM's own counts at once; the estimated prefill queue
        // still holds its tokens.
        tables[from].finish_prefill(key, UNCACHED_TOKENS);
        tables[from].finish(key, load);
    }
    f64::from(in_time) / REQUESTS as f64
}

#[test]
fn immediate_announcements_prevent_herding() {
    let with_announcements = simulate(TimeSpan::from_millis(3));
    let with_heartbeats = simulate(TimeSpan::from_millis(750));
    assert!(
        with_announcements > 0.99,
        "{with_announcements} of the requests in time with immediate announcements"
    );
    assert!(
        with_heartbeats < with_announcements - 0.2,
        "{with_heartbeats} of the requests in time with heartbeats only"
    );
}

#[test]
fn prefill_queue_drains_at_prefill_rate() {
    let mut table = LoadTable::default();
    let key = NameHash::of("e0");
    let load = EndpointLoad {
        runs: 1,
        context_tokens: 9_000,
    };
    let start = LocalTime::from_micros(1_000_000);
    table.start_remote(&vm(1), key, load, 9_000, start);
    assert_eq!(table.pending_prefill(key, start), 9_000.0);
    let later = start + TimeSpan::from_millis(100);
    assert_eq!(table.pending_prefill(key, later), 6_000.0);
    // This VM's requests without a first token count even when the estimated queue is
    // empty.
    table.start(key, load);
    table.start_prefill(key, 500, later);
    let much_later = start + TimeSpan::from_secs(5);
    assert_eq!(table.pending_prefill(key, much_later), 500.0);
    table.finish_prefill(key, 500);
    assert_eq!(table.pending_prefill(key, much_later), 0.0);
}

#[test]
fn heartbeat_replaces_announced_requests() {
    let mut table = LoadTable::default();
    let key = NameHash::of("e0");
    let load = EndpointLoad {
        runs: 1,
        context_tokens: 100,
    };
    let now = LocalTime::from_micros(1);
    table.set_peer(&vm(1), vec![(key, load)]);
    table.start_remote(&vm(1), key, load, 0, now);
    assert_eq!(table.total(key).runs, 2);
    table.set_peer(&vm(1), vec![(key, load)]);
    assert_eq!(table.total(key).runs, 1);
    table.remove_peer(&vm(1));
    assert_eq!(table.total(key), EndpointLoad::default());
}
