//! Requests and streams of the tests about requests that crash endpoints.

use crate::support::{Deployment, EntryProcess, call_to, stream_events};
use clementinepond_platform_standin::{CallOutcome, CallRequest, RawRequest, RawStep, raw_head};
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// Block that crashes endpoints.
pub(crate) const CRASHING_BLOCK: &str = "bad0c0de";
/// Block of all prompts.
pub(crate) const SHARED_BLOCK: &str = "5c1e07a2";
/// Interval between the events of a stream.
pub(crate) const EVENT_INTERVAL: Duration = Duration::from_millis(20);

static BLOCKS: AtomicU32 = AtomicU32::new(1);

/// Returns a block that no other prompt has.
pub(crate) fn own_block() -> String {
    format!("{:x}", 0x7000_0000 + BLOCKS.fetch_add(1, Ordering::Relaxed))
}

pub(crate) fn prompt(blocks: &[&str]) -> String {
    let listed: Vec<String> = blocks.iter().map(|block| format!("{block}:40")).collect();
    listed.join(",")
}

/// Returns a request that differs from all others in its body and its last block.
pub(crate) fn unique_call(path: &str, shared: &[&str]) -> CallRequest {
    let own = own_block();
    let blocks: Vec<&str> = shared.iter().copied().chain([own.as_str()]).collect();
    CallRequest {
        prompt: prompt(&blocks),
        body: own.clone().into_bytes(),
        ..call_to(path, Some("m0"))
    }
}

pub(crate) fn has_crashing_block(prompt: &str) -> bool {
    prompt.contains(CRASHING_BLOCK)
}

pub(crate) fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// Returns a stream that is complete, or that ends with a crash of its endpoint after its
/// first event.
pub(crate) fn stream(request: &RawRequest, crashes: bool) -> Vec<RawStep> {
    let head = raw_head(request, "Transfer-Encoding: chunked\r\n");
    let mut steps = vec![RawStep::Write(head)];
    for id in request.resume_after + 1..=8 {
        steps.push(RawStep::Pause(EVENT_INTERVAL));
        steps.push(RawStep::Write(chunk(&stream_events(id..=id))));
        if crashes {
            steps.push(RawStep::Crash);
        }
    }
    steps.push(RawStep::Write(b"0\r\n\r\n".to_vec()));
    steps
}

pub(crate) async fn ready_vms(deployment: &Deployment, count: usize) -> Vec<EntryProcess> {
    let entries: Vec<EntryProcess> = (1..=count)
        .map(|number| deployment.entry(&format!("vm-{number}")))
        .collect();
    for entry in &entries {
        entry.ready().await;
    }
    entries
}

pub(crate) fn addresses(entries: &[EntryProcess]) -> Vec<SocketAddrV4> {
    entries.iter().map(|entry| entry.callers).collect()
}

pub(crate) fn is_served(outcome: &CallOutcome) -> bool {
    matches!(outcome, CallOutcome::Answer { status, .. } if status.is_success())
}

pub(crate) fn crashing_runs(deployment: &Deployment) -> usize {
    let runs = deployment.checker.runs();
    runs.iter()
        .filter(|run| has_crashing_block(&run.prompt))
        .count()
}
