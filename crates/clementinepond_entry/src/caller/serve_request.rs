//! Handling of a caller's request, from its headers to its answer.

use super::admission::{AdmittedRequest, admit};
use super::answer_body::AnswerBody;
use super::local_answer::LocalAnswer;
use super::{stream, unary};
use crate::clock::BootClock;
use crate::node::{EntryNode, increment};
use clementinepond_dispatch::budget::RetryBudget;
use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::stream::StreamOrigin;
use clementinepond_dispatch::suspect::SendVerdict;
use clementinepond_platform::read_request;
use clementinepond_types::{LocalTime, ModelId, RequestId, TimeSpan};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};
use std::rc::Rc;

/// Fraction of a prompt that is assumed not to be cached when demand is measured.
const UNCACHED_SHARE: f64 = 0.5;

/// Fraction of the shutdown grace in which new streams are still started; the longest
/// streams end in the remaining time.
const STREAM_START_FRACTION: (u64, u64) = (1, 3);
/// Time within which nearly every answer that is no stream is complete.
const UNARY_TYPICAL_DURATION: TimeSpan = TimeSpan::from_millis(1_500);
/// Time reserved between the last answer and the end of the process at shutdown.
const EXIT_MARGIN: TimeSpan = TimeSpan::from_millis(400);
/// Retry delay stated to a caller whose stream cannot go on here; another VM may know its
/// origin.
const ORIGIN_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(100);
/// Retry delay stated to a caller whose request crashes endpoints.
pub(super) const BLOCKED_RETRY_DELAY: TimeSpan = TimeSpan::from_secs(30);
/// Interval between checks whether a request is still held back.
pub(super) const HOLD_CHECK_INTERVAL: TimeSpan = TimeSpan::from_millis(20);
/// Maximum time for which a request waits until it may be sent.
pub(super) const MAX_TRIAL_WAIT: TimeSpan = TimeSpan::from_millis(1_500);
/// Retry delay stated to a caller whose request may crash endpoints, while another request
/// shows whether it does.
const TRIAL_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(500);
/// Retry delay stated to a caller that is sent to another VM.
const STOPPING_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(20);

