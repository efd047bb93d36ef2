//! Tests of serving, orders, reports and cache events of the engine.

use crate::client::TestClient;
use clementinepond_standin::engine::{
    EngineOptions, EngineServer, StartModel, expected_text, expected_tokens,
};
use clementinepond_types::{MemorySize, TimeSpan};
use serde_json::{Value, json};
use tokio_util::sync::{CancellationToken, DropGuard};

pub(crate) fn options() -> EngineOptions {
    EngineOptions {
        memory_mib: MemorySize::new(100),
        models: vec![StartModel {
            model: "m".parse().unwrap(),
            version: "v1".into(),
            memory_mib: MemorySize::new(40),
        }],
        incarnation: Some(7),
        ..EngineOptions::default()
    }
}

pub(crate) async fn start(options: EngineOptions) -> (EngineServer, TestClient, DropGuard) {
    let cancel = CancellationToken::new();
    let server = EngineServer::start(options, cancel.clone()).await.unwrap();
    let client = TestClient::new(server.address());
    (server, client, cancel.drop_guard())
}

async fn order(client: &TestClient, number: u64, fencing: u64, action: Value) -> u16 {
    let order = json!({
        "order": number, "fencing_number": fencing, "time_left_ms": 1000, "action": action
    });
    client.post("/orders", &order).await.status
}

fn load(model: &str, memory: u64) -> Value {
    json!({"load_model": {"model": model, "version": "v1", "memory_mib": memory}})
}

#[tokio::test]
async fn completion_returns_expected_tokens() {
    let (server, client, _guard) = start(options()).await;
    let body = json!({"model": "m", "prompt": "hello", "max_tokens": 5}).to_string();
    let headers = [("x-request-id", "r-1"), ("authorization", "Bearer secret")];
    let answer = client
        .send("POST", "/v1/completions", &headers, &body)
        .await
        .unwrap();
    assert_eq!(answer.headers["x-request-id"], "r-1");
    let json = answer.json();
    assert_eq!(json["id"], "r-1");
    assert_eq!(json["object"], "text_completion");
    assert_eq!(
        json["choices"][0]["text"],
        expected_text("m", "v1", "hello", 5)
    );
    assert_eq!(json["choices"][0]["finish_reason"], "length");
    assert_eq!(
        json["usage"],
        json!({"prompt_tokens": 2, "completion_tokens": 5, "total_tokens": 7})
    );
    let record = server.record();
    assert_eq!(
        (record.runs_of_request("r-1"), record.runs_of_body(&body)),
        (1, 1)
    );
    assert!(record.contains("secret"));
}

#[tokio::test]
async fn stream_sends_one_token_per_chunk_and_resumes() {
    let (_server, client, _guard) = start(options()).await;
    let mut body = json!({
        "model": "m", "stream": true,
        "messages": [{"role": "user", "content": "hello"}]
    });
    let full = client.post("/v1/chat/completions", &body).await;
    assert!(full.body.ends_with("data: [DONE]\n\n"));
    let events = full.events();
    let tokens = expected_tokens("m", "v1", "user\nhello\n", 16);
    let content = |event: &Value| event["choices"][0]["delta"]["content"].clone();
    assert_eq!(events.iter().map(content).collect::<Vec<_>>(), tokens);
    assert_eq!(events[0]["object"], "chat.completion.chunk");
    assert_eq!(events[0]["choices"][0]["delta"]["role"], "assistant");
    assert_eq!(events[15]["choices"][0]["finish_reason"], "stop");
    assert_eq!(events[15]["usage"]["completion_tokens"], 16);
    body["resume_from"] = json!(10);
    let rest = client.post("/v1/chat/completions", &body).await.events();
    assert_eq!(rest.iter().map(content).collect::<Vec<_>>(), tokens[10..]);
}

