//! The endpoints that a VM can send to.

use super::{EndpointReport, EndpointState, PrefixHash, RouteSettings};
use clementinepond_types::{DataCentreId, EndpointId, LocalTime, RouteName};
use std::collections::BTreeMap;

/// What an endpoint runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointRole {
    /// A model engine.
    Engine,
    /// A plain service on a route.
    Service(RouteName),
}

/// Configured properties of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointProfile {
    /// Data centre of the endpoint.
    pub data_centre: DataCentreId,
    /// What it runs.
    pub role: EndpointRole,
    /// Whether operators told it to leave.
    pub leaving: bool,
}

/// The endpoints that a VM can send to.
#[derive(Debug, Clone)]
pub struct RouteTable {
    /// Settings of routing.
    pub settings: RouteSettings,
    /// Data centre of this VM.
    pub data_centre: DataCentreId,
    /// Endpoints by name.
    pub endpoints: BTreeMap<EndpointId, EndpointState>,
}

impl RouteTable {
    /// Starts without endpoints.
    #[must_use]
    pub const fn new(settings: RouteSettings, data_centre: DataCentreId) -> Self {
        Self {
            settings,
            data_centre,
            endpoints: BTreeMap::new(),
        }
    }

    /// Replaces the configured endpoints, keeping what is known of each.
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

    /// Takes a report; returns whether it was newer than the one held.
    pub fn take_report(
        &mut self,
        endpoint: &EndpointId,
        report: EndpointReport,
        now: LocalTime,
    ) -> bool {
        self.endpoints
            .get_mut(endpoint)
            .is_some_and(|state| state.take_report(report, now))
    }

    /// Notes a request sent to an endpoint.
    pub fn note_sent(&mut self, endpoint: &EndpointId, prefix: Option<PrefixHash>) {
        let limit = self.settings.prefix_limit;
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.sent_since_report += 1;
            state.in_flight += 1;
            if let Some(prefix) = prefix {
                state.prefixes.insert(prefix, limit);
            }
        }
    }

    /// Notes the end of a request at an endpoint.
    pub fn note_ended(&mut self, endpoint: &EndpointId, failed: bool, now: LocalTime) {
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
