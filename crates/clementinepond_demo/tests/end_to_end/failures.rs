//! Failures of endpoints, VMs and the platform, over real sockets.

use crate::support::{Answer, KEY, MODEL, call, complete, engine, plan};
use clementinepond_demo::{FleetPlan, RunningFleet};
use clementinepond_standin::engine::{EngineFaults, expected_text};
use clementinepond_standin::fault::FaultRate;
use clementinepond_standin::platform::OutageKind;
use clementinepond_standin::service::ServiceOptions;
use clementinepond_types::TimeSpan;
use hyper::{Method, StatusCode};
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// The common plan with a plain service in each data centre.
fn service_plan() -> FleetPlan {
    let mut plan = plan();
    for (data_centre, name) in [("dc-a", "filing-a"), ("dc-b", "filing-b")] {
        let options = ServiceOptions {
            endpoint: name.parse().unwrap(),
            ..ServiceOptions::default()
        };
        let route = "filing".parse().unwrap();
        plan.services
            .push((data_centre.parse().unwrap(), route, options));
    }
    plan
}

async fn file(address: SocketAddr, key: Option<&str>, body: &str) -> Answer {
    let authorization = format!("Bearer {KEY}");
    let mut headers = vec![("authorization", authorization.as_str())];
    if let Some(key) = key {
        headers.push(("idempotency-key", key));
    }
    let body = body.as_bytes().to_vec();
    call(
        address,
        Method::POST,
        "/services/filing/claims",
        &headers,
        body,
    )
    .await
}

fn service_runs(fleet: &RunningFleet, body: &str) -> u64 {
    let services = fleet.services.iter();
    services
        .map(|service| service.record().runs_of_body(body))
        .sum()
}

