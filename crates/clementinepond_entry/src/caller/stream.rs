//! Streaming answers, relayed to the caller as they arrive.

use super::admission::{AdmittedRequest, is_resumable};
use super::answer_body::{AnswerBody, BodyPart};
use super::crash_probe::{record_completion, record_lost_run};
use super::endpoint_search::{EndpointSearch, StartedAnswer};
use super::event_reader::{EventReader, StreamPosition};
use super::local_answer::LocalAnswer;
use super::request_end::{RequestEnd, StreamRecord};
use super::unary::{ReadFailure, caller_headers, read_complete};
use crate::clock::BootClock;
use crate::node::{EntryNode, PickedEndpoint, ReachVerdict};
use clementinepond_dispatch::health::EndpointOutcome;
use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::stream::StreamOrigin;
use clementinepond_types::{LocalTime, RequestId, TimeSpan};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Maximum number of parts buffered for a caller that reads slowly.
const MAX_BUFFERED_PARTS: usize = 16;

/// Time without an event after which the endpoint of a stream that another one may resume is
/// checked; callers wait for two seconds.
const SILENCE_CHECK_DELAY: TimeSpan = TimeSpan::from_millis(1_300);

/// Time for which the origin of a stream is kept after its caller's timeout.
const ORIGIN_SLACK: TimeSpan = TimeSpan::from_secs(2);

