//! Sending the plan.

use super::answer_check::{AnswerVerdict, check_echo, check_tokens};
use super::answer_reader::{EventSplitter, ReadAnswer};
use super::load_options::{LoadCaller, LoadForm, LoadOptions, LoadWorkload};
use super::load_report::LoadReport;
use super::load_tally::{LoadTally, RequestEnd};
use super::planned_request::{PlannedRequest, plan_requests};
use crate::network::hold;
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

/// Header that names how a request ended.
const OUTCOME_HEADER: &str = "clementinepond-outcome";

type LoadClient = Client<HttpConnector, Full<Bytes>>;

#[derive(Debug)]
struct LoadShared {
    options: LoadOptions,
    client: LoadClient,
    tally: Mutex<LoadTally>,
}

/// Sends the planned requests and reports what came back.
///
/// Cancelling the token stops sending; answers on the way are still awaited.
pub async fn run_load(options: LoadOptions, cancel: CancellationToken) -> LoadReport {
    let plan = plan_requests(&options);
    let places = Arc::new(Semaphore::new(options.in_flight_limit));
    let shared = Arc::new(LoadShared {
        client: new_client(),
        tally: Mutex::new(LoadTally::new(plan.len() as u64)),
        options,
    });
    info!("event=load_started requests={}", plan.len());
    let start = Instant::now();
    let mut running = JoinSet::new();
    for request in plan {
        let leaves_at = start + request.leaves_after.duration();
        let sleep = tokio::time::sleep_until(leaves_at);
        if cancel.run_until_cancelled(sleep).await.is_none() {
            break;
        }
        while running.try_join_next().is_some() {}
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            hold(&shared.tally).leave_out();
            continue;
        };
        let shared = Arc::clone(&shared);
        running.spawn(async move {
            let end = run_request(&shared, &request, leaves_at).await;
            hold(&shared.tally).add(end);
            drop(place);
        });
    }
    while running.join_next().await.is_some() {}
    let tally = std::mem::replace(&mut *hold(&shared.tally), LoadTally::new(0));
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
    leaves_at: Instant,
) -> RequestEnd {
    let options = &shared.options;
    let caller = options.callers.get(request.caller);
    let mut end = RequestEnd {
        caller: caller.map_or_else(|| "".into(), |caller| caller.name.clone()),
        send_lag: leaves_at.elapsed().into(),
        status: None,
        outcome: None,
        verdict: AnswerVerdict::Broken,
        tokens: 0,
        first_token: None,
        between_tokens: Vec::new(),
        whole: TimeSpan::ZERO,
    };
    let exchange = exchange(shared, request, caller, leaves_at, &mut end);
    let ended = tokio::time::timeout(options.timeout.duration(), exchange).await;
    if ended.is_err() {
        end.verdict = AnswerVerdict::TimedOut;
    }
    end.whole = leaves_at.elapsed().into();
    end
}

async fn exchange(
    shared: &LoadShared,
    request: &PlannedRequest,
    caller: Option<&LoadCaller>,
    leaves_at: Instant,
    end: &mut RequestEnd,
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
    end.status = Some(response.status().as_u16());
    end.outcome = header_text(&response, OUTCOME_HEADER);
    if !response.status().is_success() {
        end.verdict = AnswerVerdict::Refused;
        return;
    }
    end.verdict = AnswerVerdict::Incomplete;
    if matches!(workload.form, LoadForm::Service { .. }) {
        if let Ok(body) = response.into_body().collect().await {
            end.verdict = check_echo(request, &body.to_bytes());
        }
        return;
    }
    let mut answer = ReadAnswer::default();
    let whole = read_answer(response, &mut answer).await;
    end.first_token = answer.first_at.map(|at| (at - leaves_at).into());
    end.between_tokens = std::mem::take(&mut answer.between);
    if whole {
        end.verdict = check_tokens(options, request, workload, &answer);
        end.tokens = answer.completion_tokens.unwrap_or_default().into();
    }
}

/// Reads an answer to its end; false when it broke off.
async fn read_answer(response: Response<Incoming>, answer: &mut ReadAnswer) -> bool {
    let kind = header_text(&response, header::CONTENT_TYPE.as_str());
    let streamed = kind.is_some_and(|kind| kind.starts_with("text/event-stream"));
    let mut body = response.into_body();
    if !streamed {
        let Ok(collected) = body.collect().await else {
            return false;
        };
        answer.take_json(&collected.to_bytes());
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
    let target = target_of(options, request)?;
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

fn target_of(options: &LoadOptions, request: &PlannedRequest) -> Option<SocketAddr> {
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
