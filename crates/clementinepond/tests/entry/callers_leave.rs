//! Callers that leave before their answer is complete.

use crate::support::{Deployment, EntryProcess, call_to, eventually};
use clementinepond_platform_standin::{CallRequest, EndpointFaults, send_call};
use std::time::Duration;

/// Sends a call, and leaves as soon as that many endpoints run it.
async fn leave_at(entry: &EntryProcess, deployment: &Deployment, call: CallRequest, runs: usize) {
    let attempt = call.attempt.clone();
    let waiting = tokio::spawn(send_call(entry.callers, call));
    eventually("the request runs", || {
        deployment.judge.runs_of(&attempt).len() == runs
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
async fn a_caller_that_leaves_ends_the_endpoints_work() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    set_silent(&deployment);
    for (path, model) in [("/chat/left", Some("m0")), ("/chat/submit/left", None)] {
        let mut call = call_to(path, model);
        call.timeout = Duration::from_secs(60);
        leave_at(&entry, &deployment, call, 1).await;
        eventually("the work ends", || deployment.judge.in_flight_runs() == 0).await;
    }
    assert!(!entry.has_logged("reason=timed_out"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_caller_left_in_the_middle_ends() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    // By itself the stream would go on until the route's time is over.
    deployment.engines[0].set_event_delay(Duration::from_secs(5));
    let mut call = call_to("/chat/left", Some("m0"));
    call.timeout = Duration::from_secs(60);
    leave_at(&entry, &deployment, call, 1).await;
    eventually("the work ends", || deployment.judge.in_flight_runs() == 0).await;
    eventually("the VM notes it", || {
        entry.has_logged("outcome=caller_left")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_caller_left_goes_to_no_other_endpoint() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    set_silent(&deployment);
    let left = call_to("/read/left", None);
    let attempt = left.attempt.clone();
    leave_at(&entry, &deployment, left, 1).await;
    // One that stays is sent to the other endpoint after the same silence.
    leave_at(&entry, &deployment, call_to("/read/staying", None), 2).await;
    assert_eq!(deployment.judge.runs_of(&attempt).len(), 1);
}
