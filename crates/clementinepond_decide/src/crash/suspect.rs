//! Requests that were in flight at lost endpoints.

use super::identity::{EndpointLoss, RequestFingerprint};
use super::loss::{LossStatus, LossTable};
use super::message::SuspectReport;
use super::settings::CrashSettings;
use clementinepond_types::{LocalTime, TimeSpan};
use std::collections::BTreeMap;

/// Loss that counts against a request.
#[derive(Debug, Clone)]
pub(crate) struct SuspectLoss {
    /// Weight of the loss, in thousandths of a bit.
    pub(crate) evidence: u64,
    /// Shortest reported time for which the request had run at the loss.
    pub(crate) run_time: TimeSpan,
    /// Whether the request was cleared of the loss.
    pub(crate) cleared: bool,
}

/// Losses of one request.
#[derive(Debug, Clone)]
pub(crate) struct SuspectEntry {
    pub(crate) losses: BTreeMap<EndpointLoss, SuspectLoss>,
    pub(crate) expiry: LocalTime,
    /// Time at which this VM learned of the first loss.
    first_loss_at: LocalTime,
}

/// Status of a request, derived from its uncleared losses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SuspectStatus {
    /// No loss counts against the request.
    Cleared,
    /// The request needs a permit to run.
    Suspect,
    /// Confirmed and pending losses together reach `loss_limit`; the request must not
    /// run until the pending ones are confirmed or dismissed.
    Undecided,
    /// The request is to be blocked.
    Poison,
}

/// Requests with losses, by fingerprint.
#[derive(Debug, Clone, Default)]
pub(crate) struct SuspectTable {
    entries: BTreeMap<RequestFingerprint, SuspectEntry>,
}

impl SuspectTable {
    /// Counts a loss against a request; returns whether the loss is new or has more
    /// evidence than before.
    pub(crate) fn record_loss(
        &mut self,
        fingerprint: RequestFingerprint,
        loss: &EndpointLoss,
        evidence: u64,
        run_time: TimeSpan,
        settings: &CrashSettings,
        now: LocalTime,
    ) -> bool {
        let expiry = now + settings.suspect_lifetime;
        let entry = self.entries.entry(fingerprint).or_insert(SuspectEntry {
            losses: BTreeMap::new(),
            expiry,
            first_loss_at: now,
        });
        let mut is_new = false;
        let record = entry.losses.entry(loss.clone()).or_insert_with(|| {
            is_new = true;
            SuspectLoss {
                evidence,
                run_time,
                cleared: false,
            }
        });
        record.run_time = record.run_time.min(run_time);
        if evidence > record.evidence {
            record.evidence = evidence;
            is_new = true;
        }
        if is_new {
            entry.expiry = expiry;
        }
        self.trim(settings, fingerprint);
        is_new
    }

    /// Evicts the entry that expires first, other than the newest, when there are more
    /// than `suspect_limit`.
    fn trim(&mut self, settings: &CrashSettings, newest: RequestFingerprint) {
        if self.entries.len() <= settings.suspect_limit {
            return;
        }
        let first = self
            .entries
            .iter()
            .filter(|(fingerprint, _)| **fingerprint != newest)
            .min_by_key(|(_, entry)| entry.expiry)
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(first) = first {
            self.entries.remove(&first);
        }
    }

    /// Clears a request of the given losses; returns whether any was uncleared.
    pub(crate) fn clear(
        &mut self,
        fingerprint: RequestFingerprint,
        losses: &[EndpointLoss],
        settings: &CrashSettings,
        now: LocalTime,
    ) -> bool {
        let expiry = now + settings.suspect_lifetime;
        let entry = self.entries.entry(fingerprint).or_insert(SuspectEntry {
            losses: BTreeMap::new(),
            expiry,
            first_loss_at: now,
        });
        let mut is_new = false;
        for loss in losses {
            let record = entry.losses.entry(loss.clone()).or_insert(SuspectLoss {
                evidence: 0,
                run_time: TimeSpan::ZERO,
                cleared: false,
            });
            is_new |= !record.cleared;
            record.cleared = true;
        }
        self.trim(settings, fingerprint);
        is_new
    }

