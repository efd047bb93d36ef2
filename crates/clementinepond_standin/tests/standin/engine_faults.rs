//! Tests of engine faults, cancellation and priorities.

use crate::client::TestClient;
use crate::engine::{options, start};
use clementinepond_standin::engine::{EngineFaults, EngineOptions, expected_tokens};
use clementinepond_standin::fault::FaultRate;
use clementinepond_types::TimeSpan;
use serde_json::{Value, json};

fn stream(prompt: &str) -> Value {
    json!({"model": "m", "prompt": prompt, "stream": true})
}

#[tokio::test]
async fn crash_aborts_all_connections_and_empties_memory() {
    let options = EngineOptions {
        token_time: TimeSpan::from_secs(60),
        ..options()
    };
    let (server, client, _guard) = start(options).await;
    let runner = client.clone();
    let bystander = tokio::spawn(async move {
        runner
            .send("POST", "/v1/completions", &[], &stream("good").to_string())
            .await
    });
    while server.record().runs == 0 {
        tokio::task::yield_now().await;
    }
    server.set_faults(|faults| {
        faults.crash_markers = vec!["poison".into()];
        faults.down_for = None;
    });
    let poison = stream("some poison").to_string();
    assert!(
        client
            .send("POST", "/v1/completions", &[], &poison)
            .await
            .is_none()
    );
    assert!(bystander.await.unwrap().is_none());
    assert!(client.send("GET", "/report", &[], "").await.is_none());
    server.restart();
    let report = loop {
        if let Some(answer) = client.send("GET", "/report", &[], "").await {
            break answer.json();
        }
    };
    assert_eq!(
        (&report["incarnation"], &report["models"]),
        (&json!(8), &json!([]))
    );
    assert_eq!(server.record().runs, 2);
}

#[tokio::test]
async fn resets_abort_connections_before_and_after_run() {
    let (server, client, _guard) = start(options()).await;
    let body = stream("p").to_string();
    server.set_faults(|faults| {
        faults.resets_before_read = FaultRate::next(1);
        faults.resets_after_read = FaultRate::next(1);
    });
    assert!(
        client
            .send("POST", "/v1/completions", &[], &body)
            .await
            .is_none()
    );
    assert!(
        client
            .send("POST", "/v1/completions", &[], &body)
            .await
            .is_none()
    );
    assert_eq!(server.record().runs, 0);
    server.set_faults(|faults| faults.resets_after_run = FaultRate::next(1));
    assert!(
        client
            .send("POST", "/v1/completions", &[], &body)
            .await
            .is_none()
    );
    assert_eq!(server.record().runs_of_body(&body), 1);
    server.set_faults(|faults| faults.refusals = FaultRate::next(1));
    assert_eq!(
        client.post("/v1/completions", &stream("p")).await.status,
        503
    );
}

async fn texts(client: &TestClient, prompt: &str) -> Vec<(String, String)> {
    let answer = client.post("/v1/completions", &stream(prompt)).await;
    let text = |event: &Value| {
        let id = event["id"].as_str().unwrap().to_owned();
        (id, event["choices"][0]["text"].as_str().unwrap().to_owned())
    };
    answer.events().iter().map(text).collect()
}

#[tokio::test]
async fn streams_are_crossed_or_truncated_after_configured_tokens() {
    let (server, client, _guard) = start(options()).await;
    server.set_faults(|faults| faults.crossed_streams = FaultRate::next(1));
    let crossed = texts(&client, "p").await;
    let expected = expected_tokens("m", "v1", "p", 16);
    let right = crossed
        .iter()
        .zip(&expected)
        .filter(|((_, text), token)| text == *token);
    assert_eq!(right.count(), 2);
    assert_ne!(crossed[1].0, crossed[2].0);
    server.set_faults(|faults| {
        faults.truncated_streams = FaultRate::next(2);
        faults.truncated_cleanly = true;
    });
    assert_eq!(texts(&client, "p").await.len(), 2);
    server.set_faults(|faults| faults.truncated_cleanly = false);
    let broken = client
        .send("POST", "/v1/completions", &[], &stream("p").to_string())
        .await;
    assert!(broken.is_none());
    server.set_faults(|faults| faults.crossed_answers = FaultRate::next(1));
    assert!(
        texts(&client, "p")
            .await
            .iter()
            .all(|(id, _)| id.starts_with("other-"))
    );
}

