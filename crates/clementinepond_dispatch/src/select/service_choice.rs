//! Choice of an endpoint of a plain service by its queue.

use crate::fleet::EndpointEntry;
use crate::health::HealthGrade;
use crate::load::EndpointLoad;
use clementinepond_types::TimeSpan;

/// Handicap of an endpoint in another data centre, in milliseconds.
const REMOTE_PENALTY_MS: f64 = 3.0;
/// Handicap of an endpoint that has left the list, in milliseconds.
const UNLISTED_PENALTY_MS: f64 = 300.0;
/// Cost of each request that already runs there, in milliseconds; spreads
/// requests over idle endpoints.
const RUNNING_REQUEST_PENALTY_MS: f64 = 2.0;

/// One endpoint of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCandidate<'a> {
    /// Description.
    pub endpoint: &'a EndpointEntry,
    /// Load that all VMs put on it.
    pub load: EndpointLoad,
    /// How far it is trusted.
    pub grade: HealthGrade,
    /// Whether it is in the VM's data centre.
    pub is_local: bool,
    /// Whether it has left the list.
    pub is_unlisted: bool,
    /// Measured time of one request, in milliseconds.
    pub service_time_ms: f64,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceVerdict {
    /// Send it to this candidate.
    Send {
        /// Index of the candidate.
        index: usize,
    },
    /// Refuse it; no endpoint comes free in time.
    Refuse {
        /// Time after which the queue is short enough.
        retry_after: TimeSpan,
    },
    /// The service has no endpoint.
    NoEndpoint,
}

fn wait_ms(candidate: &ServiceCandidate<'_>) -> f64 {
    let slots = candidate.endpoint.slots.max(1);
    let over = f64::from((candidate.load.runs + 1).saturating_sub(slots));
    over * candidate.service_time_ms / f64::from(slots)
}

/// Chooses an endpoint for a request whose caller waits `time_left`.
#[must_use]
pub fn choose_service_endpoint(
    candidates: &[ServiceCandidate<'_>],
    time_left: TimeSpan,
) -> ServiceVerdict {
    let Some(best_grade) = candidates.iter().map(|one| one.grade).min() else {
        return ServiceVerdict::NoEndpoint;
    };
    let mut best: Option<(f64, usize)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        if candidate.grade > best_grade {
            continue;
        }
        let mut score =
            wait_ms(candidate) + RUNNING_REQUEST_PENALTY_MS * f64::from(candidate.load.runs);
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
    let needed = wait_ms(candidate) + candidate.service_time_ms;
    let left = time_left.millis() as f64;
    if needed > left {
        let retry_after = TimeSpan::from_millis((needed - left).max(50.0) as u64);
        return ServiceVerdict::Refuse { retry_after };
    }
    ServiceVerdict::Send { index }
}
