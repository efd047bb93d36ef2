//! Log line and counters at the end of a request that reached an endpoint.

use super::admission::AdmittedRequest;
use crate::clock::BootClock;
use crate::node::{EntryNode, increment};
use clementinepond_dispatch::fleet::SoftwareVersion;
use clementinepond_dispatch::stream::BodyFraming;
use clementinepond_types::{EndpointId, LocalTime, TimeSpan};
use derive_more::Display;

/// End of a request at the endpoint that it was last sent to.
#[derive(Debug)]
pub(super) struct RequestEnd<'a> {
    pub(super) endpoint: &'a EndpointId,
    pub(super) software: &'a SoftwareVersion,
    pub(super) status: u16,
    pub(super) outcome: &'static str,
    pub(super) sent_at: LocalTime,
    /// Number of endpoints that the request was sent to.
    pub(super) sent: u32,
    /// Framing of the last answer.
    pub(super) framing: BodyFraming,
    /// Course of the stream; `None` for an answer that is no stream.
    pub(super) stream: Option<StreamRecord>,
}

/// Course of a stream.
#[derive(Debug, Display, Clone, Copy)]
#[display(
    "predicted_ms={} first_ms={} pause_ms={} open_event_bytes={open_event_bytes}",
    predicted.millis(),
    first_chunk.map_or(-1, |first_chunk| i64::try_from(first_chunk.millis()).unwrap_or(i64::MAX)),
    longest_pause.millis()
)]
pub(super) struct StreamRecord {
    /// Time to the first token, as predicted when the engine was chosen.
    pub(super) predicted: TimeSpan,
    /// Time from sending to the first chunk.
    pub(super) first_chunk: Option<TimeSpan>,
    /// Longest time between two chunks.
    pub(super) longest_pause: TimeSpan,
    /// Number of bytes of the last answer after its last complete event.
    pub(super) open_event_bytes: usize,
}

impl RequestEnd<'_> {
    /// Counts and logs the end of the request.
    pub(super) fn record(&self, node: &EntryNode, request: &AdmittedRequest) {
        let counter = if self.outcome == "answered" && self.status < 500 {
            &node.stats.answered
        } else {
            &node.stats.failed
        };
        increment(counter);
        let now = BootClock::now();
        let target = request.profile.target.as_ref();
        log::info!(
            "event=request_ended request={} route={} service={} model={} account={} endpoint={} software={} outcome={} status={} endpoints={} waited_ms={} framing={}{} duration_ms={} configuration={}",
            request.profile.id.as_ref().map_or("-", |id| id.as_str()),
            request.route.name,
            request.service,
            target.map_or("-", |target| target.model.as_str()),
            request.account.as_ref().map_or("-", |id| id.as_str()),
            self.endpoint,
            self.software,
            self.outcome,
            self.status,
            self.sent,
            self.sent_at.since(request.arrival).millis(),
            self.framing,
            self.stream
                .map_or_else(String::new, |stream| format!(" {stream}")),
            now.since(request.arrival).millis(),
            request.table.policy().version,
        );
    }
}
