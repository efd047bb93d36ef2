//! Answers that are read completely before they are sent to the caller.

use super::admission::AdmittedRequest;
use super::answer_body::AnswerBody;
use super::crash_probe::{record_completion, record_lost_run};
use super::endpoint_search::{EndpointSearch, StartedAnswer};
use super::local_answer::LocalAnswer;
use super::request_end::RequestEnd;
use crate::clock::BootClock;
use crate::endpoint::AttemptAnswer;
use crate::node::{EntryNode, PickedEndpoint};
use bytes::{Bytes, BytesMut};
use clementinepond_dispatch::health::EndpointOutcome;
use clementinepond_platform::is_hop_header;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use std::rc::Rc;

/// Maximum size of an answer that is read completely; bounds the VM's memory use.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Sends a request to endpoints until one gives a complete answer.
pub(super) async fn serve(
    node: &Rc<EntryNode>,
    request: &Rc<AdmittedRequest>,
) -> Result<Response<AnswerBody>, LocalAnswer> {
    let mut search = EndpointSearch::new(node, request);
    loop {
        let started = search.run().await?;
        let StartedAnswer {
            answer,
            picked,
            sent_at,
        } = started;
        let status = answer.response.status();
        let id = picked.id.clone();
        let software = picked.software.clone();
        let framing = answer.framing;
        let endpoint = picked.incarnation();
        match read_complete(node, request, answer, picked).await {
            Ok((headers, body)) => {
                let measured = BootClock::now().since(sent_at);
                if status.is_success() {
                    node.record_outcome(&id, EndpointOutcome::Success);
                    node.record_service_time(&id, measured);
                    record_completion(node, request, endpoint, framing, sent_at);
                }
                let end = RequestEnd {
                    endpoint: &id,
                    software: &software,
                    status: status.as_u16(),
                    outcome: "answered",
                    sent_at,
                    sent: search.sent(),
                    framing,
                    stream: None,
                };
                end.record(node, request);
                let mut response = Response::new(AnswerBody::complete(body));
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                return Ok(response);
            }
            Err(failure) => {
                search.record_failure(&id, EndpointOutcome::Broken);
                if failure == ReadFailure::Broken {
                    record_lost_run(node, request, &endpoint, sent_at).await;
                }
                if request.may_retry() && failure == ReadFailure::Broken && search.take_retry() {
                    continue;
                }
                return Err(match failure {
                    ReadFailure::Broken => LocalAnswer::Lost("answer_broken"),
                    ReadFailure::TimedOut => LocalAnswer::TimedOut,
                });
            }
        }
    }
}

/// Reason for which the body of an answer could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadFailure {
    /// The connection was lost, or the body exceeds [`ANSWER_LIMIT_BYTES`] or the VM's memory
    /// for answers.
    Broken,
    /// The request's deadline passed.
    TimedOut,
}

/// Reads an answer to its end, after which the request no longer counts as in flight.
pub(super) async fn read_complete(
    node: &Rc<EntryNode>,
    request: &AdmittedRequest,
    answer: AttemptAnswer,
    picked: PickedEndpoint,
) -> Result<(HeaderMap, Bytes), ReadFailure> {
    let (parts, body) = answer.response.into_parts();
    let left = BootClock::now().until(request.deadline);
    let reading = read_body(node, body);
    let bytes = match tokio::time::timeout(left.duration(), reading).await {
        Ok(Some(bytes)) => bytes,
        Ok(None) => return Err(ReadFailure::Broken),
        Err(_) => return Err(ReadFailure::TimedOut),
    };
    answer.connection.finish(node);
    drop(picked);
    Ok((caller_headers(parts.headers), bytes))
}

/// Reads a body to its end; `None` if it is broken, or larger than the VM can hold.
async fn read_body(node: &EntryNode, body: Incoming) -> Option<Bytes> {
    let mut charge = node.answer_memory.start_answer();
    let mut body = Limited::new(body, ANSWER_LIMIT_BYTES);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if !charge.add(data.len()) {
            log::warn!("event=answer_memory_full bytes={}", bytes.len());
            return None;
        }
        bytes.extend_from_slice(&data);
    }
    Some(bytes.freeze())
}

/// Returns the headers for the caller, without those of the endpoint's connection.
pub(super) fn caller_headers(headers: HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in &headers {
        if !is_hop_header(name) && *name != CONTENT_LENGTH {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