/// Starts a stream and spawns the task that relays it.
pub(super) async fn serve(
    node: &Rc<EntryNode>,
    request: Rc<AdmittedRequest>,
) -> Result<Response<AnswerBody>, LocalAnswer> {
    let mut search = EndpointSearch::new(node, &request);
    let started = search.run().await?;
    let status = started.answer.response.status();
    if !status.is_success() {
        return relay_error_answer(node, &request, &search, started).await;
    }
    if request.profile.resume_after.is_some() {
        log_resumption(&request, &started.picked, request.profile.resume_after);
    }
    let headers = caller_headers(started.answer.response.headers().clone());
    let position = request
        .profile
        .resume_after
        .map_or(StreamPosition::Start, StreamPosition::After);
    let (parts, body) = mpsc::channel(MAX_BUFFERED_PARTS);
    let relay = StreamRelay {
        node: Rc::clone(node),
        request,
        search,
        parts,
        position: Some(position),
        is_origin_announced: false,
        has_started: false,
        record: StreamRecord {
            predicted: started.picked.predicted,
            first_chunk: None,
            longest_pause: TimeSpan::ZERO,
            open_event_bytes: 0,
        },
    };
    tokio::task::spawn_local(relay.run(started));
    let mut response = Response::new(AnswerBody::relayed(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

/// Relays an answer whose status is no success; it is read completely first.
async fn relay_error_answer(
    node: &Rc<EntryNode>,
    request: &Rc<AdmittedRequest>,
    search: &EndpointSearch,
    started: StartedAnswer,
) -> Result<Response<AnswerBody>, LocalAnswer> {
    let status = started.answer.response.status();
    let id = started.picked.id.clone();
    let software = started.picked.software.clone();
    let sent_at = started.sent_at;
    let framing = started.answer.framing;
    let endpoint = started.picked.incarnation();
    match read_complete(node, request, started.answer, started.picked).await {
        Ok((headers, body)) => {
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
            Ok(response)
        }
        Err(ReadFailure::Broken) => {
            record_lost_run(node, request, &endpoint, sent_at).await;
            Err(LocalAnswer::Lost("answer_broken"))
        }
        Err(ReadFailure::TimedOut) => Err(LocalAnswer::TimedOut),
    }
}

/// Logs that an endpoint resumes a stream after an event.
fn log_resumption(request: &AdmittedRequest, picked: &PickedEndpoint, after: Option<u64>) {
    let profile = &request.profile;
    log::info!(
        "event=stream_resumed request={} resumes={} endpoint={} software={} after={}",
        profile.id.as_ref().map_or("-", RequestId::as_str),
        profile.resumes.as_ref().map_or("-", RequestId::as_str),
        picked.id,
        picked.software,
        after.unwrap_or(0)
    );
}

/// Outcome of relaying one endpoint's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayEnd {
    /// The endpoint's answer is complete.
    Complete,
    /// The endpoint's connection was lost, or its answer is truncated.
    Broken,
    /// The caller disconnected.
    CallerLeft,
    /// The request's deadline passed.
    TimedOut,
}

impl RelayEnd {
    const fn name(self) -> &'static str {
        match self {
            Self::Complete => "answered",
            Self::Broken => "broken",
            Self::CallerLeft => "caller_left",
            Self::TimedOut => "timed_out",
        }
    }
}

/// Relay of a stream to its caller, over all endpoints that serve it.
#[derive(Debug)]
struct StreamRelay {
    node: Rc<EntryNode>,
    request: Rc<AdmittedRequest>,
    search: EndpointSearch,
    parts: mpsc::Sender<BodyPart>,
    /// Point from which the stream goes on; `None` if it cannot.
    position: Option<StreamPosition>,
    is_origin_announced: bool,
    /// Whether the first chunk of the first answer has arrived.
    has_started: bool,
    record: StreamRecord,
}

impl StreamRelay {
    /// Relays the stream to its end, resuming it at other endpoints if needed.
    async fn run(mut self, started: StartedAnswer) {
        let mut current = started;
        loop {
            let id = current.picked.id.clone();
            let software = current.picked.software.clone();
            let sent_at = current.sent_at;
            let framing = current.answer.framing;
            let (picked, end) = self.relay(current).await;
            let sent = self.search.sent();
            match end {
                RelayEnd::Complete => {
                    self.node.record_outcome(&id, EndpointOutcome::Success);
                    let endpoint = picked.incarnation();
                    record_completion(&self.node, &self.request, endpoint, framing, sent_at);
                }
                RelayEnd::Broken => {
                    self.search.record_failure(&id, EndpointOutcome::Broken);
                    let endpoint = picked.incarnation();
                    drop(picked);
                    record_lost_run(&self.node, &self.request, &endpoint, sent_at).await;
                    if let Some(next) = self.resume().await {
                        current = next;
                        continue;
                    }
                }
                RelayEnd::CallerLeft | RelayEnd::TimedOut => {}
            }
            let request_end = RequestEnd {
                endpoint: &id,
                software: &software,
                status: 200,
                outcome: end.name(),
                sent_at,
                sent,
                framing,
                stream: Some(self.record),
            };
            request_end.record(&self.node, &self.request);
            if end == RelayEnd::Complete {
                // Sending fails only if the caller has disconnected.
                let _ = self.parts.send(BodyPart::End).await;
            }
            return;
        }
    }

    /// Resumes an interrupted stream at another endpoint, if that is allowed.
    async fn resume(&mut self) -> Option<StartedAnswer> {
        let position = self.position?;
        if !is_resumable(&self.request) || !self.search.take_retry() {
            return None;
        }
        self.search.silent_since = BootClock::now();
        if let StreamPosition::After(id) = position {
            self.search.resume_after = Some(id);
        }
        let search = self.search.run();
        let started = tokio::select! {
            () = self.parts.closed() => return None,
            started = search => started.ok()?,
        };
        if !started.answer.response.status().is_success() {
            return None;
        }
        log_resumption(&self.request, &started.picked, self.search.resume_after);
        Some(started)
    }

    /// Relays one endpoint's answer and returns its connection to the pool if complete.
    async fn relay(&mut self, started: StartedAnswer) -> (PickedEndpoint, RelayEnd) {
        let StartedAnswer {
            answer,
            picked,
            sent_at,
        } = started;
        let mut body = answer.response.into_body();
        let mut events = EventReader::new(answer.framing, is_resumable(&self.request));
        let is_direct = answer.connection.is_direct();
        let end = self
            .copy_body(&mut body, &mut events, &picked, sent_at, is_direct)
            .await;
        self.position = self
            .position
            .and_then(|before| events.position_after(before));
        self.record.open_event_bytes = events.open_event_bytes();
        if end == RelayEnd::Complete {
            answer.connection.finish(&self.node);
        }
        (picked, end)
    }

    /// Copies the body to the caller until its end, an error or the deadline.
    async fn copy_body(
        &mut self,
        body: &mut Incoming,
        events: &mut EventReader,
        picked: &PickedEndpoint,
        sent_at: LocalTime,
        is_direct: bool,
    ) -> RelayEnd {
        let left = BootClock::now().until(self.request.deadline);
        let mut deadline = std::pin::pin!(tokio::time::sleep(left.duration()));
        let mut last_chunk = None;
        let mut check = std::pin::pin!(tokio::time::sleep(SILENCE_CHECK_DELAY.duration()));
        let mut checked_at = BootClock::now();
        let is_checked = is_resumable(&self.request);
        loop {
            let frame = tokio::select! {
                biased;
                () = self.parts.closed() => return RelayEnd::CallerLeft,
                frame = body.frame() => frame,
                () = deadline.as_mut() => return RelayEnd::TimedOut,
                () = check.as_mut(), if is_checked => {
                    let since = last_chunk.unwrap_or(checked_at).max(checked_at);
                    let mut due = since + SILENCE_CHECK_DELAY;
                    if BootClock::now() >= due {
                        if !self.is_reached(picked, is_direct).await {
                            return RelayEnd::Broken;
                        }
                        checked_at = BootClock::now();
                        due = checked_at + SILENCE_CHECK_DELAY;
                    }
                    let left = BootClock::now().until(due).duration();
                    check.as_mut().reset(tokio::time::Instant::now() + left);
                    continue;
                }
            };
            let chunk = match frame {
                None => return self.finish(events).await,
                Some(Err(_)) => return RelayEnd::Broken,
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(chunk) => chunk,
                    Err(_) => continue,
                },
            };
            let now = BootClock::now();
            match last_chunk.replace(now) {
                None => self.record_first_chunk(picked, sent_at, now),
                Some(before) => {
                    let pause = now.since(before);
                    self.record.longest_pause = self.record.longest_pause.max(pause);
                }
            }
            let relayed = events.push(chunk);
            if events.is_overlong() {
                return RelayEnd::Broken;
            }
            let Some(chunk) = relayed else {
                continue;
            };
            self.record_origin(picked);
            let sent = tokio::select! {
                sent = self.parts.send(BodyPart::Data(chunk)) => sent,
                () = deadline.as_mut() => return RelayEnd::TimedOut,
            };
            if sent.is_err() {
                return RelayEnd::CallerLeft;
            }
        }
    }

    /// Returns whether the silent endpoint of a stream is reached on the stream's path.
    async fn is_reached(&self, picked: &PickedEndpoint, is_direct: bool) -> bool {
        let verdict = self.node.check_endpoint(&picked.id, picked.address).await;
        let endpoint = NameHash::of(picked.id.as_str());
        let is_forwarded = self.node.state.borrow().paths.is_forwarded(endpoint);
        verdict == ReachVerdict::Reached && !(is_direct && is_forwarded)
    }

    /// Records and announces the origin of a stream that may go on elsewhere, before the
    /// first of its events is relayed.
    fn record_origin(&mut self, picked: &PickedEndpoint) {
        if self.is_origin_announced || !is_resumable(&self.request) {
            return;
        }
        self.is_origin_announced = true;
        let origin = self.search.origin.get_or_insert_with(|| StreamOrigin {
            service: self.request.service.clone(),
            software: picked.software.clone(),
        });
        if let Some(key) = self.request.stream_key() {
            let expires_at = self.request.arrival + self.request.longest_wait() + ORIGIN_SLACK;
            self.node.announce_origin(key, origin, expires_at);
        }
    }

    /// Relays the remaining bytes after the end of the body, if the stream is complete.
    async fn finish(&mut self, events: &mut EventReader) -> RelayEnd {
        let Some(remaining) = events.finish() else {
            return RelayEnd::Broken;
        };
        let remaining = BodyPart::Data(remaining);
        if self.parts.send(remaining).await.is_err() {
            return RelayEnd::CallerLeft;
        }
        RelayEnd::Complete
    }

    /// Records the time to the first chunk of an endpoint's answer.
    fn record_first_chunk(&mut self, picked: &PickedEndpoint, sent_at: LocalTime, now: LocalTime) {
        picked.guard.record_first_token();
        let measured = now.since(sent_at);
        self.record.first_chunk.get_or_insert(measured);
        self.node
            .record_slowdown(&picked.id, picked.predicted, measured);
        if !std::mem::replace(&mut self.has_started, true) {
            let waited = now.since(self.request.arrival);
            self.node.stats.first_byte.record(waited.millis());
        }
    }
}
