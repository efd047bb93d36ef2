//! Routing policies under comparison.

use clementinepond_decide::route::{RouteQuery, RouteTable};
use clementinepond_types::{EndpointId, LocalTime};

/// Routing policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RoutePolicy {
    /// Any endpoint that isn't leaving.
    Random,
    /// The endpoint with the fewest running and queued requests in its last report.
    LeastReported,
    /// The endpoint chosen by the production route table.
    RouteTable,
}

impl RoutePolicy {
    pub(super) fn choose(
        self,
        table: &RouteTable,
        query: &RouteQuery,
        now: LocalTime,
    ) -> Option<EndpointId> {
        match self {
            Self::RouteTable => table.choose(query, now).ok(),
            Self::Random => {
                let candidates = available_endpoints(table);
                let index = usize::try_from(query.seed).unwrap_or(0) % candidates.len().max(1);
                candidates.get(index).cloned()
            }
            Self::LeastReported => available_endpoints(table)
                .into_iter()
                .min_by_key(|endpoint| {
                    table
                        .endpoints
                        .get(endpoint)
                        .and_then(|state| state.report.as_ref())
                        .map_or(0, |report| report.running + report.queued)
                }),
        }
    }
}

fn available_endpoints(table: &RouteTable) -> Vec<EndpointId> {
    let endpoints = table.endpoints.iter();
    endpoints
        .filter(|(_, state)| !state.is_leaving())
        .map(|(endpoint, _)| endpoint.clone())
        .collect()
}
