//! Transfer of answers from the node task to the caller.

use super::CallerState;
use super::error_body::{
    CallerError, CallerOutcome, OUTCOME_HEADER, REQUEST_ID_HEADER, set_header,
};
use crate::node::{AnswerMessage, CallBody, CallerCall, NodeInput};
use crate::telemetry::RequestTrace;
use bytes::Bytes;
use clementinepond_decide::claim::RecordedAnswer;
use clementinepond_decide::request::{RequestEnd, RequestProfile};
use clementinepond_types::KeyDigest;
use futures_util::stream;
use salvo::Response;
use salvo::http::{ResBody, StatusCode};
use std::convert::Infallible;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Number of messages buffered for a slow caller before reading from the endpoint pauses.
const MESSAGE_LIMIT: usize = 64;

/// Form of the answer that the caller requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerForm {
    /// One complete body.
    Single,
    /// Stream of server-sent events.
    Stream,
}

/// Answer that the caller waits for or receives.
struct PendingAnswer {
    messages: mpsc::Receiver<AnswerMessage>,
    end: oneshot::Receiver<RequestEnd>,
    trace: RequestTrace,
    /// Slot for a concurrent request, held until the answer ends.
    _slot: OwnedSemaphorePermit,
    /// Guard that reports to the node task when this value is dropped, also when the caller
    /// disconnects.
    _guard: DropGuard,
    is_ended: bool,
}

/// Next step of an answer.
enum NextStep {
    Message(AnswerMessage),
    End(RequestEnd),
}

impl PendingAnswer {
    /// Returns the next message, then the end of the request, then none.
    async fn next(&mut self) -> Option<NextStep> {
        if self.is_ended {
            return None;
        }
        tokio::select! {
            biased;
            Some(message) = self.messages.recv() => Some(NextStep::Message(message)),
            end = &mut self.end => {
                if let Ok(message) = self.messages.try_recv() {
                    // A message was sent before the end: store the end for the next call.
                    let (sender, receiver) = oneshot::channel();
                    if let Ok(end) = end {
                        let _ = sender.send(end);
                    }
                    self.end = receiver;
                    return Some(NextStep::Message(message));
                }
                self.is_ended = true;
                Some(NextStep::End(end.unwrap_or(RequestEnd::Abandoned)))
            }
        }
    }
}

/// Sends a request to the node task and its answer to the caller.
pub(crate) async fn answer(
    state: &CallerState,
    profile: RequestProfile,
    key: Option<KeyDigest>,
    body: CallBody,
    form: AnswerForm,
    slot: OwnedSemaphorePermit,
    response: &mut Response,
) -> Result<(), CallerError> {
    set_header(response, REQUEST_ID_HEADER, body.request_id.as_str());
    let trace = RequestTrace::start(&state.traces, &state.metrics, &body.request_id, &profile);
    let mut pending = submit(state, profile, key, body, trace, slot);
    match form {
        AnswerForm::Single => send_single(&mut pending, response).await,
        AnswerForm::Stream => send_stream(pending, response).await,
    }
}

fn submit(
    state: &CallerState,
    profile: RequestProfile,
    key: Option<KeyDigest>,
    body: CallBody,
    trace: RequestTrace,
    slot: OwnedSemaphorePermit,
) -> PendingAnswer {
    let (message_sender, messages) = mpsc::channel(MESSAGE_LIMIT);
    let (end_sender, end) = oneshot::channel();
    let ticket = state.node.new_ticket();
    let cancellation = CancellationToken::new();
    let call = CallerCall {
        body: Arc::new(body),
        messages: message_sender,
        end: end_sender,
        cancellation: cancellation.clone(),
        spans: trace.spans(),
    };
    state.node.send(NodeInput::Arrival {
        ticket,
        profile,
        key,
        call,
    });
    let caller_left = CancellationToken::new();
    report_caller_left(state, ticket, caller_left.clone());
    PendingAnswer {
        messages,
        end,
        trace,
        _slot: slot,
        _guard: caller_left.drop_guard(),
        is_ended: false,
    }
}

/// Notifies the node task when the answer is dropped, for whatever reason.
fn report_caller_left(
    state: &CallerState,
    ticket: clementinepond_types::RequestTicket,
    caller_left: CancellationToken,
) {
    let node = state.node.clone();
    tokio::spawn(async move {
        caller_left.cancelled().await;
        let event = clementinepond_decide::request::RequestEvent::CallerLeft { ticket };
        node.send_event(clementinepond_decide::node::NodeEvent::Request(event));
    });
}

