//! Limits that a VM knows, and the endpoints that take no further request for now.

use super::SendRate;
use crate::fleet::Stated;
use crate::load::NameHash;
use clementinepond_types::{LocalTime, TimeSpan};
use fnv::FnvHashMap;

/// Minimum interval between announcements of an endpoint's limit to the peers; a VM that
/// misses one learns the limit from its next answer.
const ANNOUNCE_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Time for which a limit that is no longer stated is remembered, so that an older report
/// does not bring it back.
const LIFTED_RETENTION: TimeSpan = TimeSpan::from_secs(20);

/// Limit of one endpoint.
#[derive(Debug, Clone)]
struct KnownLimit {
    /// Stated rate; `None` once the endpoint no longer states one.
    rate: Option<SendRate>,
    /// Time as of which the rate is known.
    known_at: LocalTime,
    announced_at: Option<LocalTime>,
    /// Time until which no permit is available.
    held_until: LocalTime,
}

/// Limits of all endpoints, as known to one VM.
#[derive(Debug, Default)]
pub struct LimitTable {
    endpoints: FnvHashMap<NameHash, KnownLimit>,
}

impl LimitTable {
    /// Records what an answer to a call that was sent at `sent_at` states; returns whether
    /// the limit changed and is to be announced to the peers.
    pub fn record_answer(
        &mut self,
        endpoint: NameHash,
        statement: Stated<SendRate>,
        sent_at: LocalTime,
        now: LocalTime,
    ) -> bool {
        let (rate, known_at) = match statement {
            Stated::Value(rate) => (Some(rate), now),
            // The answer may be older than one that stated a limit and overtook it.
            Stated::Absent => (None, sent_at),
            Stated::Unreadable => return false,
        };
        if !self.record_report(endpoint, rate, known_at) {
            return false;
        }
        let Some(known) = self.endpoints.get_mut(&endpoint) else {
            return false;
        };
        if known
            .announced_at
            .is_some_and(|at| now.since(at) < ANNOUNCE_INTERVAL)
        {
            return false;
        }
        known.announced_at = Some(now);
        true
    }

    /// Records a peer's report of a limit as of a time; returns whether the limit changed.
    pub fn record_report(
        &mut self,
        endpoint: NameHash,
        rate: Option<SendRate>,
        known_at: LocalTime,
    ) -> bool {
        let Some(known) = self.endpoints.get_mut(&endpoint) else {
            if rate.is_some() {
                let known = KnownLimit {
                    rate,
                    known_at,
                    announced_at: None,
                    held_until: LocalTime::ORIGIN,
                };
                self.endpoints.insert(endpoint, known);
            }
            return rate.is_some();
        };
        if known_at <= known.known_at {
            return false;
        }
        known.known_at = known_at;
        let is_changed = known.rate != rate;
        known.rate = rate;
        if rate.is_none() {
            known.held_until = LocalTime::ORIGIN;
        }
        is_changed
    }

    /// Returns the stated rate of an endpoint; `None` if it states none.
    #[must_use]
    pub fn rate(&self, endpoint: NameHash) -> Option<SendRate> {
        self.endpoints.get(&endpoint)?.rate
    }

    /// Returns the rate of an endpoint and the time as of which it is known; `None` if the
    /// endpoint has not stated one recently.
    #[must_use]
    pub fn known(&self, endpoint: NameHash) -> Option<(Option<SendRate>, LocalTime)> {
        let known = self.endpoints.get(&endpoint)?;
        Some((known.rate, known.known_at))
    }

    /// Records that no permit for an endpoint is available until a time.
    pub fn hold(&mut self, endpoint: NameHash, until: LocalTime) {
        if let Some(known) = self.endpoints.get_mut(&endpoint) {
            known.held_until = known.held_until.max(until);
        }
    }

    /// Returns the time until which an endpoint takes no further request from this VM;
    /// `None` if it may take one now.
    #[must_use]
    pub fn held_until(&self, endpoint: NameHash, now: LocalTime) -> Option<LocalTime> {
        let known = self.endpoints.get(&endpoint)?;
        (known.rate.is_some() && now < known.held_until).then_some(known.held_until)
    }

    /// Removes an endpoint that has restarted or left.
    pub fn remove(&mut self, endpoint: NameHash) {
        self.endpoints.remove(&endpoint);
    }

    /// Forgets limits that have not been stated for a while.
    pub fn sweep(&mut self, now: LocalTime) {
        self.endpoints.retain(|_, known| {
            known.rate.is_some() || now.since(known.known_at) < LIFTED_RETENTION
        });
    }
}
