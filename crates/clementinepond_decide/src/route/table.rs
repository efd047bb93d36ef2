//! Table of the endpoints that a VM can send requests to.

use super::{EndpointReport, EndpointState, PrefixHash, RouteSettings};
use clementinepond_types::{DataCentreId, EndpointId, LocalTime, RouteName};
use std::collections::BTreeMap;

/// Kind of work that an endpoint serves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointRole {
    /// A model engine.
    Engine,
    /// A service that is not a model, by its route.
    Service(RouteName),
}

/// Configured properties of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointProfile {
    /// Data centre where the endpoint runs.
    pub data_centre: DataCentreId,
    /// Kind of work that the endpoint serves.
    pub role: EndpointRole,
    /// Whether the configuration marks the endpoint as leaving.
    pub leaving: bool,
}

/// Endpoints that a VM can send requests to.
#[derive(Debug, Clone)]
pub struct RouteTable {
    /// Weights and limits of routing.
    pub settings: RouteSettings,
    /// Data centre where this VM runs.
    pub data_centre: DataCentreId,
    /// State of each endpoint, by name.
    pub endpoints: BTreeMap<EndpointId, EndpointState>,
}

impl RouteTable {
    /// Creates a table without endpoints.
    #[must_use]
    pub const fn new(settings: RouteSettings, data_centre: DataCentreId) -> Self {
        Self {
            settings,
            data_centre,
            endpoints: BTreeMap::new(),
        }
    }

    /// Replaces the configured endpoints; the state of those that remain is kept.
    pub fn configure(&mut self, profiles: BTreeMap<EndpointId, EndpointProfile>) {
        self.endpoints.retain(|id, _| profiles.contains_key(id));
        for (id, profile) in profiles {
            match self.endpoints.get_mut(&id) {
                Some(state) => state.profile = profile,
                None => {
                    self.endpoints.insert(id, EndpointState::new(profile));
                }
            }
        }
    }

    /// Stores an endpoint's report; returns false if the endpoint is not configured or
    /// the report is not newer than the stored one.
    pub fn apply_report(
        &mut self,
        endpoint: &EndpointId,
        report: EndpointReport,
        now: LocalTime,
    ) -> bool {
        self.endpoints
            .get_mut(endpoint)
            .is_some_and(|state| state.apply_report(report, now))
    }

    /// Records a request sent to an endpoint, which is then assumed to cache its prefix.
    pub fn record_sent(&mut self, endpoint: &EndpointId, prefix: Option<PrefixHash>) {
        let limit = self.settings.prefix_limit;
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.sent_since_report += 1;
            state.in_flight += 1;
            if let Some(prefix) = prefix {
                state.prefixes.insert(prefix, limit);
            }
        }
    }

    /// Records the end of a request at an endpoint; a failure starts its back-off.
    pub fn record_ended(&mut self, endpoint: &EndpointId, failed: bool, now: LocalTime) {
        let backoff = self.settings.failure_backoff;
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.sent_since_report = state.sent_since_report.saturating_sub(1);
            state.in_flight = state.in_flight.saturating_sub(1);
            if failed {
                state.backoff_deadline = now + backoff;
            }
        }
    }
}
