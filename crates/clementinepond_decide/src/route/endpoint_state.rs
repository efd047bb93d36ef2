//! Routing state of one endpoint.

use super::{EndpointProfile, PrefixIndex};
use crate::plan::ModelState;
use clementinepond_types::{AdapterId, FencingNumber, LocalTime, MemorySize, ModelId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State of one replica of a model on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// Loads its weights.
    Loading,
    /// Serves requests.
    Ready,
    /// Finishes its running requests and accepts no new ones.
    Draining,
}

/// Replica of a model in an endpoint report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelReplica {
    /// Version of the model weights.
    pub version: Box<str>,
    /// Life-cycle state of the replica.
    pub state: ReplicaState,
    /// Accelerator memory that the replica occupies, in MiB.
    pub memory_mib: MemorySize,
}

/// Report of an endpoint; may be out of date when it arrives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Number that changes when the endpoint process restarts.
    pub incarnation: u64,
    /// Sequence number that increases with each report of one incarnation.
    pub report_number: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Whether the endpoint accepts no new requests because it is leaving.
    pub draining: bool,
    /// Largest fencing number that the endpoint has received.
    pub fencing_number: FencingNumber,
    /// Replicas on the endpoint, by model.
    pub models: BTreeMap<ModelId, ModelReplica>,
    /// Resident adapters, each with the model that it extends.
    pub adapters: BTreeMap<AdapterId, ModelId>,
}

/// Routing state of one endpoint, as one VM sees it.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// Configured properties of the endpoint.
    pub profile: EndpointProfile,
    /// Latest report; `None` before the first one.
    pub report: Option<EndpointReport>,
    /// Time at which the latest report arrived; the origin before the first one.
    pub reported_at: LocalTime,
    /// Requests sent since the latest report, minus all that ended since; at least 0.
    pub sent_since_report: u32,
    /// Requests of this VM that are in flight at the endpoint.
    pub in_flight: u32,
    /// End of the back-off after a failed attempt.
    pub backoff_deadline: LocalTime,
    /// Prompt prefixes that the endpoint probably caches.
    pub prefixes: PrefixIndex,
}

impl EndpointState {
    /// Creates the state of an endpoint that has not reported.
    #[must_use]
    pub fn new(profile: EndpointProfile) -> Self {
        Self {
            profile,
            report: None,
            reported_at: LocalTime::ORIGIN,
            sent_since_report: 0,
            in_flight: 0,
            backoff_deadline: LocalTime::ORIGIN,
            prefixes: PrefixIndex::default(),
        }
    }

    /// Returns whether the endpoint is leaving by configuration or by its report.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let is_draining = self.report.as_ref().is_some_and(|report| report.draining);
        self.profile.leaving || is_draining
    }

    /// Stores a report and returns true, unless the report is not newer than the
    /// latest one of the same incarnation.
    ///
    /// A new incarnation starts with an empty prefix cache.
    pub fn apply_report(&mut self, report: EndpointReport, now: LocalTime) -> bool {
        if let Some(latest) = &self.report {
            let is_same = latest.incarnation == report.incarnation;
            if is_same && report.report_number <= latest.report_number {
                return false;
            }
            if !is_same {
                self.prefixes.clear();
            }
        }
        self.report = Some(report);
        self.reported_at = now;
        self.sent_since_report = 0;
        true
    }
}

impl From<ModelState> for ReplicaState {
    fn from(state: ModelState) -> Self {
        match state {
            ModelState::Loading => Self::Loading,
            ModelState::Ready => Self::Ready,
            ModelState::Draining => Self::Draining,
        }
    }
}
