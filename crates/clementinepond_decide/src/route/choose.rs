//! Choice of an endpoint.

use super::{
    EndpointRole, EndpointState, ReplicaState, RouteError, RouteQuery, RouteTable, RouteTarget,
};
use clementinepond_types::{EndpointId, LocalTime, TimeSpan};

/// Endpoint that could serve a request.
struct RouteCandidate<'a> {
    endpoint: &'a EndpointId,
    wait: TimeSpan,
    is_cached: bool,
}

impl RouteTable {
    /// Returns the endpoint for a request.
    ///
    /// Endpoints that are avoided, in back-off or without a recent report are
    /// used only when there is no other. Excluded and leaving endpoints are never
    /// used.
    ///
    /// # Errors
    ///
    /// Returns an error if no endpoint serves the target, apart from excluded and
    /// leaving ones.
    pub fn choose(&self, query: &RouteQuery, now: LocalTime) -> Result<EndpointId, RouteError> {
        let candidates = self.candidates(query, |id, state| {
            !query.excluded.contains(id)
                && !query.avoided.contains(id)
                && state.backoff_deadline <= now
                && self.is_fresh(state, now)
        });
        let candidates = if candidates.is_empty() {
            self.candidates(query, |id, _| !query.excluded.contains(id))
        } else {
            candidates
        };
        pick(&candidates, query.seed).ok_or_else(RouteError::no_replica)
    }

    /// Returns up to `limit` endpoints for a request, shortest expected wait first,
    /// including those in back-off or without a recent report.
    #[must_use]
    pub fn ranked(&self, query: &RouteQuery, limit: usize) -> Vec<EndpointId> {
        let mut candidates = self.candidates(query, |id, _| !query.excluded.contains(id));
        candidates.sort_by_key(|candidate| candidate.wait);
        candidates
            .into_iter()
            .take(limit)
            .map(|candidate| candidate.endpoint.clone())
            .collect()
    }

    /// Returns whether the latest report of an endpoint arrived within `report_timeout`;
    /// before the first report, whether the clock is that close to its origin.
    #[must_use]
    pub fn is_fresh(&self, state: &EndpointState, now: LocalTime) -> bool {
        now.since(state.reported_at) <= self.settings.report_timeout
    }

    fn candidates(
        &self,
        query: &RouteQuery,
        accept: impl Fn(&EndpointId, &EndpointState) -> bool,
    ) -> Vec<RouteCandidate<'_>> {
        self.endpoints
            .iter()
            .filter(|(id, state)| !state.is_leaving() && accept(id, state))
            .filter(|(_, state)| serves(state, &query.target))
            .map(|(endpoint, state)| RouteCandidate {
                endpoint,
                wait: self.expected_wait(state, query),
                is_cached: caches(state, query),
            })
            .collect()
    }

    fn expected_wait(&self, state: &EndpointState, query: &RouteQuery) -> TimeSpan {
        let settings = &self.settings;
        let (running, queued) = state
            .report
            .as_ref()
            .map_or((0, 0), |report| (report.running, report.queued));
        let running = u64::from(running + state.sent_since_report);
        let mut wait = settings.running_cost.fraction(running, 1);
        wait += settings.queued_cost.fraction(u64::from(queued), 1);
        if !caches(state, query) {
            wait += settings.prefill_cost.fraction(query.prompt_tokens, 1000);
        }
        if lacks_adapter(state, &query.target) {
            wait += settings.adapter_cost;
        }
        if state.profile.data_centre != self.data_centre {
            wait += settings.distance_cost;
        }
        wait
    }
}

fn serves(state: &EndpointState, target: &RouteTarget) -> bool {
    match (target, &state.profile.role) {
        (RouteTarget::Service(wanted), EndpointRole::Service(route)) => wanted == route,
        (RouteTarget::Model { model, .. }, EndpointRole::Engine) => state
            .report
            .as_ref()
            .and_then(|report| report.models.get(model))
            .is_some_and(|replica| replica.state == ReplicaState::Ready),
        _ => false,
    }
}

fn caches(state: &EndpointState, query: &RouteQuery) -> bool {
    query
        .prefix
        .is_some_and(|prefix| state.prefixes.contains(prefix))
}

fn lacks_adapter(state: &EndpointState, target: &RouteTarget) -> bool {
    let RouteTarget::Model {
        adapter: Some(adapter),
        ..
    } = target
    else {
        return false;
    };
    !state
        .report
        .as_ref()
        .is_some_and(|report| report.adapters.contains_key(adapter))
}

/// Returns the candidate with the shortest wait out of two random ones and, if any
/// caches the prefix, a random one of those.
fn pick(candidates: &[RouteCandidate<'_>], seed: u64) -> Option<EndpointId> {
    let caching: Vec<&RouteCandidate<'_>> = candidates
        .iter()
        .filter(|candidate| candidate.is_cached)
        .collect();
    let count = u64::try_from(candidates.len())
        .ok()
        .filter(|&count| count > 0)?;
    let first = seed % count;
    let step = 1 + (seed / count) % count.saturating_sub(1).max(1);
    let second = (first + step) % count;
    let third = (seed >> 32) % u64::try_from(caching.len().max(1)).ok()?;
    let options = [
        candidates.get(index(first)),
        candidates.get(index(second)),
        caching.get(index(third)).copied(),
    ];
    let best = options
        .into_iter()
        .flatten()
        .min_by_key(|candidate| candidate.wait)?;
    Some(best.endpoint.clone())
}

fn index(number: u64) -> usize {
    usize::try_from(number).unwrap_or(0)
}
