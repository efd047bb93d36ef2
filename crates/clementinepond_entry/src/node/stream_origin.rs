//! Exchange of the origins of streams with the peers.

use super::{EntryNode, increment};
use crate::clock::BootClock;
use clementinepond_dispatch::peer::PeerMessage;
use clementinepond_dispatch::stream::{StreamKey, StreamOrigin};
use clementinepond_types::{LocalTime, TimeSpan, VmId};
use std::net::SocketAddrV4;

/// Time that peers have to answer before they are asked again; datagrams may be lost, and
/// small VMs pause for most of a tenth of a second.
const ANSWER_TIMEOUT: TimeSpan = TimeSpan::from_millis(110);
/// Number of times that peers are asked.
const MAX_QUERIES: u32 = 3;
/// Maximum time for which an origin is kept, whatever a caller or a peer states.
const MAX_ORIGIN_AGE: TimeSpan = TimeSpan::from_secs(120);

impl EntryNode {
    /// Records the origin of a stream whose first event is about to be relayed, and sends
    /// it to its holders. It is kept until a time at which the caller has given up.
    pub(crate) fn announce_origin(
        &self,
        key: StreamKey,
        origin: &StreamOrigin,
        expires_at: LocalTime,
    ) {
        let now = BootClock::now();
        let time_left = now.until(expires_at).min(MAX_ORIGIN_AGE);
        self.record_origin(key, origin.clone(), now + time_left);
        let settings = self.settings();
        let holders = {
            let state = self.state.borrow();
            let peers = &state.peers;
            peers.origin_holders(key, &settings.vm, &settings.data_centre)
        };
        let message = origin_message(key, origin.clone(), time_left);
        self.send_to_each(message, &holders);
    }

    /// Returns the origin of a stream from this VM or its peers; `None` if none of those
    /// that answer in time knows it.
    pub(crate) async fn find_origin(&self, key: StreamKey) -> Option<StreamOrigin> {
        for _ in 0..MAX_QUERIES {
            let mut updated = std::pin::pin!(self.origin_updated.notified());
            updated.as_mut().enable();
            if let Some(origin) = self.known_origin(key) {
                return Some(origin);
            }
            let until = BootClock::now() + ANSWER_TIMEOUT;
            self.ask_for_origin(key);
            while self.state.borrow().origins.is_awaited(key) {
                let left = BootClock::now().until(until).duration();
                if tokio::time::timeout(left, updated.as_mut()).await.is_err() {
                    break;
                }
                if let Some(origin) = self.known_origin(key) {
                    self.state.borrow_mut().origins.end_search(key);
                    return Some(origin);
                }
                updated.set(self.origin_updated.notified());
                updated.as_mut().enable();
            }
            if !self.state.borrow().origins.is_awaited(key) {
                break;
            }
        }
        self.state.borrow_mut().origins.end_search(key);
        None
    }

    fn known_origin(&self, key: StreamKey) -> Option<StreamOrigin> {
        let state = self.state.borrow();
        let (origin, _) = state.origins.get(key, BootClock::now())?;
        Some(origin.clone())
    }

    fn ask_for_origin(&self, key: StreamKey) {
        let settings = self.settings();
        let now = BootClock::now();
        let sources = {
            let mut guard = self.state.borrow_mut();
            let state = &mut *guard;
            let sources = state
                .peers
                .origin_sources(key, &settings.vm, &settings.data_centre);
            let peers = &state.peers;
            let awaited = sources.iter().filter(|vm| peers.may_be_live(vm, now));
            let awaited = awaited.cloned().collect();
            state.origins.ask(key, awaited, now);
            sources
        };
        self.send_to_each(PeerMessage::StreamOriginQuery { key }, &sources);
    }

    /// Answers a peer that takes up a stream.
    pub(crate) fn answer_origin_query(&self, key: StreamKey, address: SocketAddrV4) {
        let now = BootClock::now();
        let message = {
            let state = self.state.borrow();
            match state.origins.get(key, now) {
                Some((origin, expires_at)) => {
                    origin_message(key, origin.clone(), now.until(expires_at))
                }
                None => PeerMessage::StreamOriginUnknown { key },
            }
        };
        self.send_to(message, address);
    }

    /// Records the origin of a stream that a peer sent.
    pub(crate) fn apply_origin(&self, key: StreamKey, origin: StreamOrigin, time_left: TimeSpan) {
        let expires_at = BootClock::now() + time_left.min(MAX_ORIGIN_AGE);
        self.record_origin(key, origin, expires_at);
        self.origin_updated.notify_waiters();
    }

    /// Records that a peer does not know the origin of a stream.
    pub(crate) fn apply_origin_unknown(&self, from: &VmId, key: StreamKey) {
        self.state.borrow_mut().origins.record_unknown(key, from);
        self.origin_updated.notify_waiters();
    }

    fn record_origin(&self, key: StreamKey, origin: StreamOrigin, expires_at: LocalTime) {
        let is_kept = self
            .state
            .borrow_mut()
            .origins
            .record(key, origin, expires_at);
        if !is_kept {
            increment(&self.stats.origins_dropped);
            log::debug!("event=stream_origin_dropped stream={key}");
        }
    }
}

fn origin_message(key: StreamKey, origin: StreamOrigin, time_left: TimeSpan) -> PeerMessage {
    PeerMessage::StreamOrigin {
        key,
        origin,
        time_left_ms: u32::try_from(time_left.millis()).unwrap_or(u32::MAX),
    }
}
