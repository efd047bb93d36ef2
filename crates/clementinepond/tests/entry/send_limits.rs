//! Endpoints that state how many requests a second they take from all VMs together.

use crate::crash_support::{addresses, is_served, ready_vms};
use crate::support::{Deployment, EntryProcess, call_to};
use clementinepond_platform_standin::{
    ArrivalRecord, CallOutcome, EndpointFaults, StandinEndpoint, send_call,
};
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Window in which arrivals at an endpoint are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the first statement of a limit until it must be kept.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// Interval between calls; far more than the limits of the tests.
const CALL_INTERVAL: Duration = Duration::from_millis(25);

/// Call of a test, and the time until its outcome.
struct TimedCall {
    outcome: CallOutcome,
    took: Duration,
}

fn state_limit(endpoint: &StandinEndpoint, limit: Option<f64>) {
    endpoint.set_faults(EndpointFaults {
        stated_limit: limit,
        ..EndpointFaults::default()
    });
}

/// Sends calls to the VMs in turn for a time, and waits for their outcomes.
async fn call_for(
    entries: &[SocketAddrV4],
    time: Duration,
    path: &str,
    models: &[Option<&str>],
) -> Vec<TimedCall> {
    let count = time.as_millis() / CALL_INTERVAL.as_millis();
    let mut ticks = tokio::time::interval(CALL_INTERVAL);
    let mut calls = Vec::new();
    for number in 0..count as usize {
        ticks.tick().await;
        let entry = entries[number % entries.len()];
        // Consecutive calls to a VM use different models.
        let model = models[number / entries.len() % models.len()];
        let call = call_to(path, model);
        calls.push(tokio::spawn(async move {
            let started = Instant::now();
            let outcome = send_call(entry, call).await;
            TimedCall {
                outcome,
                took: started.elapsed(),
            }
        }));
    }
    let mut outcomes = Vec::new();
    for call in calls {
        outcomes.push(call.await.unwrap());
    }
    outcomes
}

