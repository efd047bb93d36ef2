//! Health of all endpoints, compared with their peers.

use super::{EndpointHealth, EndpointOutcome};
use clementinepond_types::{EndpointId, LocalTime};
use fnv::FnvHashMap;

/// Decayed number of failures below which an endpoint is not ejected, unless it is
/// unreachable.
const MIN_FAILURE_WEIGHT: f64 = 1.6;
/// Share of failures below which an endpoint is not ejected, unless it is unreachable.
const MIN_FAILURE_SHARE: f64 = 0.3;
/// Ratio of an endpoint's share of failures to that of its peers below which it is not
/// ejected, unless it is unreachable.
const PEER_FAILURE_FACTOR: f64 = 2.0;

/// Health of an endpoint, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HealthGrade {
    /// The endpoint serves normally.
    Good,
    /// The endpoint was ejected and takes one trial request at a time.
    Trial,
    /// The endpoint is ejected or already runs a trial request.
    Ejected,
}

/// Health of all endpoints.
#[derive(Debug, Default)]
pub struct HealthTable {
    endpoints: FnvHashMap<EndpointId, EndpointHealth>,
}

impl HealthTable {
    /// Records an outcome; returns whether the endpoint has just been ejected.
    ///
    /// `peers` are the endpoints of the same service.
    pub fn record(
        &mut self,
        id: &EndpointId,
        outcome: EndpointOutcome,
        peers: &[EndpointId],
        now: LocalTime,
    ) -> bool {
        let health = self.endpoints.entry(id.clone()).or_default();
        let was_ejected = health.is_ejected(now);
        health.record(outcome, now);
        if health.is_ejected(now) {
            return !was_ejected;
        }
        let is_unreachable = outcome == EndpointOutcome::Unreachable;
        let (failures, total) = health.outcome_weights(now);
        let share = failures / total.max(1.0);
        if !is_unreachable && (failures < MIN_FAILURE_WEIGHT || share < MIN_FAILURE_SHARE) {
            return false;
        }
        if !is_unreachable && share < PEER_FAILURE_FACTOR * self.peer_share(id, peers, now) {
            return false;
        }
        if let Some(health) = self.endpoints.get_mut(id) {
            health.eject(now);
        }
        true
    }

    /// Ejects an endpoint that a peer VM has ejected.
    pub fn eject(&mut self, id: &EndpointId, now: LocalTime) {
        let health = self.endpoints.entry(id.clone()).or_default();
        if !health.is_ejected(now) {
            health.eject(now);
        }
    }

    /// Returns the health of an endpoint; `Good` for an unknown one.
    #[must_use]
    pub fn grade(&self, id: &EndpointId, now: LocalTime) -> HealthGrade {
        match self.endpoints.get(id) {
            Some(health) if health.is_ejected(now) => HealthGrade::Ejected,
            Some(health) if health.is_on_trial() && !health.has_no_running_trial() => {
                HealthGrade::Ejected
            }
            Some(health) if health.is_on_trial() => HealthGrade::Trial,
            _ => HealthGrade::Good,
        }
    }

    /// Records the start of a request.
    pub fn start_run(&mut self, id: &EndpointId) {
        if let Some(health) = self.endpoints.get_mut(id) {
            health.start_run();
        }
    }

    /// Records the end of a request.
    pub fn end_run(&mut self, id: &EndpointId) {
        if let Some(health) = self.endpoints.get_mut(id) {
            health.end_run();
        }
    }

    /// Removes all endpoints.
    pub fn clear(&mut self) {
        self.endpoints.clear();
    }

    /// Removes an endpoint that has left or restarted.
    pub fn remove(&mut self, id: &EndpointId) {
        self.endpoints.remove(id);
    }

    fn peer_share(&mut self, id: &EndpointId, peers: &[EndpointId], now: LocalTime) -> f64 {
        let mut failures = 0.0;
        let mut total = 0.0;
        for peer in peers.iter().filter(|peer| *peer != id) {
            if let Some(health) = self.endpoints.get_mut(peer) {
                let (failed, all) = health.outcome_weights(now);
                failures += failed;
                total += all;
            }
        }
        if total < 1.0 { 0.0 } else { failures / total }
    }
}
