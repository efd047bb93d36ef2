//! Selection of an endpoint of a service without models by its predicted wait.

use crate::fleet::EndpointEntry;
use crate::health::HealthGrade;
use crate::load::EndpointLoad;
use clementinepond_types::TimeSpan;

/// Score penalty of an endpoint in another data centre, in milliseconds.
const REMOTE_PENALTY_MS: f64 = 3.0;
/// Score penalty of an endpoint that is no longer listed, in milliseconds.
const UNLISTED_PENALTY_MS: f64 = 300.0;
/// Score penalty for each request that an endpoint already runs, in milliseconds;
/// spreads requests over endpoints with free slots.
const RUNNING_REQUEST_PENALTY_MS: f64 = 2.0;

/// An endpoint of a service without models.
#[derive(Debug, Clone)]
pub struct ServiceCandidate<'a> {
    /// Description of the endpoint.
    pub endpoint: &'a EndpointEntry,
    /// Load from the requests of all VMs.
    pub load: EndpointLoad,
    /// Health of the endpoint.
    pub grade: HealthGrade,
    /// Whether the endpoint is in the VM's own data centre.
    pub is_local: bool,
    /// Whether the endpoint is no longer listed in the store.
    pub is_unlisted: bool,
    /// Measured service time of one request, in milliseconds.
    pub service_time_ms: f64,
}

/// Result of the endpoint selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceVerdict {
    /// Send the request to a candidate.
    Send {
        /// Index into the candidates.
        index: usize,
    },
    /// Refuse the request, since the selected endpoint is not predicted to finish it in
    /// time.
    Refuse {
        /// Time after which a retry is expected to finish in time; at least 50 ms.
        retry_after: TimeSpan,
    },
    /// The service has no endpoint.
    NoEndpoint,
}

/// Returns the predicted wait for a slot, in milliseconds.
fn slot_wait_ms(candidate: &ServiceCandidate<'_>) -> f64 {
    let slots = candidate.endpoint.slots.max(1);
    let over_slots = f64::from((candidate.load.runs + 1).saturating_sub(slots));
    over_slots * candidate.service_time_ms / f64::from(slots)
}

/// Selects the endpoint with the lowest score for a request that must end within
/// `time_left`, among those with the best health grade.
#[must_use]
pub fn choose_service_endpoint(
    candidates: &[ServiceCandidate<'_>],
    time_left: TimeSpan,
) -> ServiceVerdict {
    let Some(best_grade) = candidates.iter().map(|candidate| candidate.grade).min() else {
        return ServiceVerdict::NoEndpoint;
    };
    let mut best: Option<(f64, usize)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        if candidate.grade > best_grade {
            continue;
        }
        let mut score =
            slot_wait_ms(candidate) + RUNNING_REQUEST_PENALTY_MS * f64::from(candidate.load.runs);
        if !candidate.is_local {
            score += REMOTE_PENALTY_MS;
        }
        if candidate.is_unlisted {
            score += UNLISTED_PENALTY_MS;
        }
        if best.is_none_or(|(lowest, _)| score < lowest) {
            best = Some((score, index));
        }
    }
    let Some((_, index)) = best else {
        return ServiceVerdict::NoEndpoint;
    };
    let candidate = &candidates[index];
    let needed_ms = slot_wait_ms(candidate) + candidate.service_time_ms;
    let left_ms = time_left.millis() as f64;
    if needed_ms > left_ms {
        let retry_after = TimeSpan::from_millis((needed_ms - left_ms).max(50.0) as u64);
        return ServiceVerdict::Refuse { retry_after };
    }
    ServiceVerdict::Send { index }
}