async fn send_single(
    pending: &mut PendingAnswer,
    response: &mut Response,
) -> Result<(), CallerError> {
    let mut complete = None;
    loop {
        match pending.next().await {
            Some(NextStep::Message(message)) => complete = Some(message),
            Some(NextStep::End(end)) => {
                pending.trace.end(&end);
                return render_single(complete, &end, response);
            }
            None => return Err(CallerError::from_end(&RequestEnd::Abandoned)),
        }
    }
}

fn render_single(
    complete: Option<AnswerMessage>,
    end: &RequestEnd,
    response: &mut Response,
) -> Result<(), CallerError> {
    if let RequestEnd::Replayed { answer } = end {
        render_replay(answer, response);
        return Ok(());
    }
    let outcome = match end {
        RequestEnd::Complete { .. } => CallerOutcome::Complete,
        RequestEnd::Rejected => CallerOutcome::NotRun,
        other => return Err(CallerError::from_end(other)),
    };
    let Some(AnswerMessage::Complete {
        status,
        content_type,
        body,
    }) = complete
    else {
        return Err(CallerError::from_end(end));
    };
    response.status_code(status);
    set_header(response, OUTCOME_HEADER, outcome.name());
    set_header(response, "content-type", &content_type);
    response.body(ResBody::Once(body));
    Ok(())
}

/// Renders the answer that was recorded for an earlier call with the same idempotency key.
fn render_replay(answer: &RecordedAnswer, response: &mut Response) {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    response.status_code(status);
    set_header(response, OUTCOME_HEADER, CallerOutcome::Complete.name());
    set_header(response, "clementinepond-replayed", "true");
    let content_type = answer
        .headers
        .iter()
        .find(|(name, _)| &**name == "content-type")
        .map_or("application/octet-stream", |(_, value)| value);
    set_header(response, "content-type", content_type);
    response.body(ResBody::Once(Bytes::copy_from_slice(&answer.body)));
}

/// Sends the response head only after the first chunk has arrived, so that an earlier failure
/// can be answered with its own status.
async fn send_stream(
    mut pending: PendingAnswer,
    response: &mut Response,
) -> Result<(), CallerError> {
    let first = match pending.next().await {
        Some(NextStep::Message(AnswerMessage::Chunk(chunk))) => chunk,
        Some(NextStep::Message(complete)) => {
            let end = wait_for_end(&mut pending).await;
            return render_single(Some(complete), &end, response);
        }
        Some(NextStep::End(end)) => {
            pending.trace.end(&end);
            return render_single(None, &end, response);
        }
        None => return Err(CallerError::from_end(&RequestEnd::Abandoned)),
    };
    pending.trace.record_first_token();
    set_header(response, "content-type", "text/event-stream");
    set_header(response, "cache-control", "no-store");
    let events = stream::unfold((Some(first), pending), next_event);
    response.stream(events);
    Ok(())
}

async fn wait_for_end(pending: &mut PendingAnswer) -> RequestEnd {
    while let Some(step) = pending.next().await {
        if let NextStep::End(end) = step {
            pending.trace.end(&end);
            return end;
        }
    }
    RequestEnd::Abandoned
}

type StreamState = (Option<Bytes>, PendingAnswer);

async fn next_event(state: StreamState) -> Option<(Result<Bytes, Infallible>, StreamState)> {
    let (first, mut pending) = state;
    if let Some(chunk) = first {
        return Some((Ok(data_event(&chunk)), (None, pending)));
    }
    let event = match pending.next().await? {
        NextStep::Message(AnswerMessage::Chunk(chunk)) => data_event(&chunk),
        NextStep::Message(AnswerMessage::Complete { body, .. }) => data_event(&body),
        NextStep::End(end) => {
            pending.trace.end(&end);
            closing_event(&end)
        }
    };
    Some((Ok(event), (None, pending)))
}

fn data_event(chunk: &[u8]) -> Bytes {
    [b"data: ".as_slice(), chunk, b"\n\n"].concat().into()
}

/// Returns the last event of a stream: `[DONE]` or an error, with the outcome as an SSE comment,
/// which clients ignore by default.
fn closing_event(end: &RequestEnd) -> Bytes {
    if matches!(end, RequestEnd::Complete { .. }) {
        return Bytes::from_static(b": clementinepond-outcome: complete\n\ndata: [DONE]\n\n");
    }
    let error = CallerError::from_end(end);
    let text = format!(
        "data: {}\n\n: clementinepond-outcome: {}\n\n",
        error.json(),
        error.outcome.name()
    );
    text.into()
}
