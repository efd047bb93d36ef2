//! Ways to name an endpoint.

use clementinepond_decide::route::{RouteQuery, RouteTable};
use clementinepond_types::{EndpointId, LocalTime};

/// A way to name an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RoutePolicy {
    /// Any endpoint that serves the model.
    Random,
    /// The one with the least work in its last report.
    LeastReported,
    /// The product's choice.
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
                let candidates = open_endpoints(table);
                let index = usize::try_from(query.seed).unwrap_or(0) % candidates.len().max(1);
                candidates.get(index).cloned()
            }
            Self::LeastReported => open_endpoints(table).into_iter().min_by_key(|endpoint| {
                table
                    .endpoints
                    .get(endpoint)
                    .and_then(|state| state.report.as_ref())
                    .map_or(0, |report| report.running + report.queued)
            }),
        }
    }
}

fn open_endpoints(table: &RouteTable) -> Vec<EndpointId> {
    let endpoints = table.endpoints.iter();
    endpoints
        .filter(|(_, state)| !state.is_leaving())
        .map(|(endpoint, _)| endpoint.clone())
        .collect()
}
