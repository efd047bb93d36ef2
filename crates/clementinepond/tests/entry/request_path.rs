//! Requests of every kind from caller to endpoint and back.

use crate::support::{Deployment, call_to, complete_stream, expect_answer, wait_until};
use clementinepond_platform_standin::send_call;

#[tokio::test(flavor = "multi_thread")]
async fn every_request_kind_gets_complete_answer() {
    let deployment = Deployment::start(2).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    for (path, model) in [
        ("/chat/one", Some("m0")),
        ("/batch/one", Some("m0")),
        ("/chat/submit/one", None),
        ("/read/one?q=1", None),
    ] {
        let call = call_to(path, model);
        let attempt = call.attempt.clone();
        let (status, body) = expect_answer(send_call(entry.callers, call).await);
        assert_eq!(status, 200, "{path}: {body}");
        let expected = match model {
            Some(_) => complete_stream(),
            None => format!("answer to {attempt}"),
        };
        assert_eq!(body, expected);
        let runs = deployment.checker.runs_of(&attempt);
        assert_eq!(runs.len(), 1);
        assert_eq!(runs[0].account.as_deref(), Some("desk"));
    }
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn unloaded_model_is_loaded_and_served() {
    let deployment = Deployment::start(2).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    let engines = deployment.engines.clone();
    wait_until("m1 is loaded somewhere", || {
        engines
            .iter()
            .any(|engine| engine.models().contains(&"m1".to_owned()))
    })
    .await;
    wait_until("the entry VM sees the loaded model", || {
        entry.has_logged("change=Updated")
    })
    .await;
    let (status, _) =
        expect_answer(send_call(entry.callers, call_to("/chat/rare", Some("m1"))).await);
    assert_eq!(status, 200);
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn adapters_are_loaded_on_demand_within_slots() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    wait_until("the VM holds the placement lease", || {
        entry.has_logged("event=duty_acquired")
    })
    .await;
    for round in 0..8 {
        let model = format!("m0/a{}", round % 4 + 1);
        // The first request may arrive before the lease holder has read the engine status.
        let mut status = 0;
        for _ in 0..20 {
            let call = call_to("/chat/adapter", Some(&model));
            status = expect_answer(send_call(entry.callers, call).await).0;
            if status == 200 {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        }
        assert_eq!(status, 200, "{model}");
    }
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn two_vms_learn_of_each_other_and_one_holds_lease() {
    let deployment = Deployment::start(2).await;
    let (first, second) = (deployment.entry("vm-1"), deployment.entry("vm-2"));
    first.ready().await;
    second.ready().await;
    wait_until("the VMs learn of each other", || {
        first.has_logged("event=peer_learned") && second.has_logged("event=peer_learned")
    })
    .await;
    wait_until("exactly one VM holds the placement lease", || {
        first.has_logged("event=duty_acquired") != second.has_logged("event=duty_acquired")
    })
    .await;
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
}
