//! Verdicts: requests that are blocked, and their releases.

use super::identity::RequestFingerprint;
use super::settings::{CrashMutation, CrashSettings};
use clementinepond_types::{LocalTime, TimeSpan};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Verdict on one request, or its release, as VMs exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Sequence number of the verdict on this request; larger is newer.
    pub round: u32,
    /// Whether an operator released the request.
    pub released: bool,
    /// Number of losses counted against the request at the time of the verdict.
    pub lost: u32,
    /// Time until the verdict expires.
    pub time_left: TimeSpan,
}

/// Verdict on one request, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct VerdictView {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Whether an operator released the request.
    pub released: bool,
    /// Number of losses counted against the request at the time of the verdict.
    pub lost: u32,
    /// Time until the verdict expires.
    pub time_left: TimeSpan,
    /// Runs that this VM refused because of the verdict.
    pub refused_calls: u64,
}

#[derive(Debug, Clone)]
pub(crate) struct VerdictEntry {
    round: u32,
    released: bool,
    lost: u32,
    expiry: LocalTime,
    refused_calls: u64,
}

impl VerdictEntry {
    /// Returns the key by which verdicts on one request are ordered; a release is newer
    /// than the verdict of the same round.
    fn order(&self) -> (u32, bool) {
        (self.round, self.released)
    }
}

/// Verdicts and releases known to this VM.
#[derive(Debug, Clone, Default)]
pub(crate) struct VerdictTable {
    entries: BTreeMap<RequestFingerprint, VerdictEntry>,
}

impl VerdictTable {
    /// Counts the refusal of a blocked request and returns the time until its verdict
    /// expires; `None` if the request is not blocked.
    pub(crate) fn refused_for(
        &mut self,
        fingerprint: RequestFingerprint,
        now: LocalTime,
    ) -> Option<TimeSpan> {
        let entry = self.entries.get_mut(&fingerprint)?;
        if entry.released || now >= entry.expiry {
            return None;
        }
        entry.refused_calls += 1;
        Some(now.until(entry.expiry))
    }

    pub(crate) fn is_refused(&self, fingerprint: RequestFingerprint, now: LocalTime) -> bool {
        self.entries
            .get(&fingerprint)
            .is_some_and(|entry| !entry.released && now < entry.expiry)
    }

    /// Returns a verdict that blocks a request and is newer than the known one on it;
    /// the caller merges it.
    pub(crate) fn block(
        &self,
        fingerprint: RequestFingerprint,
        lost: usize,
        settings: &CrashSettings,
    ) -> Verdict {
        let round = self
            .entries
            .get(&fingerprint)
            .map_or(0, |entry| entry.round);
        Verdict {
            fingerprint,
            round: round + 1,
            released: false,
            lost: u32::try_from(lost).unwrap_or(u32::MAX),
            time_left: settings.verdict_lifetime,
        }
    }

    /// Returns the release of the known verdict on a request, if there is one; the
    /// caller merges it.
    pub(crate) fn release(
        &self,
        fingerprint: RequestFingerprint,
        settings: &CrashSettings,
    ) -> Option<Verdict> {
        let entry = self.entries.get(&fingerprint)?;
        Some(Verdict {
            fingerprint,
            round: entry.round,
            released: true,
            lost: entry.lost,
            time_left: settings.verdict_lifetime,
        })
    }

    /// Merges a verdict; returns whether it was newer than the known one.
    pub(crate) fn merge(
        &mut self,
        verdict: &Verdict,
        settings: &CrashSettings,
        now: LocalTime,
    ) -> bool {
        let time_left = verdict.time_left.min(settings.verdict_lifetime);
        let candidate = VerdictEntry {
            round: verdict.round,
            released: verdict.released,
            lost: verdict.lost,
            expiry: now + time_left,
            refused_calls: 0,
        };
        let known = self.entries.get(&verdict.fingerprint);
        let is_older = known.is_some_and(|known| known.order() >= candidate.order());
        if is_older && settings.mutation != CrashMutation::ForgetRelease {
            return false;
        }
        self.entries.insert(verdict.fingerprint, candidate);
        if self.entries.len() > settings.verdict_limit {
            let expiring_first = self.entries.iter().min_by_key(|(_, entry)| entry.expiry);
            if let Some(fingerprint) = expiring_first.map(|(fingerprint, _)| *fingerprint) {
                self.entries.remove(&fingerprint);
            }
        }
        true
    }

    /// Removes expired verdicts; returns whether there were any.
    pub(crate) fn expire(&mut self, settings: &CrashSettings, now: LocalTime) -> bool {
        if settings.mutation == CrashMutation::KeepVerdict {
            for entry in self.entries.values_mut() {
                entry.expiry = LocalTime::NEVER;
            }
        }
        let before = self.entries.len();
        self.entries.retain(|_, entry| now < entry.expiry);
        before != self.entries.len()
    }

    pub(crate) fn views(&self, now: LocalTime) -> Vec<VerdictView> {
        self.entries
            .iter()
            .map(|(fingerprint, entry)| VerdictView {
                fingerprint: *fingerprint,
                released: entry.released,
                lost: entry.lost,
                time_left: now.until(entry.expiry),
                refused_calls: entry.refused_calls,
            })
            .collect()
    }

    pub(crate) fn all(&self, now: LocalTime) -> Vec<Verdict> {
        self.entries
            .iter()
            .map(|(fingerprint, entry)| Verdict {
                fingerprint: *fingerprint,
                round: entry.round,
                released: entry.released,
                lost: entry.lost,
                time_left: now.until(entry.expiry),
            })
            .collect()
    }
}
