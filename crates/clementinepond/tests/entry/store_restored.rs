//! A store that comes back from a copy: revisions go back and are given out again.

use crate::support::{Deployment, EntryProcess, call_to, configuration, expect_answer, wait_until};
use clementinepond_platform_standin::{CallOutcome, send_call};
use serde_json::json;
use std::time::Duration;

/// Number of changes that the store loses.
const LOST_CHANGES: u64 = 40;

/// Time over which calls of the store are counted, and their maximum: ten a second and VM.
const CALM_DURATION: Duration = Duration::from_secs(2);
const MAX_CALM_CALLS: u64 = 40;

/// Number of calls in a row that avoid a leaving endpoint, and of calls altogether; these end
/// before the next orders, after which endpoints write their entries again.
const CALLS_IN_A_ROW: u32 = 6;
const MAX_CALLS: u32 = 16;

/// VMs whose store went back to a copy from before their start.
struct RestoredFleet {
    deployment: Deployment,
    entries: Vec<EntryProcess>,
    /// Index of the engine that serves the calls of these tests.
    busy_engine: usize,
}

/// Starts VMs and lets their store go back; `change`, which gets the index of the busy
/// engine, is made before the store serves again.
async fn restored(change: impl FnOnce(&Deployment, usize)) -> RestoredFleet {
    let deployment = Deployment::start(2).await;
    let copy = deployment.store.copy();
    let entries = vec![deployment.entry("vm-1"), deployment.entry("vm-2")];
    for entry in &entries {
        entry.ready().await;
    }
    wait_until("a VM holds the placement lease", || {
        let is_holder = |entry: &EntryProcess| entry.has_logged("event=duty_acquired");
        entries.iter().any(is_holder)
    })
    .await;
    deployment.store.put("config", "main", configuration(4));
    for number in 0..LOST_CHANGES {
        deployment.store.put("config", "other", json!(number));
    }
    wait_until("the VMs have the configuration", || {
        let is_current = |entry: &EntryProcess| entry.has_logged("configuration_applied version=4");
        entries.iter().all(is_current)
    })
    .await;
    // The VMs' watches of endpoints go on from a revision that is lost.
    deployment.services[0].drain();
    wait_until("the VMs know that a service leaves", || {
        let knows = |entry: &EntryProcess| entry.has_logged("endpoint=files-0 change=Draining");
        entries.iter().all(knows)
    })
    .await;
    let call = call_to("/chat/one", Some("m0"));
    let attempt = call.attempt.clone();
    assert_eq!(
        expect_answer(send_call(entries[0].callers, call).await).0,
        200
    );
    let runs = deployment.checker.runs_of(&attempt);
    let busy_engine = usize::from(runs[0].endpoint == "engines-1");
    deployment.store.set_down(true);
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.store.restore(&copy);
    // The operator and the endpoints write again what was lost.
    deployment.store.put("config", "main", configuration(4));
    deployment.services[0].drain();
    change(&deployment, busy_engine);
    deployment.store.set_down(false);
    RestoredFleet {
        deployment,
        entries,
        busy_engine,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_followed_after_the_store_came_back_from_a_copy() {
    let RestoredFleet {
        deployment,
        entries,
        ..
    } = restored(|_, _| {}).await;
    let before = deployment.store.calls();
    tokio::time::sleep(CALM_DURATION).await;
    let calls = deployment.store.calls() - before;
    assert!(calls < MAX_CALM_CALLS, "{calls} calls in {CALM_DURATION:?}");
    deployment.store.put("config", "main", configuration(5));
    wait_until("every VM applies the next configuration", || {
        let is_applied = |entry: &EntryProcess| entry.has_logged("configuration_applied version=5");
        entries.iter().all(is_applied)
    })
    .await;
}

/// Makes calls at each VM until they avoid the engine that was busy.
async fn busy_engine_is_avoided(fleet: &RestoredFleet) {
    let busy = format!("engines-{}", fleet.busy_engine);
    // Some calls may still go to the endpoint that leaves, but not for long.
    for entry in &fleet.entries {
        let mut avoided = 0;
        for _ in 0..MAX_CALLS {
            let call = call_to("/chat/one", Some("m0"));
            let attempt = call.attempt.clone();
            assert_eq!(expect_answer(send_call(entry.callers, call).await).0, 200);
            let runs = fleet.deployment.checker.runs_of(&attempt);
            let is_avoided = runs[0].endpoint != busy;
            avoided = if is_avoided { avoided + 1 } else { 0 };
            if avoided == CALLS_IN_A_ROW {
                break;
            }
        }
        assert_eq!(avoided, CALLS_IN_A_ROW);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_endpoint_is_noticed_after_the_store_came_back_from_a_copy() {
    let fleet = restored(|_, _| {}).await;
    fleet.deployment.engines[fleet.busy_engine].drain();
    busy_engine_is_avoided(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn change_is_noticed_whose_revision_was_given_out_again() {
    // The endpoint leaves at a revision that the VMs have seen for another change, and the
    // store passes the last one that they watched.
    let fleet = restored(|deployment, busy_engine| {
        deployment.engines[busy_engine].drain();
        for number in 0..2 * LOST_CHANGES {
            deployment.store.put("config", "other", json!(number));
        }
    })
    .await;
    busy_engine_is_avoided(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn vms_and_lease_are_written_again_after_the_store_came_back_from_a_copy() {
    let RestoredFleet {
        deployment,
        entries,
        ..
    } = restored(|_, _| {}).await;
    wait_until("the VMs' entries and the lease are in the store", || {
        let has = |kind, name| deployment.store.spec(kind, name).is_some();
        has("cpond-vms", "vm-1") && has("cpond-vms", "vm-2") && has("cpond-leases", "placement")
    })
    .await;
    // An adapter that no engine holds is served only if the lease holder gives orders.
    let mut is_served = false;
    for _ in 0..60 {
        let call = call_to("/chat/new", Some("m0/a1"));
        let outcome = send_call(entries[0].callers, call).await;
        if matches!(outcome, CallOutcome::Answer { status, .. } if status == 200) {
            is_served = true;
            break;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert!(is_served);
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
}
