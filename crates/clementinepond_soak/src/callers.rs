//! Callers that keep sending requests during the faults.

use clementinepond_platform_standin::{
    CallOutcome, CallRequest, Resumption, SAMPLE_PROMPT, send_call,
};
use hyper::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Deadline that a caller declares; longer than the routes' timeout.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Call and its outcome.
#[derive(Debug, Clone)]
pub(crate) struct CallRecord {
    pub(crate) attempt: String,
    pub(crate) is_stream: bool,
    /// Events that earlier attempts brought; `None` for a new request.
    pub(crate) brought_before: Option<String>,
    pub(crate) outcome: CallOutcome,
}

/// Finished calls of all callers.
pub(crate) type CallLog = Arc<Mutex<Vec<CallRecord>>>;

/// Draws a request of a random kind, and returns it and whether its answer is a
/// stream.
pub(crate) fn draw_call(random: &mut ChaCha8Rng, attempt: &str) -> (CallRequest, bool) {
    let (path, model) = match random.random_range(0..5) {
        0 => ("/chat/talk", Some("m0")),
        1 => ("/batch/sum", Some("m0")),
        2 => ("/chat/talk", Some("m0/a1")),
        3 => ("/chat/submit/form", None),
        _ => ("/read/state", None),
    };
    let call = CallRequest {
        method: Method::POST,
        host: "desk.example".into(),
        path: path.into(),
        attempt: attempt.into(),
        key: Some("key-of-desk".into()),
        model: model.map(str::to_owned),
        prompt: SAMPLE_PROMPT.into(),
        timeout: CALL_TIMEOUT,
        body: attempt.as_bytes().to_vec(),
        resumption: None,
    };
    (call, model.is_some())
}

/// Sends requests to random entry VMs, one at a time, until `stop` is true.
pub(crate) async fn run_caller(
    seed: u64,
    number: u64,
    entries: Vec<SocketAddrV4>,
    log: CallLog,
    mut stop: watch::Receiver<bool>,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ (number << 32));
    let mut count = 0;
    while !*stop.borrow_and_update() {
        let attempt = format!("s{seed}-c{number}-{count}");
        count += 1;
        let entry = entries[random.random_range(0..entries.len())];
        let (call, is_stream) = draw_call(&mut random, &attempt);
        let outcome = send_call(entry, call.clone()).await;
        let resumption = resume(&call, &outcome);
        record(&log, attempt, is_stream, None, outcome);
        if let Some((call, brought_before)) = resumption {
            let entry = entries[random.random_range(0..entries.len())];
            let attempt = call.attempt.clone();
            let outcome = send_call(entry, call).await;
            record(&log, attempt, true, Some(brought_before), outcome);
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(5..40))).await;
    }
}

/// Returns the request that takes up a broken stream, and the events that the caller has;
/// `None` if the stream cannot go on.
fn resume(call: &CallRequest, outcome: &CallOutcome) -> Option<(CallRequest, String)> {
    let CallOutcome::Broken { body } = outcome else {
        return None;
    };
    let events = &body[..body.rfind("\n\n")? + 2];
    if !call.path.starts_with("/batch/") {
        return None;
    }
    let resumption = Resumption {
        attempt: call.attempt.clone(),
        last_event: u32::try_from(events.matches("\n\n").count()).ok()?,
    };
    let next = CallRequest {
        attempt: format!("{}-resumed", call.attempt),
        resumption: Some(resumption),
        ..call.clone()
    };
    Some((next, events.to_owned()))
}

fn record(
    log: &CallLog,
    attempt: String,
    is_stream: bool,
    brought_before: Option<String>,
    outcome: CallOutcome,
) {
    let record = CallRecord {
        attempt,
        is_stream,
        brought_before,
        outcome,
    };
    log.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(record);
}
