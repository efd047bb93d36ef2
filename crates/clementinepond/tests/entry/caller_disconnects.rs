//! Callers that disconnect before their answer is complete.

use crate::support::{Deployment, EntryProcess, call_to, wait_until};
use clementinepond_platform_standin::{CallRequest, EndpointFaults, send_call};
use std::time::Duration;

/// Sends a call and disconnects as soon as it has started `runs` runs.
async fn disconnect_during_run(
    entry: &EntryProcess,
    deployment: &Deployment,
    call: CallRequest,
    runs: usize,
) {
    let attempt = call.attempt.clone();
    let waiting = tokio::spawn(send_call(entry.callers, call));
    wait_until("the request runs on enough endpoints", || {
        deployment.checker.runs_of(&attempt).len() == runs
    })
    .await;
    waiting.abort();
}

fn set_silent(deployment: &Deployment) {
    let silent = EndpointFaults {
        is_silent: true,
        ..EndpointFaults::default()
    };
    for endpoint in deployment.engines.iter().chain(&deployment.services) {
        endpoint.set_faults(silent);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnect_cancels_endpoint_run() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    set_silent(&deployment);
    for (path, model) in [("/chat/left", Some("m0")), ("/chat/submit/left", None)] {
        let mut call = call_to(path, model);
        call.timeout = Duration::from_secs(60);
        disconnect_during_run(&entry, &deployment, call, 1).await;
        wait_until("the runs end", || deployment.checker.in_flight_runs() == 0).await;
    }
    assert!(!entry.has_logged("reason=timed_out"));
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnect_during_stream_cancels_run() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    // Without the disconnect the stream would continue until the route's timeout.
    deployment.engines[0].set_event_delay(Duration::from_secs(5));
    let mut call = call_to("/chat/left", Some("m0"));
    call.timeout = Duration::from_secs(60);
    disconnect_during_run(&entry, &deployment, call, 1).await;
    wait_until("the runs end", || deployment.checker.in_flight_runs() == 0).await;
    wait_until("the VM logs the disconnect", || {
        entry.has_logged("outcome=caller_left")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnected_request_is_not_retried() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    set_silent(&deployment);
    let disconnected = call_to("/read/left", None);
    let attempt = disconnected.attempt.clone();
    disconnect_during_run(&entry, &deployment, disconnected, 1).await;
    // The same request is retried on the other endpoint if its caller stays connected.
    disconnect_during_run(&entry, &deployment, call_to("/read/staying", None), 2).await;
    assert_eq!(deployment.checker.runs_of(&attempt).len(), 1);
}
