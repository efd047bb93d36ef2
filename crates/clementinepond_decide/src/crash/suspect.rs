//! Requests that were in flight at lost endpoints.

use super::identity::{EndpointLoss, RequestFingerprint};
use super::loss::{LossFate, LossTable};
use super::message::SuspectReport;
use super::settings::CrashSettings;
use clementinepond_types::{LocalTime, TimeSpan};
use std::collections::BTreeMap;

/// One loss held against one request.
#[derive(Debug, Clone)]
pub(crate) struct SuspectLoss {
    pub(crate) evidence: u64,
    /// Shortest time for which a run had lasted.
    pub(crate) run_time: TimeSpan,
    /// Whether the request completed a run afterwards.
    pub(crate) cleared: bool,
}

/// One request that was in flight at lost endpoints.
#[derive(Debug, Clone)]
pub(crate) struct SuspectEntry {
    pub(crate) losses: BTreeMap<EndpointLoss, SuspectLoss>,
    pub(crate) expiry: LocalTime,
    /// Moment of the first loss that this VM learned of.
    since: LocalTime,
}

/// Standing of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Nothing is held against it.
    Sound,
    /// It runs apart from other suspects.
    Suspect,
    /// A pending loss decides about it.
    Undecided,
    /// It is to be refused.
    Poison,
}

/// Requests that this VM holds suspect.
#[derive(Debug, Clone, Default)]
pub(crate) struct SuspectTable {
    entries: BTreeMap<RequestFingerprint, SuspectEntry>,
}

impl SuspectTable {
    /// Holds a loss against a request; returns whether that is news.
    pub(crate) fn accuse(
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
            since: now,
        });
        let mut is_news = false;
        let held = entry.losses.entry(loss.clone()).or_insert_with(|| {
            is_news = true;
            SuspectLoss {
                evidence,
                run_time,
                cleared: false,
            }
        });
        held.run_time = held.run_time.min(run_time);
        if evidence > held.evidence {
            held.evidence = evidence;
            is_news = true;
        }
        if is_news {
            entry.expiry = expiry;
        }
        self.trim(settings, fingerprint);
        is_news
    }

    /// Drops the entry that expires first when there are too many.
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

    /// Clears a request of given losses; returns whether that is news.
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
            since: now,
        });
        let mut is_news = false;
        for loss in losses {
            let held = entry.losses.entry(loss.clone()).or_insert(SuspectLoss {
                evidence: 0,
                run_time: TimeSpan::ZERO,
                cleared: false,
            });
            is_news |= !held.cleared;
            held.cleared = true;
        }
        self.trim(settings, fingerprint);
        is_news
    }

    /// Returns the losses that are held against a request.
    pub(crate) fn open_losses(&self, fingerprint: RequestFingerprint) -> Vec<EndpointLoss> {
        self.entries
            .get(&fingerprint)
            .map_or_else(Vec::new, |entry| {
                let open = entry.losses.iter().filter(|(_, held)| !held.cleared);
                open.map(|(loss, _)| loss.clone()).collect()
            })
    }

    /// Forgets a loss that did not take place.
    pub(crate) fn forget_loss(&mut self, loss: &EndpointLoss) {
        for entry in self.entries.values_mut() {
            entry.losses.remove(loss);
        }
        self.entries.retain(|_, entry| !entry.losses.is_empty());
    }

    pub(crate) fn remove(&mut self, fingerprint: RequestFingerprint) {
        self.entries.remove(&fingerprint);
    }

    /// Returns the requests that a loss is held against.
    pub(crate) fn accused_of(&self, loss: &EndpointLoss) -> Vec<RequestFingerprint> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.losses.get(loss).is_some_and(|held| !held.cleared))
            .map(|(fingerprint, _)| *fingerprint)
            .collect()
    }

    pub(crate) fn expire(&mut self, now: LocalTime) {
        self.entries.retain(|_, entry| now < entry.expiry);
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether other VMs had time to report runs of a request.
    pub(crate) fn is_settled(
        &self,
        fingerprint: RequestFingerprint,
        settings: &CrashSettings,
        now: LocalTime,
    ) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_none_or(|entry| now >= entry.since + settings.report_wait)
    }

    /// Returns whether a request is a likely culprit.
    ///
    /// It is if it had run for a short time at a loss that no refused request
    /// explains.
    pub(crate) fn is_likely(
        &self,
        fingerprint: RequestFingerprint,
        losses: &LossTable,
        settings: &CrashSettings,
    ) -> bool {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return false;
        };
        entry.losses.iter().any(|(loss, held)| {
            let known = losses.get(loss);
            let is_open =
                known.is_some_and(|known| known.fate != LossFate::Alive && !known.explained);
            is_open && !held.cleared && held.run_time < settings.fresh_limit
        })
    }

    /// Returns what is held against a request, for another VM.
    pub(crate) fn reports(&self, fingerprint: RequestFingerprint) -> Vec<SuspectReport> {
        self.entries
            .get(&fingerprint)
            .map_or_else(Vec::new, |entry| {
                let losses = entry.losses.iter();
                losses
                    .map(|(loss, held)| SuspectReport {
                        fingerprint,
                        loss: loss.clone(),
                        evidence: held.evidence,
                        run_time: held.run_time,
                        cleared: held.cleared,
                    })
                    .collect()
            })
    }

    /// Judges a request by the losses that are held against it.
    pub(crate) fn standing(
        &self,
        fingerprint: RequestFingerprint,
        losses: &LossTable,
        settings: &CrashSettings,
    ) -> Standing {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return Standing::Sound;
        };
        let tally = tally(entry, losses);
        let confirmed = tally.confirmed >= settings.loss_limit;
        if confirmed && tally.evidence >= settings.evidence_threshold {
            return Standing::Poison;
        }
        let possible = tally.confirmed + tally.pending;
        if tally.pending > 0 && possible >= settings.loss_limit {
            return Standing::Undecided;
        }
        if possible > 0 {
            return Standing::Suspect;
        }
        Standing::Sound
    }
}

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
    for (loss, held) in entry.losses.iter().filter(|(_, held)| !held.cleared) {
        let Some(known) = losses.get(loss) else {
            continue;
        };
        if known.fate == LossFate::Alive {
            continue;
        }
        if known.fate.is_confirmed() {
            tally.confirmed += 1;
            tally.evidence += held.evidence;
        } else {
            tally.pending += 1;
        }
    }
    tally
}
