//! HTTP interface of the platform stand-in.

use super::object_store::{ChangeList, ChangeOutcome};
use super::platform_faults::OutageKind;
use super::platform_server::{PlatformShared, PlatformState};
use crate::network::{HttpCall, abort_connection, answer_json, query_number, read_call};
use clementinepond_types::TimeSpan;
use log::info;
use salvo::http::{Method, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use serde_json::{Value, json};
use std::sync::Arc;
use tokio::time::Instant;

/// Upper bound of the `wait-ms` parameter of a watch.
const WATCH_WAIT_LIMIT: TimeSpan = TimeSpan::from_secs(600);

/// Status and body of an answer.
type JsonAnswer = (StatusCode, Value);

/// Outcome of a call.
#[derive(Debug)]
enum CallOutcome {
    /// The call is answered.
    Answered(JsonAnswer),
    /// The connection is aborted.
    Broken,
    /// The call is never answered, and its connection stays open.
    Silent,
}

/// Kind of a call, by which calls are counted, limited and affected by faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
    Watch,
}

/// Handler of all paths.
#[derive(Debug, Clone)]
pub(super) struct PlatformHandler {
    shared: Arc<PlatformShared>,
}

#[async_trait]
impl Handler for PlatformHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let Some(call) = read_call(request).await else {
            return abort_connection(request);
        };
        if call.path_segments() == ["calls"] {
            let counts = self.shared.lock().counts;
            return answer_json(response, StatusCode::OK, &counts);
        }
        let outcome = self.handle_call(request, &call).await;
        let delay = self.shared.lock().faults.delay;
        tokio::time::sleep(delay.duration()).await;
        match outcome {
            CallOutcome::Answered((status, value)) => {
                info!(
                    "event=platform_call method={} path={} status={}",
                    call.method,
                    call.path,
                    status.as_u16()
                );
                answer_json(response, status, &value);
            }
            CallOutcome::Broken => {
                info!(
                    "event=platform_answer_lost method={} path={}",
                    call.method, call.path
                );
                abort_connection(request);
            }
            CallOutcome::Silent => std::future::pending().await,
        }
    }
}

impl PlatformHandler {
    pub(super) fn new(shared: Arc<PlatformShared>) -> Self {
        Self { shared }
    }

    async fn handle_call(&self, request: &Request, call: &HttpCall) -> CallOutcome {
        let kind = kind_of(call);
        if let Some(outcome) = self.admit(kind) {
            return outcome;
        }
        if kind == CallKind::Watch {
            return self.watch(request, call).await;
        }
        let mut state = self.shared.lock();
        let PlatformState { faults, random, .. } = &mut *state;
        if kind == CallKind::Write && faults.lost_writes.triggers(random) {
            return CallOutcome::Broken;
        }
        let lost = match kind {
            CallKind::Write => faults.lost_write_answers.triggers(random),
            _ => faults.lost_read_answers.triggers(random),
        };
        let silent = faults.outage == OutageKind::SilentWithEffect;
        let answer = self.execute(&mut state, request, call);
        drop(state);
        if kind == CallKind::Write {
            self.shared.changed.notify_waiters();
        }
        match (silent, lost) {
            (true, _) => CallOutcome::Silent,
            (false, true) => CallOutcome::Broken,
            (false, false) => CallOutcome::Answered(answer),
        }
    }

    /// Counts a call; returns its outcome if an outage or the rate limit prevents
    /// it.
    fn admit(&self, kind: CallKind) -> Option<CallOutcome> {
        let mut state = self.shared.lock();
        match kind {
            CallKind::Read => state.counts.reads += 1,
            CallKind::Write => state.counts.writes += 1,
            CallKind::Watch => state.counts.watches += 1,
        }
        match state.faults.outage {
            OutageKind::None => {}
            OutageKind::Refusing => return Some(outage_answer()),
            OutageKind::Silent => return Some(CallOutcome::Silent),
            OutageKind::SilentWithEffect if kind == CallKind::Write => {}
            OutageKind::SilentWithEffect => return Some(CallOutcome::Silent),
        }
        let allowed = match kind {
            CallKind::Write => state.writes.try_acquire(),
            CallKind::Read | CallKind::Watch => state.reads.try_acquire(),
        };
        (!allowed).then(|| {
            let message = "call rate limit exceeded; reduce the call rate";
            CallOutcome::Answered(error_answer(
                StatusCode::TOO_MANY_REQUESTS,
                "call_rate",
                message,
            ))
        })
    }

