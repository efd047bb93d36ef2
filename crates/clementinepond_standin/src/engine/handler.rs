//! HTTP interface of the engine stand-in.

use super::completion_request::{CompletionApi, CompletionRequest};
use super::engine_order::EngineOrder;
use super::engine_process::{EngineProcess, OrderOutcome};
use super::engine_server::EngineShared;
use super::generation::EventStream;
use super::serving::{AnswerFaults, NotServed, prepare};
use crate::network::{
    HttpCall, abort_connection, answer_json, query_number, read_call, set_header,
};
use clementinepond_types::TimeSpan;
use futures_util::stream;
use log::info;
use salvo::http::{Method, StatusCode, header};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use serde_json::json;
use std::sync::Arc;
use tokio::time::Instant;

/// Header with the identifier of the request, in requests and answers.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that marks a refusal of a request that did not run.
const NOT_RUN_HEADER: &str = "x-not-run";
/// Upper bound of the `wait-ms` parameter of calls for cache events.
const CACHE_EVENT_WAIT_LIMIT: TimeSpan = TimeSpan::from_secs(600);

/// Handler of all paths, for one engine process.
#[derive(Debug)]
pub(super) struct EngineHandler {
    shared: Arc<EngineShared>,
    process: Arc<EngineProcess>,
}

#[async_trait]
impl Handler for EngineHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let serves = request.uri().path().starts_with("/v1/");
        if serves
            && self
                .shared
                .triggers(|faults| &mut faults.resets_before_read)
        {
            return abort_connection(request);
        }
        let Some(call) = read_call(request).await else {
            return abort_connection(request);
        };
        self.shared.record().record_call(&call);
        let answered = self.dispatch(request, &call, response).await;
        info!(
            "event=engine_call endpoint={} method={} path={} status={} answered={answered}",
            self.process.options.endpoint,
            call.method,
            call.path,
            response.status_code.map_or(0, |status| status.as_u16())
        );
        if !answered {
            abort_connection(request);
        }
    }
}

impl EngineHandler {
    pub(super) fn new(shared: Arc<EngineShared>, process: Arc<EngineProcess>) -> Self {
        Self { shared, process }
    }

    /// Handles a call; returns false if the connection is to be aborted instead
    /// of answering.
    async fn dispatch(&self, request: &Request, call: &HttpCall, response: &mut Response) -> bool {
        match (&call.method, call.path_segments().as_slice()) {
            (&Method::POST, ["v1", "completions"]) => {
                self.serve(CompletionApi::Completion, call, response).await
            }
            (&Method::POST, ["v1", "chat", "completions"]) => {
                self.serve(CompletionApi::Chat, call, response).await
            }
            (&Method::DELETE, ["v1", "requests", id]) => {
                self.process.cancel(id);
                answer_json(response, StatusCode::OK, &json!({}));
                true
            }
            (&Method::GET, ["report"]) => {
                let report = self.process.report(self.shared.is_draining());
                answer_json(response, StatusCode::OK, &report);
                !self.shared.triggers(|faults| &mut faults.lost_reports)
            }
            (&Method::GET, ["cache-events"]) => {
                self.cache_events(request, response).await;
                true
            }
            (&Method::POST, ["orders"]) => self.order(call, response),
            _ => {
                let message = "no such path; see the endpoint protocol";
                error_answer(response, StatusCode::NOT_FOUND, "not_found", message);
                true
            }
        }
    }

    async fn serve(&self, api: CompletionApi, call: &HttpCall, response: &mut Response) -> bool {
        if self.shared.triggers(|faults| &mut faults.resets_after_read) {
            return false;
        }
        let request = match CompletionRequest::parse(api, call) {
            Ok(request) => request,
            Err(message) => {
                error_answer(
                    response,
                    StatusCode::BAD_REQUEST,
                    "invalid_request",
                    &message,
                );
                return true;
            }
        };
        let faults = AnswerFaults::draw(&self.shared);
        let prepared = prepare(&self.shared, &self.process, call, &request, faults).await;
        let generation = match prepared {
            Ok(generation) => generation,
            Err(NotServed::Crashed) => return false,
            Err(NotServed::NotRun(message)) => {
                self.refuse(&request, message, response);
                return true;
            }
        };
        set_header(response, REQUEST_ID_HEADER, &generation.envelope.id);
        if request.stream && !faults.reset_after_run {
            stream_events(response, generation.events());
            return true;
        }
        let Ok(body) = generation.complete().await else {
            return false;
        };
        response.status_code(StatusCode::OK);
        set_header(response, header::CONTENT_TYPE.as_str(), "application/json");
        response.body(body);
        !faults.reset_after_run
    }

    fn refuse(&self, request: &CompletionRequest, message: &str, response: &mut Response) {
        self.shared.record().refused += 1;
        set_header(response, REQUEST_ID_HEADER, &request.id);
        set_header(response, NOT_RUN_HEADER, "true");
        error_answer(
            response,
            StatusCode::SERVICE_UNAVAILABLE,
            "not_run",
            message,
        );
    }

    fn order(&self, call: &HttpCall, response: &mut Response) -> bool {
        if self.shared.triggers(|faults| &mut faults.lost_orders) {
            return false;
        }
        let order = match serde_json::from_slice::<EngineOrder>(&call.body) {
            Ok(order) => order,
            Err(error) => {
                let message = format!("invalid order: {error}; see the endpoint protocol");
                error_answer(response, StatusCode::BAD_REQUEST, "invalid_order", &message);
                return true;
            }
        };
        match self.process.accept(order) {
            OrderOutcome::Accepted => answer_json(response, StatusCode::ACCEPTED, &json!({})),
            OrderOutcome::OldFencingNumber => {
                self.shared.record().fencing_refusals += 1;
                let message =
                    "the fencing number is outdated; a newer lease holder has sent orders";
                error_answer(
                    response,
                    StatusCode::CONFLICT,
                    "old_fencing_number",
                    message,
                );
            }
            OrderOutcome::NoMemory => {
                self.shared.record().memory_refusals += 1;
                let message = "not enough free memory; unload a model or adapter first";
                error_answer(
                    response,
                    StatusCode::INSUFFICIENT_STORAGE,
                    "no_memory",
                    message,
                );
            }
        }
        !self
            .shared
            .triggers(|faults| &mut faults.lost_order_answers)
    }

    async fn cache_events(&self, request: &Request, response: &mut Response) {
        let from = query_number(request, "from").unwrap_or_default();
        let wait = TimeSpan::from_millis(query_number(request, "wait-ms").unwrap_or_default());
        let deadline = Instant::now() + wait.min(CACHE_EVENT_WAIT_LIMIT).duration();
        loop {
            let changed = self.process.cache_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let (list, due) = {
                let state = self.process.lock();
                (
                    state.cache_log.visible_from(from),
                    state.cache_log.next_due(from),
                )
            };
            if !list.events.is_empty() || Instant::now() >= deadline {
                return answer_json(response, StatusCode::OK, &list);
            }
            let wake = due.map_or(deadline, |due| due.min(deadline));
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(wake) => {}
            }
        }
    }
}

fn stream_events(response: &mut Response, events: EventStream) {
    response.status_code(StatusCode::OK);
    set_header(response, header::CONTENT_TYPE.as_str(), "text/event-stream");
    response.stream(stream::unfold(events, |mut events| async move {
        let event = events.next().await?;
        Some((event, events))
    }));
}

fn error_answer(response: &mut Response, status: StatusCode, code: &str, message: &str) {
    let error = json!({"code": code, "message": message, "type": code, "param": null});
    answer_json(response, status, &json!({ "error": error }));
}
