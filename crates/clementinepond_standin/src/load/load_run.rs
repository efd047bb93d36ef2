//! Execution of a load plan.

use super::answer_check::{AnswerVerdict, check_echo, check_tokens};
use super::answer_reader::{EventSplitter, ReceivedAnswer};
use super::load_options::{LoadCaller, LoadForm, LoadOptions, LoadWorkload};
use super::load_report::LoadReport;
use super::load_tally::{LoadTally, RequestResult};
use super::planned_request::{PlannedRequest, plan_requests};
use crate::network::lock;
use bytes::Bytes;
use clementinepond_types::TimeSpan;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, header};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use log::info;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Header of an answer that states the outcome of its request.
const OUTCOME_HEADER: &str = "clementinepond-outcome";

type LoadClient = Client<HttpConnector, Full<Bytes>>;

#[derive(Debug)]
struct LoadShared {
    options: LoadOptions,
    client: LoadClient,
    tally: Mutex<LoadTally>,
}

/// Sends the planned requests and reports the results.
///
/// Cancelling the token stops sending; requests in flight still run to their
/// end.
pub async fn run_load(options: LoadOptions, cancel: CancellationToken) -> LoadReport {
    let plan = plan_requests(&options);
    let permits = Arc::new(Semaphore::new(options.in_flight_limit));
    let shared = Arc::new(LoadShared {
        client: new_client(),
        tally: Mutex::new(LoadTally::new(plan.len() as u64)),
        options,
    });
    info!("event=load_started requests={}", plan.len());
    let start = Instant::now();
    let mut running = JoinSet::new();
    for request in plan {
        let send_at = start + request.send_offset.duration();
        let sleep = tokio::time::sleep_until(send_at);
        if cancel.run_until_cancelled(sleep).await.is_none() {
            break;
        }
        while running.try_join_next().is_some() {}
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            lock(&shared.tally).record_skipped();
            continue;
        };
        let shared = Arc::clone(&shared);
        running.spawn(async move {
            let result = run_request(&shared, &request, send_at).await;
            lock(&shared.tally).record(result);
            drop(permit);
        });
    }
    while running.join_next().await.is_some() {}
    let tally = std::mem::replace(&mut *lock(&shared.tally), LoadTally::new(0));
    let report = tally.finish();
    info!(
        "event=load_ended sent={} answered={} wrong={} broken={}",
        report.sent, report.answered, report.wrong, report.broken
    );
    report
}

fn new_client() -> LoadClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .build(connector)
}

async fn run_request(
    shared: &LoadShared,
    request: &PlannedRequest,
    send_at: Instant,
) -> RequestResult {
    let options = &shared.options;
    let caller = options.callers.get(request.caller);
    let mut result = RequestResult {
        caller: caller.map_or_else(|| "".into(), |caller| caller.name.clone()),
        send_lag: send_at.elapsed().into(),
        status: None,
        outcome: None,
        verdict: AnswerVerdict::Broken,
        tokens: 0,
        first_token: None,
        between_tokens: Vec::new(),
        total_time: TimeSpan::ZERO,
    };
    let exchange = exchange(shared, request, caller, send_at, &mut result);
    let ended = tokio::time::timeout(options.timeout.duration(), exchange).await;
    if ended.is_err() {
        result.verdict = AnswerVerdict::TimedOut;
    }
    result.total_time = send_at.elapsed().into();
    result
}

async fn exchange(
    shared: &LoadShared,
    request: &PlannedRequest,
    caller: Option<&LoadCaller>,
    send_at: Instant,
    result: &mut RequestResult,
) {
    let options = &shared.options;
    let Some(workload) = options.workloads.get(request.workload) else {
        return;
    };
    let Some(http_request) = build_request(options, request, workload, caller) else {
        return;
    };
    let Ok(response) = shared.client.request(http_request).await else {
        return;
    };
    result.status = Some(response.status().as_u16());
    result.outcome = header_text(&response, OUTCOME_HEADER);
    if !response.status().is_success() {
        result.verdict = AnswerVerdict::Refused;
        return;
    }
    result.verdict = AnswerVerdict::Incomplete;
    if matches!(workload.form, LoadForm::Service { .. }) {
        if let Ok(body) = response.into_body().collect().await {
            result.verdict = check_echo(request, &body.to_bytes());
        }
        return;
    }
    let mut answer = ReceivedAnswer::default();
    let complete = read_answer(response, &mut answer).await;
    result.first_token = answer.first_event_at.map(|at| (at - send_at).into());
    result.between_tokens = std::mem::take(&mut answer.token_gaps);
    if complete {
        result.verdict = check_tokens(options, request, workload, &answer);
        result.tokens = answer.completion_tokens.unwrap_or_default().into();
    }
}

/// Reads an answer to its end; returns false if the connection broke before.
async fn read_answer(response: Response<Incoming>, answer: &mut ReceivedAnswer) -> bool {
    let kind = header_text(&response, header::CONTENT_TYPE.as_str());
    let streamed = kind.is_some_and(|kind| kind.starts_with("text/event-stream"));
    let mut body = response.into_body();
    if !streamed {
        let Ok(collected) = body.collect().await else {
            return false;
        };
        answer.add_json(&collected.to_bytes());
        return true;
    }
    let mut splitter = EventSplitter::default();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        if let Some(bytes) = frame.data_ref() {
            splitter.feed(bytes, answer);
        }
    }
    true
}

fn build_request(
    options: &LoadOptions,
    request: &PlannedRequest,
    workload: &LoadWorkload,
    caller: Option<&LoadCaller>,
) -> Option<Request<Full<Bytes>>> {
    let target = target_address(options, request)?;
    let path = match &workload.form {
        LoadForm::Completion => "/v1/completions",
        LoadForm::Chat => "/v1/chat/completions",
        LoadForm::Service { path } => path,
    };
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{target}{path}"))
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(caller) = caller.filter(|caller| !caller.key.is_empty()) {
        builder = builder.header(header::AUTHORIZATION, format!("Bearer {}", caller.key));
    }
    if let Some(key) = request.key {
        builder = builder.header(options.key_header.as_ref(), key.to_string());
    }
    let body = request_body(options, request, workload);
    builder.body(Full::from(body)).ok()
}

fn target_address(options: &LoadOptions, request: &PlannedRequest) -> Option<SocketAddr> {
    let count = options.targets.len().max(1) as u64;
    let index = usize::try_from(request.number % count).ok()?;
    options.targets.get(index).copied()
}

fn request_body(
    options: &LoadOptions,
    request: &PlannedRequest,
    workload: &LoadWorkload,
) -> String {
    let model = request.model.and_then(|index| options.models.get(index));
    let model = model.map_or("", |target| &target.model);
    let (max_tokens, stream) = (request.max_tokens, workload.stream);
    let content = &request.content;
    match &workload.form {
        LoadForm::Service { .. } => content.to_string(),
        LoadForm::Completion => json!({
            "model": model, "prompt": content, "max_tokens": max_tokens, "stream": stream
        })
        .to_string(),
        LoadForm::Chat => json!({
            "model": model,
            "messages": [{"role": "user", "content": content}],
            "max_tokens": max_tokens,
            "stream": stream
        })
        .to_string(),
    }
}

fn header_text(response: &Response<Incoming>, name: &str) -> Option<Box<str>> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(Into::into)
}
