//! Tests of the object API, watches, faults and VM list of the platform.

use crate::client::TestClient;
use clementinepond_standin::fault::FaultRate;
use clementinepond_standin::platform::{
    OutageKind, PlatformOptions, PlatformServer, VmEntry, VmState,
};
use serde_json::json;
use tokio_util::sync::{CancellationToken, DropGuard};

async fn start(options: PlatformOptions) -> (PlatformServer, TestClient, DropGuard) {
    let cancel = CancellationToken::new();
    let server = PlatformServer::start(options, cancel.clone())
        .await
        .unwrap();
    let client = TestClient::new(server.address());
    (server, client, cancel.drop_guard())
}

#[tokio::test]
async fn conditional_update_of_other_version_conflicts() {
    let (_server, client, _guard) = start(PlatformOptions::default()).await;
    let created = client
        .put("/objects/claim/a%2F1?if-version=0", "{\"x\":1}")
        .await;
    assert_eq!(created.status, 200);
    assert_eq!(
        created.json(),
        json!({"kind": "claim", "name": "a/1", "version": 1, "value": {"x": 1}})
    );
    let again = client.put("/objects/claim/a%2F1?if-version=0", "2").await;
    assert_eq!((again.status, again.json()), (409, created.json()));
    let missing = client.put("/objects/claim/b?if-version=7", "2").await;
    assert_eq!((missing.status, missing.body.as_str()), (409, "null"));
    let second = client.put("/objects/claim/a%2F1?if-version=1", "2").await;
    assert_eq!(second.json()["version"], 2);
    assert_eq!(
        client.get("/objects/claim/a%2F1").await.json(),
        second.json()
    );
    let list = client.get("/objects/claim").await.json();
    assert_eq!(list, json!({"version": 2, "objects": [second.json()]}));
    let old = client
        .send("DELETE", "/objects/claim/a%2F1?if-version=1", &[], "")
        .await;
    assert_eq!(old.unwrap().status, 409);
    let gone = client
        .send("DELETE", "/objects/claim/a%2F1?if-version=2", &[], "")
        .await;
    assert_eq!(gone.unwrap().json(), json!({"version": 3}));
    assert_eq!(client.get("/objects/claim/a%2F1").await.status, 404);
}

#[tokio::test]
async fn unconditional_write_overwrites_and_invalid_value_is_refused() {
    let options = PlatformOptions {
        value_limit: 10,
        ..PlatformOptions::default()
    };
    let (_server, client, _guard) = start(options).await;
    assert_eq!(client.put("/objects/status/a", "1").await.status, 200);
    assert_eq!(
        client.put("/objects/status/a", "2").await.json()["version"],
        2
    );
    let large = client.put("/objects/status/a", "\"0123456789\"").await;
    assert_eq!(large.status, 413);
    assert_eq!(large.json()["error"]["code"], "value_too_large");
    assert_eq!(client.put("/objects/status/a", "{").await.status, 400);
}

#[tokio::test]
async fn watch_returns_on_change_of_its_kind() {
    let (server, client, _guard) = start(PlatformOptions::default()).await;
    let watcher = client.clone();
    let watch =
        tokio::spawn(async move { watcher.get("/watch/roster?from=0&wait-ms=60000").await });
    while server.calls().watches == 0 {
        tokio::task::yield_now().await;
    }
    client.put("/objects/status/other", "1").await;
    client.put("/objects/roster/dc-1", "{\"epoch\":1}").await;
    let seen = watch.await.unwrap().json();
    assert_eq!(seen["version"], 2);
    assert_eq!(seen["changes"][0]["name"], "dc-1");
    let empty = client.get("/watch/roster?from=2&wait-ms=1").await.json();
    assert_eq!(empty, json!({"version": 2, "changes": []}));
    client.send("DELETE", "/objects/roster/dc-1", &[], "").await;
    let deleted = client
        .get("/watch/roster?from=2&wait-ms=60000")
        .await
        .json();
    assert_eq!(deleted["changes"][0]["value"], json!(null));
}