#[tokio::test]
async fn request_for_unloaded_model_is_refused() {
    let (server, client, _guard) = start(options()).await;
    let answer = client
        .post("/v1/completions", &json!({"model": "n", "prompt": "p"}))
        .await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.headers["x-not-run"], "true");
    assert_eq!((server.record().runs, server.record().refused), (0, 1));
    assert_eq!(
        client
            .post("/v1/completions", &json!({"prompt": 1}))
            .await
            .status,
        400
    );
}

#[tokio::test]
async fn load_order_beyond_memory_is_refused() {
    let (server, client, _guard) = start(options()).await;
    assert_eq!(order(&client, 1, 3, load("n", 60)).await, 202);
    assert_eq!(order(&client, 1, 3, load("n", 60)).await, 202);
    assert_eq!(order(&client, 2, 3, load("o", 1)).await, 507);
    assert_eq!(order(&client, 3, 2, load("n", 60)).await, 409);
    while server.report().last_order != 1 || server.report().models.len() != 2 {
        tokio::task::yield_now().await;
    }
    let report = client.get("/report").await.json();
    assert_eq!(
        (&report["used_mib"], &report["fencing_number"]),
        (&json!(100), &json!(3))
    );
    assert_eq!(report["incarnation"], 7);
    let unload = json!({"unload_model": {"model": "m", "version": "v1"}});
    assert_eq!(order(&client, 4, 3, unload).await, 202);
    while server.report().models.len() != 1 {
        tokio::task::yield_now().await;
    }
    let adapter = json!({"load_adapter": {"adapter": "a", "model": "n", "memory_mib": 5}});
    assert_eq!(order(&client, 5, 3, adapter).await, 202);
    while server.report().adapters.is_empty() {
        tokio::task::yield_now().await;
    }
    let answer = client
        .post("/v1/completions", &json!({"model": "a", "prompt": "p"}))
        .await;
    let text = answer.json()["choices"][0]["text"].clone();
    assert_eq!(text, expected_text("a", "v1", "p", 16));
    let record = server.record();
    assert_eq!((record.memory_refusals, record.fencing_refusals), (1, 1));
}

#[tokio::test]
async fn old_fencing_number_is_accepted_without_check() {
    let options = EngineOptions {
        checks_fencing: false,
        ..options()
    };
    let (_server, client, _guard) = start(options).await;
    assert_eq!(order(&client, 1, 3, load("n", 10)).await, 202);
    assert_eq!(order(&client, 2, 2, load("o", 10)).await, 202);
}

#[tokio::test]
async fn draining_model_finishes_running_requests() {
    let options = EngineOptions {
        token_time: TimeSpan::from_millis(2),
        ..options()
    };
    let (server, client, _guard) = start(options).await;
    let runner = client.clone();
    let body = json!({"model": "m", "prompt": "p"});
    let run = tokio::spawn(async move { runner.post("/v1/completions", &body).await });
    while server.record().runs == 0 {
        tokio::task::yield_now().await;
    }
    let unload = json!({"unload_model": {"model": "m", "version": "v1"}});
    order(&client, 1, 1, unload).await;
    let text = run.await.unwrap().json()["choices"][0]["text"].clone();
    assert_eq!(text, expected_text("m", "v1", "p", 16));
    while !server.report().models.is_empty() {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn cache_events_report_stored_and_evicted_prefixes() {
    let options = EngineOptions {
        cached_prefixes: 1,
        ..options()
    };
    let (_server, client, _guard) = start(options).await;
    for prompt in ["one", "one", "two"] {
        client
            .post("/v1/completions", &json!({"model": "m", "prompt": prompt}))
            .await;
    }
    let list = client
        .get("/cache-events?from=0&wait-ms=60000")
        .await
        .json();
    let events = list["events"].as_array().unwrap();
    let ops: Vec<_> = events.iter().map(|event| event["op"].clone()).collect();
    assert_eq!(ops, ["stored", "stored", "evicted"]);
    let hash = clementinepond_standin::engine::prefix_hash("one");
    assert_eq!(list["events"][0]["prefix"], format!("{hash:016x}"));
    assert_eq!(list["next"], 4);
}
