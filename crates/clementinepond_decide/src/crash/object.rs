//! The platform object of all verdicts.

use super::identity::RequestFingerprint;
use super::verdict::Verdict;
use clementinepond_types::{TimeSpan, VmId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Verdict on one request, as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictRecord {
    /// Number of the verdict on this request; larger is newer.
    pub round: u32,
    /// Whether an operator released the request.
    pub released: bool,
    /// Endpoint processes that were lost before the verdict.
    pub lost: u32,
    /// Time for which the verdict stood when it was written.
    pub time_left: TimeSpan,
}

/// Content of the verdict object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictObject {
    /// VM that wrote the object.
    pub writer: VmId,
    /// Verdicts by request.
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