    fn execute(&self, state: &mut PlatformState, request: &Request, call: &HttpCall) -> JsonAnswer {
        let if_version = query_number(request, "if-version");
        match (&call.method, call.path_segments().as_slice()) {
            (&Method::GET, ["objects", kind, name]) => match state.store.get(kind, name) {
                Some(object) => (StatusCode::OK, json!(object)),
                None => not_found(),
            },
            (&Method::GET, ["objects", kind]) => {
                let objects = state.store.list(kind);
                let version = state.store.version();
                (
                    StatusCode::OK,
                    json!({"version": version, "objects": objects}),
                )
            }
            (&Method::PUT, ["objects", kind, name]) => {
                let value = match self.read_value(call) {
                    Ok(value) => value,
                    Err(answer) => return answer,
                };
                change_answer(state.store.put(kind, name, if_version, value), false)
            }
            (&Method::DELETE, ["objects", kind, name]) => {
                change_answer(state.store.delete(kind, name, if_version), true)
            }
            (&Method::GET, ["vms"]) => {
                let frozen = state.faults.vm_list_frozen;
                (StatusCode::OK, json!({"vms": state.vms.visible(frozen)}))
            }
            _ => not_found(),
        }
    }

    fn read_value(&self, call: &HttpCall) -> Result<Value, JsonAnswer> {
        if call.body.len() > self.shared.value_limit {
            let message = "the value exceeds the size limit; store a smaller value";
            return Err(error_answer(
                StatusCode::PAYLOAD_TOO_LARGE,
                "value_too_large",
                message,
            ));
        }
        serde_json::from_slice(&call.body).map_err(|_| {
            let message = "the body is not JSON; send one JSON value";
            error_answer(StatusCode::BAD_REQUEST, "not_json", message)
        })
    }

    async fn watch(&self, request: &Request, call: &HttpCall) -> CallOutcome {
        let segments = call.path_segments();
        let Some(kind) = segments.get(1) else {
            return CallOutcome::Answered(not_found());
        };
        let from = query_number(request, "from").unwrap_or_default();
        let wait = TimeSpan::from_millis(query_number(request, "wait-ms").unwrap_or_default());
        let deadline = Instant::now() + wait.min(WATCH_WAIT_LIMIT).duration();
        loop {
            let notified = self.shared.changed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if let Some(outcome) = self.poll_watch(kind, from, Instant::now() >= deadline) {
                return outcome;
            }
            tokio::select! {
                () = notified => {}
                () = tokio::time::sleep_until(deadline) => {}
            }
        }
    }

    /// Returns the outcome of a watch; `None` while it has to wait.
    fn poll_watch(&self, kind: &str, from: u64, expired: bool) -> Option<CallOutcome> {
        let state = self.shared.lock();
        match state.faults.outage {
            OutageKind::None => {}
            OutageKind::Refusing => return Some(outage_answer()),
            OutageKind::Silent | OutageKind::SilentWithEffect => return Some(CallOutcome::Silent),
        }
        match state.store.changes(kind, from) {
            ChangeList::TooOld => {
                let message = "changes since this version are not available; list the kind again";
                let answer = error_answer(StatusCode::GONE, "version_too_old", message);
                Some(CallOutcome::Answered(answer))
            }
            ChangeList::Changes(_, changes) if changes.is_empty() && !expired => None,
            ChangeList::Changes(version, changes) => {
                let body = json!({"version": version, "changes": changes});
                Some(CallOutcome::Answered((StatusCode::OK, body)))
            }
        }
    }
}

fn kind_of(call: &HttpCall) -> CallKind {
    match (&call.method, call.path_segments().first()) {
        (&Method::PUT | &Method::DELETE, _) => CallKind::Write,
        (_, Some(&"watch")) => CallKind::Watch,
        _ => CallKind::Read,
    }
}

fn change_answer(outcome: ChangeOutcome, deleted: bool) -> JsonAnswer {
    match outcome {
        ChangeOutcome::Applied(object) if deleted => {
            (StatusCode::OK, json!({"version": object.version}))
        }
        ChangeOutcome::Applied(object) => (StatusCode::OK, json!(object)),
        ChangeOutcome::Conflict(object) => (StatusCode::CONFLICT, json!(object)),
        ChangeOutcome::Missing => not_found(),
    }
}

fn outage_answer() -> CallOutcome {
    let message = "the platform is unavailable; try again later";
    CallOutcome::Answered(error_answer(
        StatusCode::SERVICE_UNAVAILABLE,
        "outage",
        message,
    ))
}

fn not_found() -> JsonAnswer {
    let message = "no such object or path; check the kind and the name";
    error_answer(StatusCode::NOT_FOUND, "missing", message)
}

fn error_answer(status: StatusCode, code: &str, message: &str) -> JsonAnswer {
    (status, json!({"error": {"code": code, "message": message}}))
}
