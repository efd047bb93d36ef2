//! Endpoints whose bytes have no end and are no answer, in a head or in a body.

use crate::support::{Deployment, EntryProcess, call_to, endpoint_options, expect_answer};
use clementinepond_platform_standin::{
    CallOutcome, RawEndpoint, RawRequest, RawStep, raw_head, send_call,
};

/// Number of concurrent requests for each of the service's three endpoints, one of which
/// sends endless answers.
const CONCURRENT: usize = 24;
/// Maximum memory of a VM meanwhile; a small VM has 260 MB.
const MEMORY_LIMIT_KB: u64 = 130 * 1024;

/// Returns the steps of an answer that starts with a text and goes on without end.
fn endless(start: Vec<u8>, repeated: &str) -> Vec<RawStep> {
    vec![
        RawStep::Write(start),
        RawStep::WriteEndlessly(repeated.repeat(64).into_bytes()),
    ]
}

/// Starts an endpoint of a service whose bytes have no end: in the head if the path
/// contains `head`, otherwise in an unframed or a chunked body.
async fn endless_endpoint(deployment: &Deployment, service: &str, models: &[&str]) -> RawEndpoint {
    let script = |request: &RawRequest| {
        if request.path.contains("head") {
            return endless(b"HTTP/1.1 200 OK\r\n".to_vec(), "X-Filler: 0123456789\r\n");
        }
        if request.path.contains("line") {
            return endless(b"HTTP/1.1 200 ".to_vec(), "0123456789abcdef");
        }
        if request.path.contains("chunked") {
            let head = raw_head(request, "Transfer-Encoding: chunked\r\n");
            return endless(head, "10\r\n0123456789abcdef\r\n");
        }
        endless(raw_head(request, ""), "0123456789abcdef")
    };
    let options = endpoint_options(service, &format!("endless-{service}"), models);
    deployment.raw_endpoint(options, script).await
}

/// Returns the largest memory that a VM's process has had, in kilobytes.
fn peak_memory_kb(entry: &EntryProcess) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", entry.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    line.unwrap()
        .trim()
        .split(' ')
        .next()
        .unwrap()
        .parse()
        .unwrap()
}

/// Waits until an endpoint can write no more, since all its connections are closed.
async fn all_closed(endpoint: &RawEndpoint) {
    let mut before = endpoint.written_bytes();
    let mut is_quiet = false;
    while !is_quiet {
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        let now = endpoint.written_bytes();
        is_quiet = now == before;
        before = now;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_answer_is_broken_off_and_its_connection_closed() {
    let deployment = Deployment::start(0).await;
    let engine = endless_endpoint(&deployment, "engines", &["m0"]).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    for path in [
        "/chat/head",
        "/chat/line",
        "/chat/chunked",
        "/chat/body",
        "/batch/body",
    ] {
        let outcome = send_call(entry.callers, call_to(path, Some("m0"))).await;
        let is_refused = matches!(
            &outcome,
            CallOutcome::Answer { status, .. } if status.as_u16() == 502
        );
        assert!(
            is_refused || matches!(outcome, CallOutcome::Broken { .. }),
            "{path}: {outcome:?}"
        );
        all_closed(&engine).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn many_endless_answers_leave_a_small_vm_memory_for_others() {
    let deployment = Deployment::start(1).await;
    let service = endless_endpoint(&deployment, "files", &[]).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..CONCURRENT * 3 {
        let path = ["/chat/submit/body", "/chat/submit/chunked"][index % 2];
        calls.spawn(send_call(entry.callers, call_to(path, None)));
    }
    let mut endless = 0;
    while let Some(outcome) = calls.join_next().await {
        match expect_answer(outcome.unwrap()) {
            (200, body) => assert!(body.starts_with("answer to "), "{body}"),
            (502 | 504, _) => endless += 1,
            other => panic!("{other:?}"),
        }
    }
    all_closed(&service).await;
    assert!(endless > 0);
    let peak = peak_memory_kb(&entry);
    assert!(
        peak < MEMORY_LIMIT_KB,
        "{peak} kB after {endless} endless answers"
    );
    let outcome = send_call(entry.callers, call_to("/chat/one", Some("m0"))).await;
    assert_eq!(expect_answer(outcome).0, 200);
}
