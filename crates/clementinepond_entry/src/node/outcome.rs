//! Outcomes and measured times of requests at endpoints.

use super::EntryNode;
use super::pick::DEFAULT_SERVICE_TIME_MS;
use crate::clock::BootClock;
use clementinepond_dispatch::health::EndpointOutcome;
use clementinepond_dispatch::load::NameHash;
use clementinepond_types::{EndpointId, TimeSpan};

/// Weight of a new measurement in the moving average of an endpoint's slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.15;
/// Minimum and maximum of an endpoint's slowdown.
const SLOWDOWN_RANGE: (f64, f64) = (0.4, 6.0);
/// Weight of a new measurement in the moving average of an endpoint's service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Delay after which an ejection for lost or failed connections is reported to the peers; a
/// VM that is cut off mostly finds out earlier.
const UNCHECKED_REPORT_DELAY: TimeSpan = TimeSpan::from_millis(600);

impl EntryNode {
    /// Keeps the ejection of an endpoint from the peers, since only this VM is known not to
    /// reach it.
    pub(crate) fn withhold_ejection(&self, id: &EndpointId) {
        let mut state = self.state.borrow_mut();
        state.ejected_here.remove(&NameHash::of(id.as_str()));
    }

    /// Records the outcome of a request at an endpoint, which may eject the endpoint.
    pub(crate) fn record_outcome(&self, id: &EndpointId, outcome: EndpointOutcome) {
        let now = BootClock::now();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let Some(service) = state
            .directory
            .get(id)
            .map(|known| known.entry.service.clone())
        else {
            return;
        };
        let peers: Vec<EndpointId> = state
            .directory
            .usable(&service, now)
            .map(|known| known.entry.id.clone())
            .collect();
        if state.health.record(id, outcome, &peers, now) {
            // This VM's link may be at fault, also if the peers asked share the fault.
            let delay = match outcome {
                EndpointOutcome::Broken | EndpointOutcome::Unreachable => UNCHECKED_REPORT_DELAY,
                _ => TimeSpan::ZERO,
            };
            let endpoint = NameHash::of(id.as_str());
            state.ejected_here.insert(endpoint, now + delay);
            log::info!("event=endpoint_ejected endpoint={id} outcome={outcome:?}");
        }
    }

    /// Adjusts an endpoint's slowdown by a measured and a predicted time to the first
    /// token.
    pub(crate) fn record_slowdown(&self, id: &EndpointId, predicted: TimeSpan, measured: TimeSpan) {
        // 3 ms on both sides keep very short times from dominating the ratio.
        let ratio = (measured.micros() as f64 + 3e3) / (predicted.micros() as f64 + 3e3);
        let mut state = self.state.borrow_mut();
        let slowdown = state.slowdowns.entry(id.clone()).or_insert(1.0);
        let target = (*slowdown * ratio).clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        *slowdown += (target - *slowdown) * SLOWDOWN_WEIGHT;
    }

    /// Records the service time of a request that was answered in one piece.
    pub(crate) fn record_service_time(&self, id: &EndpointId, measured: TimeSpan) {
        let millis = measured.micros() as f64 / 1e3;
        let mut state = self.state.borrow_mut();
        let service_time = state
            .service_ms
            .entry(id.clone())
            .or_insert(DEFAULT_SERVICE_TIME_MS);
        *service_time += (millis - *service_time) * SERVICE_TIME_WEIGHT;
    }
}
