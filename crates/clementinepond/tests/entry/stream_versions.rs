//! Streams that go on while endpoints of several software versions serve.

use crate::support::{
    Deployment, EntryProcess, HOST, call_to, complete_stream, configuration, endpoint_options,
    expect_answer, stream_events, wait_until,
};
use clementinepond_platform_standin::{
    CallOutcome, CallRequest, RawEndpoint, RawRequest, RawStep, Resumption, raw_head, send_call,
};
use std::time::Duration;

/// Engine of a software version, which is also the start of its ID. It breaks a stream
/// after the third event, and sends the rest of one that resumes.
async fn engine(deployment: &Deployment, software: &str, number: u32) -> RawEndpoint {
    let mut options = endpoint_options("engines", &format!("{software}-{number}"), &["m0"]);
    options.software = software.to_owned();
    let script = |request: &RawRequest| {
        let (events, last) = match request.resume_after {
            0 => (stream_events(1..=3), RawStep::Reset),
            last => (stream_events(last + 1..=8), RawStep::Close),
        };
        let mut bytes = raw_head(request, "");
        bytes.extend_from_slice(events.as_bytes());
        // A reset that arrives together with the events would discard them.
        let pause = RawStep::Pause(Duration::from_millis(40));
        vec![RawStep::Write(bytes), pause, last]
    };
    deployment.raw_endpoint(options, script).await
}

async fn two_engines_of_each_version(deployment: &Deployment) -> Vec<RawEndpoint> {
    let mut engines = Vec::new();
    for number in 0..2 {
        engines.push(engine(deployment, "v1", number).await);
        engines.push(engine(deployment, "v2", number).await);
    }
    engines
}

/// Returns the software versions that ran an attempt, in order.
fn versions_of(deployment: &Deployment, attempt: &str) -> Vec<String> {
    let runs = deployment.checker.runs_of(attempt);
    let software = |id: &str| id.split('-').next().unwrap().to_owned();
    runs.iter().map(|run| software(&run.endpoint)).collect()
}

/// Returns a request that takes up the stream of an attempt after its third event.
fn resumption_of(attempt: &str) -> CallRequest {
    CallRequest {
        resumption: Some(Resumption {
            attempt: attempt.to_owned(),
            last_event: 3,
        }),
        ..call_to("/batch/versions", Some("m0"))
    }
}

/// Takes a stream up at a VM; it must go on at the software version that began it.
async fn take_up(deployment: &Deployment, entry: &EntryProcess, attempt: &str) {
    let call = resumption_of(attempt);
    let resumed = call.attempt.clone();
    let outcome = send_call(entry.callers, call).await;
    assert_eq!(expect_answer(outcome), (200, stream_events(4..=8)));
    let versions = versions_of(deployment, attempt);
    assert_eq!(versions, versions_of(deployment, &resumed));
}

/// Sends a new request whose stream breaks after its third event; returns its attempt ID.
async fn broken_stream(entry: &EntryProcess) -> String {
    let call = call_to("/batch/versions", Some("m0"));
    let attempt = call.attempt.clone();
    let outcome = send_call(entry.callers, call).await;
    let CallOutcome::Broken { body } = outcome else {
        panic!("the stream of {attempt} did not break: {outcome:?}");
    };
    assert_eq!(body, stream_events(1..=3));
    attempt
}

