//! Streams, passed on as they arrive.

use super::answer_body::{AnswerBody, BrokenAnswer};
use super::crash_probe::suspect_crash;
use super::event_reader::EventReader;
use super::gate::{AdmittedRequest, is_resumable};
use super::refusal::OwnAnswer;
use super::relay::{BegunAnswer, EndpointSearch};
use super::request_end::{RequestEnd, StreamPace};
use super::unary::{ReadFailure, caller_headers, read_whole};
use crate::clock::BootClock;
use crate::node::{EntryNode, PickedEndpoint};
use bytes::Bytes;
use clementinepond_dispatch::health::EndpointOutcome;
use clementinepond_types::{LocalTime, TimeSpan};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Pieces that wait for a caller who reads slowly.
const PIECES_WAITING: usize = 16;

/// Begins a stream; its rest is passed on by a task of its own.
pub(super) async fn serve(
    node: &Rc<EntryNode>,
    request: Rc<AdmittedRequest>,
) -> Result<Response<AnswerBody>, OwnAnswer> {
    let mut search = EndpointSearch::new(node, &request);
    let begun = search.run().await?;
    let status = begun.answer.response.status();
    if !status.is_success() {
        return pass_failure(node, &request, &search, begun).await;
    }
    let headers = caller_headers(begun.answer.response.headers().clone());
    let (pieces, body) = mpsc::channel(PIECES_WAITING);
    let relay = StreamRelay {
        node: Rc::clone(node),
        request,
        search,
        pieces,
        events: EventReader::default(),
        has_begun: false,
        pace: StreamPace {
            predicted: begun.picked.predicted,
            first_piece: None,
            longest_pause: TimeSpan::ZERO,
        },
    };
    tokio::task::spawn_local(relay.run(begun));
    let mut response = Response::new(AnswerBody::Relayed(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

/// Passes on an endpoint's own failure.
async fn pass_failure(
    node: &Rc<EntryNode>,
    request: &Rc<AdmittedRequest>,
    search: &EndpointSearch,
    begun: BegunAnswer,
) -> Result<Response<AnswerBody>, OwnAnswer> {
    let status = begun.answer.response.status();
    let id = begun.picked.id.clone();
    let sent_at = begun.sent_at;
    match read_whole(node, request, begun.answer, begun.picked).await {
        Ok((headers, body)) => {
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
            Ok(response)
        }
        Err(ReadFailure::Broken) => Err(OwnAnswer::Lost("answer_broken")),
        Err(ReadFailure::Late) => Err(OwnAnswer::TimedOut),
    }
}

/// How the relay of one endpoint's answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RelayEnd {
    Complete,
    Broken,
    CallerLeft,
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

/// Passing on of one stream.
#[derive(Debug)]
struct StreamRelay {
    node: Rc<EntryNode>,
    request: Rc<AdmittedRequest>,
    search: EndpointSearch,
    pieces: mpsc::Sender<Result<Bytes, BrokenAnswer>>,
    events: EventReader,
    has_begun: bool,
    pace: StreamPace,
}

impl StreamRelay {
    async fn run(mut self, begun: BegunAnswer) {
        let mut current = begun;
        loop {
            let id = current.picked.id.clone();
            let sent_at = current.sent_at;
            let (picked, end) = self.relay(current).await;
            let sent = self.search.sent();
            match end {
                RelayEnd::Complete => self.node.note_outcome(&id, EndpointOutcome::Success),
                RelayEnd::Broken => {
                    self.search.note_failed(&id, EndpointOutcome::Broken);
                    suspect_crash(&self.node, self.request.fingerprint, &picked);
                    drop(picked);
                    if let Some(next) = self.resume().await {
                        current = next;
                        continue;
                    }
                }
                RelayEnd::CallerLeft | RelayEnd::TimedOut => {}
            }
            let note = RequestEnd {
                endpoint: &id,
                status: 200,
                outcome: end.name(),
                sent_at,
                sent,
                pace: Some(self.pace),
            };
            note.note(&self.node, &self.request);
            if matches!(end, RelayEnd::Broken | RelayEnd::TimedOut) {
                // Sending fails when the caller has left, which needs no handling.
                let _ = self.pieces.send(Err(BrokenAnswer)).await;
            }
            return;
        }
    }

    /// Continues a broken stream at another endpoint, if that is allowed.
    async fn resume(&mut self) -> Option<BegunAnswer> {
        if !is_resumable(&self.request) || !self.search.take_repeat() {
            return None;
        }
        self.events.drop_partial();
        self.search.silent_since = BootClock::now();
        self.search.resume_after = self.events.last_id.or(self.search.resume_after);
        let search = self.search.run();
        let begun = tokio::select! {
            () = self.pieces.closed() => return None,
            begun = search => begun.ok()?,
        };
        let is_success = begun.answer.response.status().is_success();
        is_success.then_some(begun)
    }

    async fn relay(&mut self, begun: BegunAnswer) -> (PickedEndpoint, RelayEnd) {
        let BegunAnswer {
            answer,
            picked,
            sent_at,
        } = begun;
        let mut body = answer.response.into_body();
        let end = self.copy(&mut body, &picked, sent_at).await;
        if end == RelayEnd::Complete {
            answer.line.finish(&self.node);
        }
        (picked, end)
    }

    async fn copy(
        &mut self,
        body: &mut Incoming,
        picked: &PickedEndpoint,
        sent_at: LocalTime,
    ) -> RelayEnd {
        let left = BootClock::now().until(self.request.deadline);
        let mut deadline = std::pin::pin!(tokio::time::sleep(left.duration()));
        let mut last_piece = None;
        loop {
            let frame = tokio::select! {
                biased;
                () = self.pieces.closed() => return RelayEnd::CallerLeft,
                frame = body.frame() => frame,
                () = deadline.as_mut() => return RelayEnd::TimedOut,
            };
            let piece = match frame {
                None => return self.finish().await,
                Some(Err(_)) => return RelayEnd::Broken,
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(piece) => piece,
                    Err(_) => continue,
                },
            };
            let now = BootClock::now();
            match last_piece.replace(now) {
                None => self.note_first_piece(picked, sent_at, now),
                Some(before) => {
                    let pause = now.since(before);
                    self.pace.longest_pause = self.pace.longest_pause.max(pause);
                }
            }
            let Some(piece) = self.whole_events(piece) else {
                continue;
            };
            let sent = tokio::select! {
                sent = self.pieces.send(Ok(piece)) => sent,
                () = deadline.as_mut() => return RelayEnd::TimedOut,
            };
            if sent.is_err() {
                return RelayEnd::CallerLeft;
            }
        }
    }

    /// Returns what may be passed on of the bytes so far.
    fn whole_events(&mut self, piece: Bytes) -> Option<Bytes> {
        if !is_resumable(&self.request) {
            return Some(piece);
        }
        let whole = self.events.push(&piece);
        if whole.is_none() && self.events.is_overlong() {
            return Some(self.events.rest());
        }
        whole
    }

    async fn finish(&mut self) -> RelayEnd {
        let rest = self.events.rest();
        if !rest.is_empty() && self.pieces.send(Ok(rest)).await.is_err() {
            return RelayEnd::CallerLeft;
        }
        RelayEnd::Complete
    }

    fn note_first_piece(&mut self, picked: &PickedEndpoint, sent_at: LocalTime, now: LocalTime) {
        picked.guard.note_first_token();
        let measured = now.since(sent_at);
        self.pace.first_piece.get_or_insert(measured);
        self.node.note_pace(&picked.id, picked.predicted, measured);
        if !std::mem::replace(&mut self.has_begun, true) {
            let waited = now.since(self.request.arrival);
            self.node.stats.first_byte.record(waited.millis());
        }
    }
}