#[tokio::test]
async fn cancelled_request_aborts_its_connection() {
    let options = EngineOptions {
        token_time: TimeSpan::from_secs(60),
        ..options()
    };
    let (server, client, _guard) = start(options).await;
    let runner = client.clone();
    let run = tokio::spawn(async move {
        let body = stream("p").to_string();
        runner
            .send("POST", "/v1/completions", &[("x-request-id", "r-1")], &body)
            .await
    });
    while server.record().runs == 0 {
        tokio::task::yield_now().await;
    }
    let cancelled = client.send("DELETE", "/v1/requests/r-1", &[], "").await;
    assert_eq!(cancelled.unwrap().status, 200);
    assert!(run.await.unwrap().is_none());
    while server.report().running > 0 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn lost_order_has_no_effect_but_order_with_lost_answer_does() {
    let (server, client, _guard) = start(options()).await;
    let action = json!({"load_model": {"model": "n", "version": "v1", "memory_mib": 1}});
    let body = |order: u64| {
        json!({"order": order, "fencing_number": 1, "time_left_ms": 9, "action": action})
            .to_string()
    };
    server.set_faults(|faults| faults.lost_orders = FaultRate::next(1));
    assert!(
        client
            .send("POST", "/orders", &[], &body(1))
            .await
            .is_none()
    );
    server.set_faults(|faults| faults.lost_order_answers = FaultRate::next(1));
    assert!(
        client
            .send("POST", "/orders", &[], &body(2))
            .await
            .is_none()
    );
    while server.report().last_order != 2 {
        tokio::task::yield_now().await;
    }
    assert_eq!(server.report().models.len(), 2);
}

#[tokio::test]
async fn higher_priority_runs_first() {
    let options = EngineOptions {
        batch_size: 1,
        token_time: TimeSpan::from_secs(60),
        ..options()
    };
    let (server, client, _guard) = start(options).await;
    let mut runs = Vec::new();
    for (waiting, (priority, prompt)) in [("0", "first"), ("1", "low"), ("9", "high")]
        .into_iter()
        .enumerate()
    {
        let runner = client.clone();
        runs.push(tokio::spawn(async move {
            let body = json!({"model": "m", "prompt": prompt}).to_string();
            let headers = [("x-priority", priority), ("x-request-id", prompt)];
            runner
                .send("POST", "/v1/completions", &headers, &body)
                .await
        }));
        while server.report().queued < waiting as u64 || server.record().runs == 0 {
            tokio::task::yield_now().await;
        }
    }
    client.send("DELETE", "/v1/requests/first", &[], "").await;
    while server.record().runs < 2 {
        tokio::task::yield_now().await;
    }
    assert_eq!(server.record().run_order()[1].as_ref(), "high");
}

#[tokio::test]
async fn report_lags_and_same_seed_selects_same_calls() {
    let options = EngineOptions {
        report_lag: TimeSpan::from_secs(600),
        faults: EngineFaults {
            refusals: FaultRate::per_mille(500),
            ..EngineFaults::default()
        },
        ..options()
    };
    let mut outcomes = Vec::new();
    for _ in 0..2 {
        let (_server, client, _guard) = start(options.clone()).await;
        let first = client.get("/report").await.json();
        let mut statuses = Vec::new();
        for _ in 0..20 {
            statuses.push(client.post("/v1/completions", &stream("p")).await.status);
        }
        assert_eq!(client.get("/report").await.json(), first);
        outcomes.push(statuses);
    }
    assert_eq!(outcomes[0], outcomes[1]);
    assert!(outcomes[0].contains(&200) && outcomes[0].contains(&503));
}