/// Answers a caller's request.
pub(crate) async fn serve_request(
    node: Rc<EntryNode>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let arrival = BootClock::now();
    let (parts, body) = request.into_parts();
    let profile = read_request(&parts.headers);
    let id = profile.id.clone();
    let model = profile.target.as_ref().map(|target| target.model.clone());
    let mut caller_left_guard = CallerLeftGuard {
        node: Rc::clone(&node),
        id: id.clone(),
        arrival,
        is_answered: false,
    };
    let admitted = admit(&node, parts, body, profile, arrival).await;
    let answered = match admitted {
        Ok(request) => serve_admitted(&node, request).await,
        Err(answer) => Err(answer),
    };
    caller_left_guard.is_answered = true;
    let mut response = match answered {
        Ok(response) => response,
        Err(answer) => local_answer(&node, answer, id.as_ref(), model.as_ref(), arrival),
    };
    if node.stopping_since.get().is_some() {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Serves an admitted request; its account is refunded if the request did not run.
async fn serve_admitted(
    node: &Rc<EntryNode>,
    mut request: AdmittedRequest,
) -> Result<Response<AnswerBody>, LocalAnswer> {
    if request.profile.id.is_none() {
        refund(node, &request);
        return Err(LocalAnswer::BadRequest("attempt_id_missing"));
    }
    if let Err(answer) = check_suspects(node, &mut request).await {
        refund(node, &request);
        return Err(answer);
    }
    if is_too_late_to_start(node, &request) {
        refund(node, &request);
        return Err(LocalAnswer::NotRun("stopping", STOPPING_RETRY_DELAY));
    }
    if let Err(answer) = find_origin(node, &mut request).await {
        refund(node, &request);
        return Err(answer);
    }
    record_request(node, &request);
    let request = Rc::new(request);
    let answered = if request.is_stream() {
        stream::serve(node, Rc::clone(&request)).await
    } else {
        unary::serve(node, &request).await
    };
    if let Err(LocalAnswer::NotRun(..)) = answered {
        refund(node, &request);
    }
    answered
}

/// Refuses a request that crashes endpoints; one that may crash them waits until it is the
/// only one in flight, or until another one has completed.
async fn check_suspects(
    node: &Rc<EntryNode>,
    request: &mut AdmittedRequest,
) -> Result<(), LocalAnswer> {
    let latest = request.arrival + request.bounded_retry_delay(MAX_TRIAL_WAIT);
    loop {
        match node.send_verdict(&request.suspects) {
            SendVerdict::Allowed => return Ok(()),
            SendVerdict::Blocked(suspect) => {
                log::info!(
                    "event=request_blocked request={} suspect={suspect}",
                    request.profile.id.as_ref().map_or("-", RequestId::as_str)
                );
                return Err(LocalAnswer::NotRun(
                    "crashes_endpoints",
                    BLOCKED_RETRY_DELAY,
                ));
            }
            SendVerdict::Alone(suspects) => {
                request.trial = node.start_trial(suspects);
                if request.trial.is_some() {
                    return Ok(());
                }
            }
            SendVerdict::Held { until } if until > latest => {
                let delay = request.bounded_retry_delay(BootClock::now().until(until));
                return Err(LocalAnswer::NotRun("crash_suspected", delay));
            }
            SendVerdict::Held { .. } => {}
        }
        if BootClock::now() >= latest {
            let delay = request.bounded_retry_delay(TRIAL_RETRY_DELAY);
            return Err(LocalAnswer::NotRun("crash_suspected", delay));
        }
        tokio::time::sleep(HOLD_CHECK_INTERVAL.duration()).await;
    }
}

/// Finds the origin of a stream that the request takes up, and directs the request to it.
async fn find_origin(node: &EntryNode, request: &mut AdmittedRequest) -> Result<(), LocalAnswer> {
    if !request.is_stream() || request.profile.resume_after.is_none() {
        return Ok(());
    }
    let known = match request.stream_key() {
        Some(key) => node.find_origin(key).await,
        None => None,
    };
    let Some(origin) = known.or_else(|| sole_origin(node, request)) else {
        return Err(refuse_resumption(request, "stream_origin_unknown"));
    };
    let targets = &request.route.targets;
    if !targets
        .iter()
        .any(|target| target.service == origin.service)
    {
        return Err(refuse_resumption(request, "stream_service_removed"));
    }
    request.service = origin.service.clone();
    request.origin = Some(origin);
    Ok(())
}

/// Returns the only origin that a stream can have, if its route has one service whose
/// endpoints have had one software version since the longest stream began.
fn sole_origin(node: &EntryNode, request: &AdmittedRequest) -> Option<StreamOrigin> {
    let [target] = &*request.route.targets else {
        return None;
    };
    let now = BootClock::now();
    if !node.is_directory_current(now) {
        return None;
    }
    let state = node.state.borrow();
    let software = state
        .directory
        .sole_software(&target.service, request.longest_wait(), now)?;
    Some(StreamOrigin {
        service: target.service.clone(),
        software,
    })
}

fn refuse_resumption(request: &AdmittedRequest, reason: &'static str) -> LocalAnswer {
    LocalAnswer::NotRun(reason, request.bounded_retry_delay(ORIGIN_RETRY_DELAY))
}

/// Returns whether the process might end before the answer to the request is complete.
fn is_too_late_to_start(node: &EntryNode, request: &AdmittedRequest) -> bool {
    let Some(since) = node.stopping_since.get() else {
        return false;
    };
    let grace = node.settings().shutdown.grace();
    let now = BootClock::now();
    if request.is_stream() {
        now.since(since) > grace.fraction(STREAM_START_FRACTION.0, STREAM_START_FRACTION.1)
    } else {
        now + request.route.timeout.min(UNARY_TYPICAL_DURATION) + EXIT_MARGIN > since + grace
    }
}

/// Returns a request's cost to its client account.
fn refund(node: &EntryNode, request: &AdmittedRequest) {
    if let Some(account) = &request.account {
        node.state
            .borrow_mut()
            .limiter
            .refund(account, request.cost);
    }
}

/// Counts a request in its service's retry budget and in the demand for its model.
fn record_request(node: &EntryNode, request: &AdmittedRequest) {
    let now = BootClock::now();
    let retry = node.settings().retry.clone();
    let mut state = node.state.borrow_mut();
    state
        .budgets
        .entry(request.service.clone())
        .or_insert_with(|| {
            let window = TimeSpan::from_millis((retry.window_s * 1e3) as u64);
            RetryBudget::new(retry.ratio, retry.allowance, window)
        })
        .record_request(now);
    if let Some(target) = &request.profile.target {
        let tokens = request.profile.tokens.unwrap_or_default();
        let output = request.profile.output_hint.unwrap_or(tokens.output / 2);
        let prefill = (tokens.prompt as f64 * UNCACHED_SHARE) as u64;
        let model = NameHash::of(target.model.as_str());
        state
            .demand
            .record(model, prefill, output.min(tokens.output), now);
    }
}

/// Counts and logs a request that this VM answers itself, and returns the response.
fn local_answer(
    node: &EntryNode,
    answer: LocalAnswer,
    id: Option<&RequestId>,
    model: Option<&ModelId>,
    arrival: LocalTime,
) -> Response<AnswerBody> {
    let counter = match answer {
        LocalAnswer::Lost(_) | LocalAnswer::TimedOut => &node.stats.failed,
        _ => &node.stats.refused,
    };
    increment(counter);
    let version = node.state.borrow().configuration_version();
    log::info!(
        "event=request_ended request={} outcome=own_answer model={} status={} reason={} configuration={version} duration_ms={}",
        id.map_or("-", RequestId::as_str),
        model.map_or("-", |model| model.as_str()),
        answer.status().as_u16(),
        answer.reason(),
        BootClock::now().since(arrival).millis()
    );
    answer.response(id)
}

/// Counts and logs a caller that disconnects before its answer starts.
///
/// Hyper drops the request's future when the caller disconnects, which drops this guard.
struct CallerLeftGuard {
    node: Rc<EntryNode>,
    id: Option<RequestId>,
    arrival: LocalTime,
    is_answered: bool,
}

impl Drop for CallerLeftGuard {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        increment(&self.node.stats.caller_left);
        log::info!(
            "event=request_ended request={} outcome=caller_left duration_ms={}",
            self.id.as_ref().map_or("-", RequestId::as_str),
            BootClock::now().since(self.arrival).millis()
        );
    }
}
