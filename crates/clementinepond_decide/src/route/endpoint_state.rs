//! What a VM knows of one endpoint.

use super::{EndpointProfile, PrefixIndex};
use crate::plan::ModelState;
use clementinepond_types::{AdapterId, FencingNumber, LocalTime, MemorySize, ModelId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State of one replica of a model on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaState {
    /// Weights are being read.
    Loading,
    /// Serves requests.
    Ready,
    /// Finishes what runs and takes nothing new.
    Draining,
}

/// One replica in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelReplica {
    /// Version of the weights.
    pub version: Box<str>,
    /// State of the replica.
    pub state: ReplicaState,
    /// Accelerator memory that it takes.
    pub memory_mib: MemorySize,
}

/// Report of an endpoint; it lags behind the truth.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Changes when the endpoint restarts.
    pub incarnation: u64,
    /// Grows with each report of one incarnation.
    pub report_number: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Whether the endpoint is leaving.
    pub draining: bool,
    /// Largest fencing number that it has seen.
    pub fencing_number: FencingNumber,
    /// Replicas by model.
    pub models: BTreeMap<ModelId, ModelReplica>,
    /// Resident adapters and the models that they extend.
    pub adapters: BTreeMap<AdapterId, ModelId>,
}

/// What a VM knows of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointState {
    /// Configured properties.
    pub profile: EndpointProfile,
    /// Last report.
    pub report: Option<EndpointReport>,
    /// Moment at which the last report came.
    pub reported: LocalTime,
    /// Requests sent since the last report and not yet ended.
    pub sent_since_report: u32,
    /// Requests of this VM that run there.
    pub in_flight: u32,
    /// Moment until which no new work goes there.
    pub backoff_deadline: LocalTime,
    /// Prefixes that it is believed to cache.
    pub prefixes: PrefixIndex,
}

impl EndpointState {
    /// Starts without a report.
    #[must_use]
    pub fn new(profile: EndpointProfile) -> Self {
        Self {
            profile,
            report: None,
            reported: LocalTime::ORIGIN,
            sent_since_report: 0,
            in_flight: 0,
            backoff_deadline: LocalTime::ORIGIN,
            prefixes: PrefixIndex::default(),
        }
    }

    /// Returns whether the endpoint is told or seen to be leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        let is_draining = self.report.as_ref().is_some_and(|report| report.draining);
        self.profile.leaving || is_draining
    }

    /// Takes a report unless it is older than the one held.
    pub fn take_report(&mut self, report: EndpointReport, now: LocalTime) -> bool {
        if let Some(held) = &self.report {
            let is_same = held.incarnation == report.incarnation;
            if is_same && report.report_number <= held.report_number {
                return false;
            }
            if !is_same {
                self.prefixes.clear();
            }
        }
        self.report = Some(report);
        self.reported = now;
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