/// Strikes both engines with a fault and expects the whole answer all the same.
async fn expect_whole_despite(change: impl Fn(&mut EngineFaults), stream: bool) {
    let fleet = RunningFleet::start(plan()).await.unwrap();
    fleet.engines[0].set_faults(&change);
    fleet.engines[1].set_faults(&change);
    for round in 0..3 {
        let prompt = format!("ledger of round {round}");
        let answer = complete(fleet.vms[round % 2].caller, &prompt, stream).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        let text = if stream {
            assert!(answer.text().contains("clementinepond-outcome: complete"));
            answer.streamed_text()
        } else {
            answer.json()["choices"][0]["text"].as_str().unwrap().into()
        };
        assert_eq!(text, expected_text(MODEL, "1", &prompt, 16));
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_goes_on_without_gap_or_repeat() {
    let strike = |faults: &mut EngineFaults| {
        faults.truncated_streams = FaultRate::next(1);
        faults.turn_after_tokens = 5;
    };
    expect_whole_despite(strike, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_early_without_an_error_is_noticed() {
    let strike = |faults: &mut EngineFaults| {
        faults.truncated_streams = FaultRate::next(1);
        faults.truncated_cleanly = true;
        faults.turn_after_tokens = 5;
    };
    expect_whole_despite(strike, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_turns_into_anothers_is_dropped() {
    let strike = |faults: &mut EngineFaults| {
        faults.crossed_streams = FaultRate::next(1);
        faults.turn_after_tokens = 3;
    };
    expect_whole_despite(strike, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn anothers_answer_is_dropped() {
    let strike = |faults: &mut EngineFaults| faults.crossed_answers = FaultRate::next(1);
    expect_whole_despite(strike, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_connection_leads_to_another_endpoint() {
    for strike in [
        |faults: &mut EngineFaults| faults.resets_before_read = FaultRate::next(1),
        |faults: &mut EngineFaults| faults.resets_after_read = FaultRate::next(1),
        |faults: &mut EngineFaults| faults.resets_after_run = FaultRate::next(1),
        |faults: &mut EngineFaults| faults.refusals = FaultRate::next(1),
    ] {
        expect_whole_despite(strike, false).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_at_every_vm_at_once_runs_once() {
    let fleet = RunningFleet::start(service_plan()).await.unwrap();
    wait_for_claims(&fleet).await;
    for round in 0..5 {
        let key = format!("filing-{round}");
        let body = format!("claim {round}");
        let (first, second, third) = tokio::join!(
            file(fleet.vms[0].caller, Some(&key), &body),
            file(fleet.vms[1].caller, Some(&key), &body),
            file(fleet.vms[0].caller, Some(&key), &body),
        );
        assert_eq!(service_runs(&fleet, &body), 1);
        let answers = [first, second, third];
        assert!(answers.iter().any(|answer| answer.outcome() == "complete"));
        let again = file(fleet.vms[1].caller, Some(&key), &body).await;
        assert_eq!(again.outcome(), "complete", "{}", again.text());
        assert_eq!(again.headers["clementinepond-replayed"], "true");
        assert_eq!(service_runs(&fleet, &body), 1);
    }
    let reused = file(fleet.vms[0].caller, Some("filing-0"), "another claim").await;
    assert_eq!(reused.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(service_runs(&fleet, "another claim"), 0);
    fleet.stop().await;
}

/// Waits until both VMs take keyed calls.
async fn wait_for_claims(fleet: &RunningFleet) {
    for vm in &fleet.vms {
        let mut round = 0;
        loop {
            let key = format!("probe-{}-{round}", vm.vm);
            let answer = file(vm.caller, Some(&key), &key).await;
            if answer.outcome() == "complete" {
                break;
            }
            assert_eq!(answer.outcome(), "not-run", "{}", answer.text());
            round += 1;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keyed_calls_run_once_while_the_platform_loses_answers() {
    let fleet = RunningFleet::start(service_plan()).await.unwrap();
    wait_for_claims(&fleet).await;
    fleet
        .platform
        .set_faults(|faults| faults.lost_write_answers = FaultRate::per_mille(500));
    for round in 0..10 {
        let key = format!("lossy-{round}");
        let body = format!("lossy claim {round}");
        let vm = &fleet.vms[round % 2];
        let answer = file(vm.caller, Some(&key), &body).await;
        let again = file(vm.caller, Some(&key), &body).await;
        let runs = service_runs(&fleet, &body);
        assert!(runs <= 1, "{runs} runs");
        for answer in [answer, again] {
            if answer.outcome() == "complete" {
                assert_eq!(runs, 1);
            }
        }
    }
    fleet
        .platform
        .set_faults(|faults| faults.lost_write_answers = FaultRate::default());
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_may_run_only_once_is_not_repeated() {
    let fleet = RunningFleet::start(service_plan()).await.unwrap();
    for service in &fleet.services {
        service.set_faults(|faults| faults.resets_after_run = FaultRate::next(1));
    }
    let answer = file(fleet.vms[0].caller, None, "attendance of class 3").await;
    assert_eq!(answer.outcome(), "unknown", "{}", answer.text());
    assert_eq!(service_runs(&fleet, "attendance of class 3"), 1);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_service_gets_callers_requests_only() {
    let fleet = RunningFleet::start(service_plan()).await.unwrap();
    file(fleet.vms[0].caller, None, "one claim").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    for service in &fleet.services {
        for call in service.record().calls() {
            assert!(["/claims", "/report"].contains(&&*call.path), "{call:?}");
        }
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_ends_its_open_stream() {
    let fleet = RunningFleet::start(slow_plan()).await.unwrap();
    let address = fleet.vms[1].caller;
    let stream = tokio::spawn(async move { complete(address, "long plan", true).await });
    wait_for_run(&fleet).await;
    let digest = clementinepond_daemon::key_digest(KEY);
    let path = format!("/v1/keys/{digest}");
    let answer = fleet.vms[0]
        .administer(Method::DELETE, &path, None)
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
    let answer = stream.await.unwrap();
    assert!(answer.text().contains("key_withdrawn"), "{}", answer.text());
    assert!(!answer.text().contains("[DONE]"));
    fleet.stop().await;
}

/// Both engines take long for each token.
fn slow_plan() -> FleetPlan {
    let mut plan = plan();
    for (_, options) in &mut plan.engines {
        options.token_time = TimeSpan::from_millis(150);
    }
    plan
}

async fn wait_for_run(fleet: &RunningFleet) {
    while fleet
        .engines
        .iter()
        .all(|engine| engine.report().running == 0)
    {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn serving_and_withdrawing_go_on_while_the_platform_is_away() {
    let fleet = RunningFleet::start(plan()).await.unwrap();
    fleet
        .platform
        .set_faults(|faults| faults.outage = OutageKind::Silent);
    let answer = complete(fleet.vms[0].caller, "x", false).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    let digest = clementinepond_daemon::key_digest(KEY);
    let withdrawn = fleet.vms[0]
        .administer(Method::DELETE, &format!("/v1/keys/{digest}"), None)
        .await
        .unwrap();
    assert_eq!(
        withdrawn.status,
        StatusCode::ACCEPTED,
        "{:?}",
        withdrawn.body
    );
    loop {
        let answer = complete(fleet.vms[1].caller, "x", false).await;
        if answer.status == StatusCode::UNAUTHORIZED {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet
        .platform
        .set_faults(|faults| faults.outage = OutageKind::None);
    let again = json!({"key": [digest, {"account": "coop"}]});
    let refused = fleet.vms[0]
        .administer(Method::POST, "/v1/changes", Some(&again))
        .await
        .unwrap();
    assert_eq!(refused.status, StatusCode::CONFLICT, "{:?}", refused.body);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_stop_cuts_no_request() {
    let mut fleet = RunningFleet::start(slow_plan()).await.unwrap();
    let vm = fleet.vms.remove(0);
    let address = vm.caller;
    let stream = tokio::spawn(async move { complete(address, "long plan", true).await });
    wait_for_run(&fleet).await;
    vm.stop().await;
    let answer = stream.await.unwrap();
    assert!(answer.text().contains("clementinepond-outcome: complete"));
    assert_eq!(
        answer.streamed_text(),
        expected_text(MODEL, "1", "long plan", 16)
    );
    let answer = complete(fleet.vms[0].caller, "x", false).await;
    assert_eq!(answer.status, StatusCode::OK);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_costs_its_account_no_more_than_was_reserved() {
    // One VM alone: no other can lend what this one would owe.
    let mut plan = slow_plan();
    plan.vms.pop_last();
    plan.engines.pop();
    let fleet = RunningFleet::start(plan).await.unwrap();
    let address = fleet.vms[0].caller;
    let stream = tokio::spawn(async move { complete(address, "long plan", true).await });
    wait_for_run(&fleet).await;
    stream.abort();
    while fleet
        .engines
        .iter()
        .any(|engine| engine.report().running > 0)
    {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for vm in &fleet.vms {
        let answer = complete(vm.caller, "x", false).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_through_two_vms_count_against_one_account() {
    let mut plan = plan();
    let account = plan
        .configuration
        .accounts
        .get_mut(&"coop".parse().unwrap())
        .unwrap();
    // 17 tokens a request; the rate adds one request in about three minutes.
    account.rate = "0.1tok/s".parse().unwrap();
    account.burst = "100tok".parse().unwrap();
    let fleet = RunningFleet::start(plan).await.unwrap();
    let mut answered = 0;
    for round in 0..20 {
        let answer = complete(fleet.vms[round % 2].caller, "x", false).await;
        if answer.status == StatusCode::OK {
            answered += 1;
        } else {
            assert_eq!(answer.status, StatusCode::TOO_MANY_REQUESTS);
            assert_eq!(answer.outcome(), "not-run");
            assert!(answer.headers.contains_key("retry-after"));
        }
    }
    assert!(answered <= 5, "{answered} answers of 17 tokens in 100");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_endpoints_takes_two_at_the_most() {
    let mut plan = plan();
    for name in ["engine-c", "engine-d", "engine-e"] {
        plan.engines.push(("dc-a".parse().unwrap(), engine(name)));
    }
    for (_, options) in &mut plan.engines {
        options.restart_loaded = true;
        options.faults.crash_markers = vec!["poison".into()];
        options.faults.down_for = Some(TimeSpan::from_millis(100));
    }
    let fleet = RunningFleet::start(plan).await.unwrap();
    let before: Vec<u64> = incarnations(&fleet);
    for round in 0..20 {
        let answer = complete(fleet.vms[round % 2].caller, "poison", false).await;
        assert_ne!(answer.status, StatusCode::OK);
    }
    let after = incarnations(&fleet);
    let lost: u64 = before.iter().zip(&after).map(|(old, new)| new - old).sum();
    assert!(lost <= 2, "{lost} endpoints lost");
    let answer = complete(fleet.vms[0].caller, "innocent", false).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    fleet.stop().await;
}

fn incarnations(fleet: &RunningFleet) -> Vec<u64> {
    let engines = fleet.engines.iter();
    engines.map(|engine| engine.report().incarnation).collect()
}
