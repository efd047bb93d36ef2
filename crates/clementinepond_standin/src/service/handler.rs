//! HTTP interface of the service stand-in.

use super::service_server::ServiceShared;
use crate::network::{HttpCall, abort_connection, answer_json, read_call, set_header};
use clementinepond_types::EndpointId;
use log::info;
use salvo::http::{Method, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use serde::{Deserialize, Serialize};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Header with the identifier of the request, in requests and answers.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Answer of a service, which echoes the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEcho {
    /// Value of the header `x-request-id`; empty if it is absent.
    pub id: Box<str>,
    /// Method of the request.
    pub method: Box<str>,
    /// Path of the request.
    pub path: Box<str>,
    /// Body of the request.
    pub body: Box<str>,
    /// Number of requests that had started to run, including this one.
    pub run: u64,
}

/// Report of a service on its load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Endpoint that reports.
    pub endpoint: EndpointId,
    /// Number of the endpoint process, which grows with each restart.
    pub incarnation: u64,
    /// Number of the report within the incarnation, from 1.
    pub report_number: u64,
    /// Number of running requests.
    pub running: u64,
    /// Number of requests that wait to run.
    pub queued: u64,
    /// Whether the endpoint is being drained.
    pub draining: bool,
}

/// Handler of all paths.
#[derive(Debug)]
pub(super) struct ServiceHandler {
    shared: Arc<ServiceShared>,
}

#[async_trait]
impl Handler for ServiceHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        let is_report = request.method() == Method::GET && request.uri().path() == "/report";
        if !is_report
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
        let answered = if is_report {
            answer_json(response, StatusCode::OK, &self.report());
            !self.shared.triggers(|faults| &mut faults.lost_reports)
        } else {
            self.run(&call, response).await
        };
        info!(
            "event=service_call endpoint={} method={} path={} status={} answered={answered}",
            self.shared.options.endpoint,
            call.method,
            call.path,
            response.status_code.map_or(0, |status| status.as_u16())
        );
        if !answered {
            abort_connection(request);
        }
    }
}

impl ServiceHandler {
    pub(super) fn new(shared: Arc<ServiceShared>) -> Self {
        Self { shared }
    }

    /// Runs a request; returns false if the connection is to be aborted instead
    /// of answering.
    async fn run(&self, call: &HttpCall, response: &mut Response) -> bool {
        let shared = &self.shared;
        if shared.triggers(|faults| &mut faults.resets_after_read) {
            return false;
        }
        let id = call.header(REQUEST_ID_HEADER).unwrap_or_default();
        if shared.triggers(|faults| &mut faults.refusals) {
            shared.record().refused += 1;
            set_header(response, REQUEST_ID_HEADER, id);
            set_header(response, "x-not-run", "true");
            let message = "refused by an injected fault; try another endpoint";
            let error = json!({"error": {"code": "not_run", "message": message}});
            answer_json(response, StatusCode::SERVICE_UNAVAILABLE, &error);
            return true;
        }
        let queued_call = QueuedCall::new(shared);
        let Ok(_permit) = shared.permits.acquire().await else {
            return false;
        };
        drop(queued_call);
        let run = self.record_run(call);
        let body = String::from_utf8_lossy(&call.body);
        if shared.crash_if_marked(&body) {
            return false;
        }
        tokio::time::sleep(shared.options.work_time.duration()).await;
        tokio::time::sleep(shared.late_by().duration()).await;
        let crossed = shared.triggers(|faults| &mut faults.crossed_answers);
        let prefix = if crossed { "other-" } else { "" };
        let echo = ServiceEcho {
            id: format!("{prefix}{id}").into(),
            method: call.method.as_str().into(),
            path: call.path.clone(),
            body: format!("{prefix}{body}").into(),
            run,
        };
        set_header(response, REQUEST_ID_HEADER, &echo.id);
        answer_json(response, StatusCode::OK, &echo);
        !shared.triggers(|faults| &mut faults.resets_after_run)
    }

    fn record_run(&self, call: &HttpCall) -> u64 {
        let mut record = self.shared.record();
        record.record_run(call);
        if self.shared.draining.load(Ordering::Acquire) {
            record.runs_while_draining += 1;
        }
        record.runs
    }

    fn report(&self) -> ServiceReport {
        let shared = &self.shared;
        let free = shared.permits.available_permits();
        ServiceReport {
            endpoint: shared.options.endpoint.clone(),
            incarnation: shared.incarnation.load(Ordering::Acquire),
            report_number: shared.report_number.fetch_add(1, Ordering::AcqRel) + 1,
            running: shared.options.concurrency.saturating_sub(free) as u64,
            queued: shared.queued.load(Ordering::Acquire),
            draining: shared.draining.load(Ordering::Acquire),
        }
    }
}

/// Call that waits for a permit to run; no longer counted as queued once dropped.
struct QueuedCall<'a>(&'a ServiceShared);

impl<'a> QueuedCall<'a> {
    fn new(shared: &'a ServiceShared) -> Self {
        shared.queued.fetch_add(1, Ordering::AcqRel);
        Self(shared)
    }
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        self.0.queued.fetch_sub(1, Ordering::AcqRel);
    }
}
