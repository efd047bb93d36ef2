//! A request's whole way over real sockets.

use crate::support::{KEY, MODEL, call, complete, plan};
use clementinepond_demo::RunningFleet;
use clementinepond_standin::engine::expected_text;
use hyper::{Method, StatusCode};
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_answered_whole_by_every_vm() {
    let fleet = RunningFleet::start(plan()).await.unwrap();
    for vm in &fleet.vms {
        for stream in [false, true] {
            let answer = complete(vm.caller, "diesel ledger", stream).await;
            assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
            let text = if stream {
                assert!(answer.text().contains("clementinepond-outcome: complete"));
                assert!(answer.text().trim_end().ends_with("data: [DONE]"));
                answer.streamed_text()
            } else {
                assert_eq!(answer.outcome(), "complete");
                answer.json()["choices"][0]["text"].as_str().unwrap().into()
            };
            assert_eq!(text, expected_text(MODEL, "1", "diesel ledger", 16));
        }
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_endpoint_sees_the_key() {
    let fleet = RunningFleet::start(plan()).await.unwrap();
    complete(fleet.vms[0].caller, "diesel ledger", true).await;
    let seen: String = fleet
        .engines
        .iter()
        .map(|engine| format!("{:?}", engine.record()))
        .collect();
    assert!(seen.contains("diesel ledger"));
    assert!(!seen.contains(KEY));
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_a_valid_key_does_not_run() {
    let fleet = RunningFleet::start(plan()).await.unwrap();
    for key in ["", "Bearer", "Bearer wrong", "Basic abc"] {
        let body = json!({"model": MODEL, "prompt": "x"}).to_string();
        let answer = call(
            fleet.vms[0].caller,
            Method::POST,
            "/v1/completions",
            &[("authorization", key)],
            body.into_bytes(),
        )
        .await;
        assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
        assert_eq!(answer.outcome(), "not-run");
    }
    for engine in &fleet.engines {
        assert!(!format!("{:?}", engine.record()).contains("prompt"));
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_input_is_refused_at_once() {
    let fleet = RunningFleet::start(plan()).await.unwrap();
    let bodies = [
        "",
        "{",
        "[]",
        "{}",
        "{\"model\":7}",
        "{\"model\":\"ledger\"}",
        "{\"model\":\"ledger\",\"prompt\":[1]}",
        "{\"model\":\"ledger\",\"prompt\":\"x\",\"max_tokens\":-1}",
        "{\"model\":\"ledger\",\"prompt\":\"x\",\"max_tokens\":1e99}",
        "{\"model\":\"ledger\",\"prompt\":\"x\",\"n\":2}",
        "{\"model\":\"ledger\",\"prompt\":\"x\",\"stream\":\"yes\"}",
        "{\"model\":\"ledger\",\"messages\":[]}",
        "{\"model\":\"ledger\",\"messages\":[7]}",
        "{\"model\":\"none\",\"prompt\":\"x\"}",
    ];
    let authorization = format!("Bearer {KEY}");
    let headers = [("authorization", authorization.as_str())];
    for body in bodies {
        let answer = call(
            fleet.vms[0].caller,
            Method::POST,
            "/v1/completions",
            &headers,
            body.into(),
        )
        .await;
        assert!(answer.status.is_client_error(), "{body}: {}", answer.text());
        assert_eq!(answer.outcome(), "not-run", "{body}");
        assert!(answer.json()["error"]["message"].is_string(), "{body}");
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_give_and_withdraw_keys_while_traffic_runs() {
    let fleet = RunningFleet::start(plan()).await.unwrap();
    let vm = &fleet.vms[0];
    let given = vm
        .administer(Method::POST, "/v1/accounts/coop/keys", None)
        .await
        .unwrap();
    assert_eq!(given.status, StatusCode::OK, "{:?}", given.body);
    let key = format!("Bearer {}", given.body["key"].as_str().unwrap());
    let body = json!({"model": MODEL, "prompt": "x", "max_tokens": 4}).to_string();
    let other = fleet.vms[1].caller;
    wait_for_status(other, &key, &body, StatusCode::OK).await;
    let path = format!("/v1/keys/{}", given.body["digest"].as_str().unwrap());
    let withdrawn = vm.administer(Method::DELETE, &path, None).await.unwrap();
    assert_eq!(withdrawn.status, StatusCode::OK, "{:?}", withdrawn.body);
    wait_for_status(other, &key, &body, StatusCode::UNAUTHORIZED).await;
    fleet.stop().await;
}

async fn wait_for_status(
    address: std::net::SocketAddr,
    authorization: &str,
    body: &str,
    status: StatusCode,
) {
    let headers = [("authorization", authorization)];
    loop {
        let body = body.as_bytes().to_vec();
        let answer = call(address, Method::POST, "/v1/completions", &headers, body).await;
        if answer.status == status {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_do_not_overwrite_each_other() {
    let fleet = RunningFleet::start(plan()).await.unwrap();
    let vm = &fleet.vms[0];
    let read = vm
        .administer(Method::GET, "/v1/configuration", None)
        .await
        .unwrap();
    let path = format!("/v1/accounts/coop?if-version={}", read.body["version"]);
    let first = json!({"rate": "5tok/s", "burst": "50tok"});
    let second = json!({"rate": "6tok/s", "burst": "60tok"});
    let stored = vm
        .administer(Method::PUT, &path, Some(&first))
        .await
        .unwrap();
    assert_eq!(stored.status, StatusCode::OK, "{:?}", stored.body);
    let refused = vm
        .administer(Method::PUT, &path, Some(&second))
        .await
        .unwrap();
    assert_eq!(refused.status, StatusCode::CONFLICT);
    let invalid = json!({"rate": "0tok/s", "burst": "60tok"});
    let refused = vm
        .administer(Method::PUT, "/v1/accounts/coop", Some(&invalid))
        .await
        .unwrap();
    assert_eq!(refused.status, StatusCode::UNPROCESSABLE_ENTITY);
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_administration_api_describes_itself() {
    let fleet = RunningFleet::start(plan()).await.unwrap();
    let answer = fleet.vms[0]
        .administer(Method::GET, "/openapi.json", None)
        .await
        .unwrap();
    let paths = answer.body["paths"].as_object().unwrap();
    for path in [
        "/v1/configuration",
        "/v1/keys/{digest}",
        "/v1/accounts/{id}/keys",
        "/v1/{kind}/{id}",
    ] {
        assert!(paths.contains_key(path), "{path} of {:?}", paths.keys());
    }
    fleet.stop().await;
}