/// Checks that no window from `kept_from` on has more than one and a half times the arrivals
/// that the limit allows, plus 5.
fn assert_limit_kept(arrivals: &[ArrivalRecord], limit: f64, kept_from: Instant) {
    let allowed = (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize;
    let counted: Vec<Instant> = arrivals
        .iter()
        .map(|arrival| arrival.at)
        .filter(|at| *at >= kept_from)
        .collect();
    for start in &counted {
        let within = |at: &&Instant| **at >= *start && **at < *start + WINDOW;
        let count = counted.iter().filter(within).count();
        assert!(
            count <= allowed,
            "{count} calls in {WINDOW:?} at an endpoint that takes {limit} a second; allowed {allowed}"
        );
    }
}

/// Checks that an endpoint got at least half of what it takes between two times.
fn assert_room_used(arrivals: &[ArrivalRecord], limit: f64, from: Instant, until: Instant) {
    let within = |arrival: &&ArrivalRecord| arrival.at >= from && arrival.at < until;
    let count = arrivals.iter().filter(within).count();
    let room = limit * (until - from).as_secs_f64();
    assert!(
        count as f64 >= room / 2.0,
        "{count} calls at an endpoint that takes {room}"
    );
}

fn served(calls: &[TimedCall]) -> usize {
    calls.iter().filter(|call| is_served(&call.outcome)).count()
}

/// Starts VMs that know each other.
async fn connected_vms(deployment: &Deployment, count: usize) -> Vec<EntryProcess> {
    let entries = ready_vms(deployment, count).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    entries
}

/// Plays a limit at one of two endpoints, of which the other takes the rest.
async fn play_one_limit(vms: usize, limit: f64, path: &str, model: Option<&str>) {
    let deployment = Deployment::start(2).await;
    let (limited, name) = match model {
        Some(_) => (&deployment.engines[0], "engines-0"),
        None => (&deployment.services[0], "files-0"),
    };
    let entries = connected_vms(&deployment, vms).await;
    let callers = addresses(&entries);
    call_for(&callers, Duration::from_secs(1), path, &[model]).await;
    state_limit(limited, Some(limit));
    let kept_from = Instant::now() + NOTICE_TIME;
    call_for(&callers, NOTICE_TIME, path, &[model]).await;
    let from = Instant::now();
    let calls = call_for(&callers, Duration::from_secs(8), path, &[model]).await;
    let arrivals = deployment.checker.arrivals_at(name);
    assert_limit_kept(&arrivals, limit, kept_from);
    assert_room_used(&arrivals, limit, from, Instant::now());
    let share = served(&calls) * 100 / calls.len();
    assert!(
        share >= 95,
        "{share} in 100 calls served beside a sound endpoint"
    );
    state_limit(limited, None);
    call_for(&callers, NOTICE_TIME, path, &[model]).await;
    let before = deployment.checker.arrivals_at(name).len();
    let calls = call_for(&callers, Duration::from_secs(2), path, &[model]).await;
    let more = deployment.checker.arrivals_at(name).len() - before;
    assert!(
        more * 4 >= calls.len(),
        "{more} of {} calls at one of two endpoints that no longer states a limit",
        calls.len()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn vms_together_exceed_no_stated_limit_of_an_engine() {
    play_one_limit(3, 2.0, "/batch/x", Some("m0")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn eight_vms_together_exceed_no_limit_below_one_a_second() {
    play_one_limit(8, 0.5, "/read/x", None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_beyond_the_limits_of_all_endpoints_are_refused_at_once() {
    let deployment = Deployment::start(1).await;
    for endpoint in &deployment.services {
        state_limit(endpoint, Some(1.0));
    }
    let entries = connected_vms(&deployment, 3).await;
    let callers = addresses(&entries);
    let kept_from = Instant::now() + NOTICE_TIME;
    call_for(&callers, NOTICE_TIME, "/read/x", &[None]).await;
    let calls = call_for(&callers, Duration::from_secs(5), "/read/x", &[None]).await;
    for name in ["files-0", "files-1"] {
        assert_limit_kept(&deployment.checker.arrivals_at(name), 1.0, kept_from);
    }
    assert!(served(&calls) >= 5, "{} calls served", served(&calls));
    for call in calls.iter().filter(|call| !is_served(&call.outcome)) {
        assert!(
            matches!(&call.outcome, CallOutcome::Answer { status, retry_after: Some(_), .. } if *status == 503),
            "{:?}",
            call.outcome
        );
        assert!(
            call.took < Duration::from_millis(500),
            "refused after {:?}",
            call.took
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_streams_and_retries_count_against_a_stated_limit() {
    let deployment = Deployment::start(2).await;
    deployment.engines[1].set_faults(EndpointFaults {
        break_after: Some(3),
        ..EndpointFaults::default()
    });
    let entries = connected_vms(&deployment, 3).await;
    let callers = addresses(&entries);
    state_limit(&deployment.engines[0], Some(1.0));
    let kept_from = Instant::now() + NOTICE_TIME;
    let time = NOTICE_TIME + Duration::from_secs(6);
    call_for(&callers, time, "/batch/x", &[Some("m0")]).await;
    let arrivals = deployment.checker.arrivals_at("engines-0");
    assert_limit_kept(&arrivals, 1.0, kept_from);
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_count_against_a_stated_limit() {
    let deployment = Deployment::start(2).await;
    for engine in &deployment.engines {
        state_limit(engine, Some(1.0));
    }
    let entries = connected_vms(&deployment, 3).await;
    let callers = addresses(&entries);
    let models = ["m0/a1", "m0/a2", "m0/a3", "m0/a4"].map(Some);
    let kept_from = Instant::now() + NOTICE_TIME;
    let time = NOTICE_TIME + Duration::from_secs(6);
    call_for(&callers, time, "/batch/x", &models).await;
    for name in ["engines-0", "engines-1"] {
        assert_limit_kept(&deployment.checker.arrivals_at(name), 1.0, kept_from);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_that_takes_nothing_gets_no_orders() {
    let deployment = Deployment::start(2).await;
    for engine in &deployment.engines {
        state_limit(engine, Some(0.0));
    }
    let entries = connected_vms(&deployment, 3).await;
    let callers = addresses(&entries);
    call_for(&callers, Duration::from_secs(1), "/batch/x", &[Some("m0")]).await;
    let told = Instant::now();
    let models = ["m0/a1", "m0/a2"].map(Some);
    call_for(&callers, Duration::from_secs(3), "/batch/x", &models).await;
    for name in ["engines-0", "engines-1"] {
        let arrivals = deployment.checker.arrivals_at(name);
        let late: Vec<_> = arrivals.iter().filter(|call| call.at > told).collect();
        assert!(late.is_empty(), "{late:?}");
    }
}