#[tokio::test]
async fn watch_from_dropped_version_returns_410() {
    let options = PlatformOptions {
        kept_changes: 2,
        ..PlatformOptions::default()
    };
    let (server, client, _guard) = start(options).await;
    for value in 0..4 {
        server.put_object("plan", "dc-1", json!(value));
    }
    assert_eq!(client.get("/watch/plan?from=1&wait-ms=0").await.status, 410);
    let kept = client.get("/watch/plan?from=2&wait-ms=0").await.json();
    assert_eq!(kept["changes"].as_array().unwrap().len(), 2);
}

#[tokio::test]
async fn calls_are_counted_and_refused_above_rate_limit() {
    let options = PlatformOptions {
        reads_per_second: 1,
        ..PlatformOptions::default()
    };
    let (server, client, _guard) = start(options).await;
    client.put("/objects/status/a", "1").await;
    let mut statuses = Vec::new();
    for _ in 0..20 {
        statuses.push(client.get("/objects/status/a").await.status);
    }
    assert_eq!(statuses[0], 200);
    assert!(statuses.contains(&429));
    let counts = client.get("/calls").await.json();
    assert_eq!(counts, json!({"reads": 20, "writes": 1, "watches": 0}));
    assert_eq!(server.calls().reads, 20);
}

#[tokio::test]
async fn write_with_lost_answer_takes_effect() {
    let (server, client, _guard) = start(PlatformOptions::default()).await;
    server.set_faults(|faults| faults.lost_write_answers = FaultRate::next(1));
    let lost = client
        .send("PUT", "/objects/claim/a?if-version=0", &[], "1")
        .await;
    assert!(lost.is_none());
    assert_eq!(client.get("/objects/claim/a").await.json()["value"], 1);
    server.set_faults(|faults| faults.lost_writes = FaultRate::next(1));
    assert!(
        client
            .send("PUT", "/objects/claim/b", &[], "1")
            .await
            .is_none()
    );
    assert_eq!(client.get("/objects/claim/b").await.status, 404);
}

#[tokio::test]
async fn outage_refuses_calls_or_leaves_them_unanswered() {
    let (server, client, _guard) = start(PlatformOptions::default()).await;
    server.set_faults(|faults| faults.outage = OutageKind::Refusing);
    let refused = client.put("/objects/claim/a", "1").await;
    assert_eq!(
        (refused.status, refused.json()["error"]["code"].clone()),
        (503, json!("outage"))
    );
    assert!(server.object("claim", "a").is_none());
    server.set_faults(|faults| faults.outage = OutageKind::SilentWithEffect);
    let writer = client.clone();
    let write = tokio::spawn(async move { writer.put("/objects/claim/a", "1").await });
    while server.object("claim", "a").is_none() {
        tokio::task::yield_now().await;
    }
    assert!(!write.is_finished());
    write.abort();
    server.set_faults(|faults| faults.outage = OutageKind::None);
    assert_eq!(client.get("/objects/claim/a").await.status, 200);
}

#[tokio::test]
async fn frozen_vm_list_hides_changes() {
    let entry = |state| VmEntry {
        vm: "vm-1".parse().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
        state,
    };
    let options = PlatformOptions {
        vms: vec![entry(VmState::Live)],
        ..PlatformOptions::default()
    };
    let (server, client, _guard) = start(options).await;
    server.set_faults(|faults| faults.vm_list_frozen = true);
    server.set_vms(vec![entry(VmState::Leaving)]);
    assert_eq!(client.get("/vms").await.json()["vms"][0]["state"], "live");
    server.set_faults(|faults| faults.vm_list_frozen = false);
    assert_eq!(
        client.get("/vms").await.json(),
        json!({"vms": [{"vm": "vm-1", "data_centre": "dc-1", "state": "leaving"}]})
    );
}
