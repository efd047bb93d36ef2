//! Platform object that stores the verdicts and releases of the fleet.

use super::identity::RequestFingerprint;
use super::verdict::Verdict;
use clementinepond_types::{TimeSpan, VmId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Stored verdict on one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictRecord {
    /// Sequence number of the verdict on this request; larger is newer.
    pub round: u32,
    /// Whether an operator released the request.
    pub released: bool,
    /// Number of losses counted against the request at the time of the verdict.
    pub lost: u32,
    /// Time from the write of the object until the verdict expires.
    pub time_left: TimeSpan,
}

/// Content of the verdict object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictObject {
    /// VM that wrote the object.
    pub writer: VmId,
    /// Verdicts by request fingerprint.
    pub verdicts: BTreeMap<RequestFingerprint, VerdictRecord>,
}

impl VerdictObject {
    pub(crate) fn new(writer: VmId, verdicts: Vec<Verdict>) -> Self {
        let verdicts = verdicts.into_iter().map(|verdict| {
            let record = VerdictRecord {
                round: verdict.round,
                released: verdict.released,
                lost: verdict.lost,
                time_left: verdict.time_left,
            };
            (verdict.fingerprint, record)
        });
        Self {
            writer,
            verdicts: verdicts.collect(),
        }
    }

    pub(crate) fn list(&self) -> Vec<Verdict> {
        self.verdicts
            .iter()
            .map(|(fingerprint, record)| Verdict {
                fingerprint: *fingerprint,
                round: record.round,
                released: record.released,
                lost: record.lost,
                time_left: record.time_left,
            })
            .collect()
    }
}