    /// Returns the losses that count against a request.
    pub(crate) fn uncleared_losses(&self, fingerprint: RequestFingerprint) -> Vec<EndpointLoss> {
        self.entries
            .get(&fingerprint)
            .map_or_else(Vec::new, |entry| {
                let uncleared = entry.losses.iter().filter(|(_, record)| !record.cleared);
                uncleared.map(|(loss, _)| loss.clone()).collect()
            })
    }

    /// Removes a dismissed loss from all requests.
    pub(crate) fn remove_loss(&mut self, loss: &EndpointLoss) {
        for entry in self.entries.values_mut() {
            entry.losses.remove(loss);
        }
        self.entries.retain(|_, entry| !entry.losses.is_empty());
    }

    pub(crate) fn remove(&mut self, fingerprint: RequestFingerprint) {
        self.entries.remove(&fingerprint);
    }

    /// Returns the requests that a loss counts against.
    pub(crate) fn suspects_of(&self, loss: &EndpointLoss) -> Vec<RequestFingerprint> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.losses.get(loss).is_some_and(|record| !record.cleared))
            .map(|(fingerprint, _)| *fingerprint)
            .collect()
    }

    pub(crate) fn expire(&mut self, now: LocalTime) {
        self.entries.retain(|_, entry| now < entry.expiry);
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether `report_wait` has passed since the first loss, so that other VMs
    /// have reported their runs of the request.
    pub(crate) fn is_report_wait_over(
        &self,
        fingerprint: RequestFingerprint,
        settings: &CrashSettings,
        now: LocalTime,
    ) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_none_or(|entry| now >= entry.first_loss_at + settings.report_wait)
    }

    /// Returns whether a request is a likely culprit: it had run for less than
    /// `fresh_limit` at a loss that no blocked request explains.
    pub(crate) fn is_likely_culprit(
        &self,
        fingerprint: RequestFingerprint,
        losses: &LossTable,
        settings: &CrashSettings,
    ) -> bool {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return false;
        };
        entry.losses.iter().any(|(loss, record)| {
            let known = losses.get(loss);
            let is_open =
                known.is_some_and(|known| known.status != LossStatus::Alive && !known.explained);
            is_open && !record.cleared && record.run_time < settings.fresh_limit
        })
    }

    /// Returns the reports on the losses of a request to send to another VM, cleared
    /// losses included.
    pub(crate) fn reports(&self, fingerprint: RequestFingerprint) -> Vec<SuspectReport> {
        self.entries
            .get(&fingerprint)
            .map_or_else(Vec::new, |entry| {
                let losses = entry.losses.iter();
                losses
                    .map(|(loss, record)| SuspectReport {
                        fingerprint,
                        loss: loss.clone(),
                        evidence: record.evidence,
                        run_time: record.run_time,
                        cleared: record.cleared,
                    })
                    .collect()
            })
    }

    /// Returns the status of a request.
    pub(crate) fn suspect_status(
        &self,
        fingerprint: RequestFingerprint,
        losses: &LossTable,
        settings: &CrashSettings,
    ) -> SuspectStatus {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return SuspectStatus::Cleared;
        };
        let tally = tally(entry, losses);
        let confirmed = tally.confirmed >= settings.loss_limit;
        if confirmed && tally.evidence >= settings.evidence_threshold {
            return SuspectStatus::Poison;
        }
        let possible = tally.confirmed + tally.pending;
        if tally.pending > 0 && possible >= settings.loss_limit {
            return SuspectStatus::Undecided;
        }
        if possible > 0 {
            return SuspectStatus::Suspect;
        }
        SuspectStatus::Cleared
    }
}

/// Number and evidence of the losses that count against a request.
struct LossTally {
    confirmed: usize,
    pending: usize,
    evidence: u64,
}

fn tally(entry: &SuspectEntry, losses: &LossTable) -> LossTally {
    let mut tally = LossTally {
        confirmed: 0,
        pending: 0,
        evidence: 0,
    };
    for (loss, record) in entry.losses.iter().filter(|(_, record)| !record.cleared) {
        let Some(known) = losses.get(loss) else {
            continue;
        };
        if known.status == LossStatus::Alive {
            continue;
        }
        if known.status.is_confirmed() {
            tally.confirmed += 1;
            tally.evidence += record.evidence;
        } else {
            tally.pending += 1;
        }
    }
    tally
}