/// Returns a configuration in which a VM sends a request to one endpoint only.
fn single_attempts(version: u64) -> serde_json::Value {
    let mut configuration = configuration(version);
    for route in configuration["routes"].as_array_mut().unwrap() {
        assert_eq!(route["hostname"], HOST);
        route["max_attempts"] = serde_json::json!(1);
    }
    configuration
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_does_not_go_on_at_another_software_version_within_one_answer() {
    let deployment = Deployment::start(0).await;
    let _one = engine(&deployment, "v1", 0).await;
    let _other = engine(&deployment, "v2", 0).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    for _ in 0..4 {
        let attempt = broken_stream(&entry).await;
        assert_eq!(versions_of(&deployment, &attempt).len(), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_goes_on_at_the_software_version_that_began_it() {
    let deployment = Deployment::start(0).await;
    let _engines = two_engines_of_each_version(&deployment).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    for _ in 0..8 {
        let call = call_to("/batch/versions", Some("m0"));
        let attempt = call.attempt.clone();
        let outcome = send_call(entry.callers, call).await;
        assert_eq!(expect_answer(outcome), (200, complete_stream()));
        let versions = versions_of(&deployment, &attempt);
        assert!(
            versions.len() == 2 && versions[0] == versions[1],
            "{versions:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_taken_up_at_another_vm_goes_on_at_its_version_after_the_first_vm_is_dead() {
    let deployment = Deployment::start(0).await;
    let _engines = two_engines_of_each_version(&deployment).await;
    deployment.store.put("config", "main", single_attempts(4));
    let first = deployment.entry("vm-1");
    let second = deployment.entry("vm-2");
    let third = deployment.entry("vm-3");
    for entry in [&first, &second, &third] {
        entry.ready().await;
    }
    let knows_peers = |entry: &EntryProcess| {
        entry.has_logged("event=peer_learned peer=vm-2")
            && entry.has_logged("event=peer_learned peer=vm-3")
    };
    wait_until("vm-1 knows its peers", || knows_peers(&first)).await;
    let mut attempts = Vec::new();
    for _ in 0..8 {
        attempts.push(broken_stream(&first).await);
    }
    drop(first);
    for (index, attempt) in attempts.iter().enumerate() {
        let entry = [&second, &third][index % 2];
        take_up(&deployment, entry, attempt).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_taken_up_at_a_vm_that_started_later_goes_on_at_its_version() {
    let deployment = Deployment::start(0).await;
    let _engines = two_engines_of_each_version(&deployment).await;
    deployment.store.put("config", "main", single_attempts(4));
    let first = deployment.entry("vm-1");
    let second = deployment.entry("vm-2");
    for entry in [&first, &second] {
        entry.ready().await;
    }
    let knows =
        |entry: &EntryProcess, peer| entry.has_logged(&format!("event=peer_learned peer={peer}"));
    wait_until("vm-1 knows vm-2", || knows(&first, "vm-2")).await;
    let mut attempts = Vec::new();
    for _ in 0..6 {
        attempts.push(broken_stream(&first).await);
    }
    drop(first);
    let later = deployment.entry("vm-3");
    later.ready().await;
    wait_until("vm-3 and vm-2 know each other", || {
        knows(&later, "vm-2") && knows(&second, "vm-3")
    })
    .await;
    for attempt in &attempts {
        take_up(&deployment, &later, attempt).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_unknown_software_version_is_refused_as_not_run() {
    let deployment = Deployment::start(0).await;
    let _engine = engine(&deployment, "v1", 0).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    let call = resumption_of("never-seen");
    let attempt = call.attempt.clone();
    let (status, body) = expect_answer(send_call(entry.callers, call).await);
    assert_eq!(status, 503, "{body}");
    assert!(deployment.checker.runs_of(&attempt).is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_no_vm_knows_goes_on_only_while_one_software_version_is_possible() {
    let deployment = Deployment::start(0).await;
    let _one = engine(&deployment, "v1", 0).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    // Longer than any stream, so that the VM knows every version that may have begun one.
    tokio::time::sleep(Duration::from_secs(7)).await;
    let unnamed = || {
        let mut call = resumption_of("");
        call.resumption.as_mut().unwrap().attempt.clear();
        call
    };
    for call in [resumption_of("never-seen"), unnamed()] {
        let outcome = send_call(entry.callers, call).await;
        assert_eq!(expect_answer(outcome), (200, stream_events(4..=8)));
    }
    let _other = engine(&deployment, "v2", 0).await;
    wait_until("the VM knows the other version", || {
        entry.has_logged("endpoint=v2-0")
    })
    .await;
    for call in [resumption_of("never-seen-either"), unnamed()] {
        let attempt = call.attempt.clone();
        let (status, _) = expect_answer(send_call(entry.callers, call).await);
        assert_eq!(status, 503);
        assert!(deployment.checker.runs_of(&attempt).is_empty());
    }
}
