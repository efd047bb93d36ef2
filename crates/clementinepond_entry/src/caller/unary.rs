//! Answers that are read whole before the caller gets them.

use super::answer_body::AnswerBody;
use super::gate::AdmittedRequest;
use super::refusal::OwnAnswer;
use super::relay::{BegunAnswer, EndpointSearch};
use super::request_end::RequestEnd;
use crate::clock::BootClock;
use crate::endpoint::AttemptAnswer;
use crate::node::{EntryNode, PickedEndpoint};
use bytes::Bytes;
use clementinepond_dispatch::health::EndpointOutcome;
use clementinepond_platform::is_hop_header;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use std::rc::Rc;

/// Largest answer that is read whole, in bytes; bounds the memory of a VM.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Serves one request.
pub(super) async fn serve(
    node: &Rc<EntryNode>,
    request: &Rc<AdmittedRequest>,
) -> Result<Response<AnswerBody>, OwnAnswer> {
    let mut search = EndpointSearch::new(node, request);
    loop {
        let begun = search.run().await?;
        let BegunAnswer {
            answer,
            picked,
            sent_at,
        } = begun;
        let status = answer.response.status();
        let id = picked.id.clone();
        match read_whole(node, request, answer, picked).await {
            Ok((headers, body)) => {
                let measured = BootClock::now().since(sent_at);
                if status.is_success() {
                    node.note_outcome(&id, EndpointOutcome::Success);
                    node.note_work(&id, measured);
                }
                let end = RequestEnd {
                    endpoint: &id,
                    status: status.as_u16(),
                    outcome: "answered",
                    sent_at,
                    sent: search.sent(),
                    pace: None,
                };
                end.note(node, request);
                let mut response = Response::new(AnswerBody::whole(body));
                *response.status_mut() = status;
                *response.headers_mut() = headers;
                return Ok(response);
            }
            Err(failure) => {
                search.note_failed(&id, EndpointOutcome::Broken);
                if request.may_repeat() && failure == ReadFailure::Broken && search.take_repeat() {
                    continue;
                }
                return Err(match failure {
                    ReadFailure::Broken => OwnAnswer::Lost("answer_broken"),
                    ReadFailure::Late => OwnAnswer::TimedOut,
                });
            }
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadFailure {
    Broken,
    Late,
}

/// Reads an answer to its end; the run ends with it.
pub(super) async fn read_whole(
    node: &Rc<EntryNode>,
    request: &AdmittedRequest,
    answer: AttemptAnswer,
    picked: PickedEndpoint,
) -> Result<(HeaderMap, Bytes), ReadFailure> {
    let (parts, body) = answer.response.into_parts();
    let left = BootClock::now().until(request.deadline);
    let reading = Limited::new(body, ANSWER_LIMIT_BYTES).collect();
    let bytes = match tokio::time::timeout(left.duration(), reading).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(_)) => return Err(ReadFailure::Broken),
        Err(_) => return Err(ReadFailure::Late),
    };
    answer.line.finish(node);
    drop(picked);
    Ok((caller_headers(parts.headers), bytes))
}

/// Drops the headers that concern the endpoint's connection.
pub(super) fn caller_headers(headers: HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in &headers {
        if !is_hop_header(name) && *name != CONTENT_LENGTH {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}
