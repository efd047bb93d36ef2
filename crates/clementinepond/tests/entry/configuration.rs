//! Changes of configuration and endpoints, with the store available and unavailable.

use crate::support::{Deployment, call_to, configuration, expect_answer, wait_until};
use clementinepond_platform_standin::send_call;
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_stays_refused_after_older_version() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    let mut withdrawn = configuration(9);
    withdrawn["tenants"][0]["api_keys"] = json!([]);
    deployment.store.put("config", "main", withdrawn);
    wait_until("version 9 is applied", || {
        entry.has_logged("event=configuration_applied version=9")
    })
    .await;
    let (status, _) = expect_answer(send_call(entry.callers, call_to("/read/x", None)).await);
    assert_eq!(status, 401);
    // An older version that arrives late.
    deployment.store.put("config", "main", configuration(4));
    deployment
        .store
        .put("servers", "mark", json!({ "service": 7 }));
    wait_until("the entry written after the older version is seen", || {
        entry.has_logged("endpoint=mark")
    })
    .await;
    let (status, _) = expect_answer(send_call(entry.callers, call_to("/read/x", None)).await);
    assert_eq!(status, 401);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_configuration_keeps_previous_until_next_valid_one() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    let mut invalid = configuration(9);
    invalid["routes"][3]["route_type"] = json!("odd");
    invalid["tenants"][0]["api_keys"] = json!([]);
    deployment.store.put("config", "main", invalid);
    wait_until("version 9 is refused", || {
        entry.has_logged("event=configuration_refused")
    })
    .await;
    let (status, _) = expect_answer(send_call(entry.callers, call_to("/read/x", None)).await);
    assert_eq!(status, 200);
    let mut withdrawn = configuration(10);
    withdrawn["tenants"][0]["api_keys"] = json!([]);
    deployment.store.put("config", "main", withdrawn);
    wait_until("version 10 is applied", || {
        entry.has_logged("event=configuration_applied version=10")
    })
    .await;
    let (status, _) = expect_answer(send_call(entry.callers, call_to("/read/x", None)).await);
    assert_eq!(status, 401);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_endpoint_entries_are_ignored() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    for (index, spec) in [
        json!(null),
        json!("text"),
        json!({ "service": "files", "address": "nowhere", "zone": "dc-a", "state": "ready" }),
        json!({ "service": "files", "address": "127.0.0.1:1", "zone": "dc-a", "state": "odd" }),
        json!({ "service": "files", "address": 5, "zone": [], "state": {} }),
    ]
    .into_iter()
    .enumerate()
    {
        deployment
            .store
            .put("servers", &format!("odd-{index}"), spec);
    }
    wait_until("the last entry is seen", || {
        entry.has_logged("endpoint=odd-4")
    })
    .await;
    for _ in 0..4 {
        let (status, _) = expect_answer(send_call(entry.callers, call_to("/read/x", None)).await);
        assert_eq!(status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_endpoint_gets_no_new_requests() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    deployment.services[0].drain();
    wait_until("the VM sees the draining endpoint", || {
        entry.has_logged("change=Draining")
    })
    .await;
    for _ in 0..10 {
        let call = call_to("/read/x", None);
        let attempt = call.attempt.clone();
        assert_eq!(expect_answer(send_call(entry.callers, call).await).0, 200);
        assert_eq!(deployment.checker.runs_of(&attempt)[0].endpoint, "files-1");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_succeed_while_store_is_unavailable() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    deployment.store.set_down(true);
    wait_until("the VM detects the outage", || {
        entry.has_logged("event=store_lost")
    })
    .await;
    let before = deployment.store.calls();
    for _ in 0..10 {
        assert_eq!(
            expect_answer(send_call(entry.callers, call_to("/read/x", None)).await).0,
            200
        );
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    let calls = deployment.store.calls() - before;
    assert!(
        calls < 60,
        "{calls} calls to the unavailable store, expected fewer than 60"
    );
    deployment.store.set_down(false);
    wait_until("the VM detects the end of the outage", || {
        entry.has_logged("event=store_regained")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn compacted_history_is_recovered_by_listing() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    for version in 10..14 {
        deployment
            .store
            .put("config", "main", configuration(version));
        deployment.store.compact();
    }
    deployment.store.put("config", "main", configuration(20));
    wait_until("the last version is applied", || {
        entry.has_logged("event=configuration_applied version=20")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_store_answers_do_not_prevent_lease() {
    let deployment = Deployment::start(1).await;
    deployment.store.lose_answers(3);
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    wait_until("the VM holds the placement lease", || {
        entry.has_logged("event=duty_acquired")
    })
    .await;
    let engines = deployment.engines.clone();
    wait_until("m1 is loaded", || {
        engines[0].models().contains(&"m1".to_owned())
    })
    .await;
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_store_is_not_waited_for_as_long_as_a_watch_after_it_was_lost() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    deployment.store.set_silent(true);
    for kind in ["config", "servers"] {
        let lost = format!("event=store_lost kind={kind}");
        wait_until("the VM has lost the store", || entry.has_logged(&lost)).await;
    }
    let before = deployment.store.unanswered_waits().len();
    wait_until("the VM has tried again", || {
        deployment.store.unanswered_waits().len() > before + 2
    })
    .await;
    let waits = deployment.store.unanswered_waits();
    assert!(
        waits[before + 1..].iter().all(|wait| *wait == 0),
        "{waits:?}"
    );
}
