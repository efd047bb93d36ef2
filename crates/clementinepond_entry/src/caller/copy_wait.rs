//! Waits of a search for a copy of the model or for an adapter.

use super::endpoint_search::{EndpointSearch, NO_COPY_RETRY_DELAY, StartedAnswer};
use super::local_answer::LocalAnswer;
use crate::clock::BootClock;
use crate::endpoint::AttemptAnswer;
use crate::node::PickedEndpoint;
use clementinepond_dispatch::load::NameHash;
use clementinepond_types::TimeSpan;
use hyper::StatusCode;

/// Fraction of the time left in which a copy must be expected for a request to wait.
const COPY_WAIT_FRACTION: (u64, u64) = (1, 2);
/// Time by which a copy may be later than expected before the request is refused.
const COPY_LATENESS_LIMIT: TimeSpan = TimeSpan::from_millis(600);
/// Minimum wait for a copy, so that an overdue copy is not checked in a busy loop.
const MIN_COPY_WAIT: TimeSpan = TimeSpan::from_millis(20);
/// Maximum wait for an endpoint to load an adapter.
const ADAPTER_WAIT_TIMEOUT: TimeSpan = TimeSpan::from_millis(200);
/// Number of endpoints without the adapter in time after which the request fails.
const MAX_ADAPTER_WAITS: u32 = 3;

impl EndpointSearch {
    /// Returns whether the refusal means that the endpoint has not loaded the adapter.
    pub(super) fn is_adapter_missing(
        &self,
        answer: &AttemptAnswer,
        picked: &PickedEndpoint,
    ) -> bool {
        let has_adapter = self
            .request
            .profile
            .target
            .as_ref()
            .is_some_and(|target| target.adapter.is_some());
        let is_same = answer
            .mark
            .instance
            .as_deref()
            .is_none_or(|instance| instance == picked.id.as_str());
        let has_room = answer
            .mark
            .load
            .is_some_and(|load| load.running < load.slots);
        let status = answer.response.status();
        // While it loads the adapter, an endpoint answers 503 and states free slots.
        let is_loading = status == StatusCode::SERVICE_UNAVAILABLE && has_room;
        has_adapter && is_same && (is_loading || status == StatusCode::MISDIRECTED_REQUEST)
    }

    pub(super) fn record_missing_adapter(&self, picked: &PickedEndpoint) {
        if let Some(location) = self
            .node
            .adapter_location(&picked.id, self.request.profile.target.as_ref())
        {
            self.node
                .state
                .borrow_mut()
                .placement
                .record_missing(&location);
        }
    }

    /// Requests the adapter from the lease holder and waits until the endpoint holds it.
    pub(super) async fn await_adapter(&self, picked: &PickedEndpoint) -> bool {
        let Some(target) = self.request.profile.target.as_ref() else {
            return false;
        };
        let left = BootClock::now().until(self.request.deadline);
        let limit = ADAPTER_WAIT_TIMEOUT.min(left.fraction(1, 2));
        self.node.await_adapter(&picked.id, target, limit).await
    }

    /// Waits for a copy expected well before the deadline; returns whether to choose again.
    pub(super) async fn await_copy(&self) -> bool {
        let Some(target) = &self.request.profile.target else {
            return false;
        };
        let model = NameHash::of(target.model.as_str());
        let now = BootClock::now();
        let left = now.until(self.request.deadline);
        let half = now + left.fraction(COPY_WAIT_FRACTION.0, COPY_WAIT_FRACTION.1);
        let latest = half.min(self.request.wait_deadline(self.silent_since));
        let mut changed = std::pin::pin!(self.node.placement_changed.notified());
        changed.as_mut().enable();
        let expected = self.node.state.borrow().placement.expected_at(model);
        let Some(expected) = expected.filter(|at| *at < latest && now < *at + COPY_LATENESS_LIMIT)
        else {
            return false;
        };
        let limit = now.until(expected + COPY_LATENESS_LIMIT).max(MIN_COPY_WAIT);
        // The next choice uses the current state, whether it changed or the wait ended.
        let _ = tokio::time::timeout(limit.duration(), changed).await;
        true
    }

    /// Handles an endpoint that did not load the adapter in time.
    pub(super) fn handle_adapter_timeout(
        &mut self,
        picked: &PickedEndpoint,
    ) -> Result<Option<StartedAnswer>, LocalAnswer> {
        log::info!(
            "event=adapter_missed request={} endpoint={} waits={}",
            self.request_id(),
            picked.id,
            self.adapter_waits
        );
        self.tried.push(picked.id.clone());
        self.sent -= 1;
        self.adapter_waits += 1;
        if self.adapter_waits >= MAX_ADAPTER_WAITS {
            return Err(self.abandon("adapter_not_loaded", NO_COPY_RETRY_DELAY));
        }
        Ok(None)
    }
}
