//! Lost endpoint processes and what became of them.

use super::identity::{EndpointIncarnation, EndpointLoss};
use super::message::LossReport;
use super::settings::{CrashMutation, CrashSettings};
use clementinepond_types::{EndpointId, LocalTime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What is known of a process whose connections broke.
///
/// Larger is more certain; knowledge of two VMs merges to the larger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LossFate {
    /// Connections broke.
    Pending,
    /// It stayed unreachable.
    Unreachable,
    /// It reported again.
    Alive,
    /// Another process reported in its place.
    Restarted,
}

impl LossFate {
    /// Returns whether the process counts as crashed.
    #[must_use]
    pub const fn is_confirmed(self) -> bool {
        matches!(self, Self::Unreachable | Self::Restarted)
    }
}

/// One lost process.
#[derive(Debug, Clone)]
pub(crate) struct LossEntry {
    pub(crate) fate: LossFate,
    pub(crate) broken_at: LocalTime,
    /// Whether a refused request explains the loss, for the endpoint's record.
    ///
    /// The other requests that were there stay suspects until they complete,
    /// since the refused one need not be the culprit.
    pub(crate) explained: bool,
}

impl LossEntry {
    fn new(fate: LossFate, now: LocalTime) -> Self {
        Self {
            fate,
            broken_at: now,
            explained: false,
        }
    }
}

/// Losses that this VM knows of.
#[derive(Debug, Clone, Default)]
pub(crate) struct LossTable {
    entries: BTreeMap<EndpointLoss, LossEntry>,
}

impl LossTable {
    /// Merges knowledge of a loss; returns whether it was news.
    pub(crate) fn merge(&mut self, loss: &EndpointLoss, fate: LossFate, now: LocalTime) -> bool {
        let Some(entry) = self.entries.get_mut(loss) else {
            self.entries.insert(loss.clone(), LossEntry::new(fate, now));
            return true;
        };
        // A process that answered can break anew. If this is old news of its
        // first break, the next report dismisses it again.
        if entry.fate == LossFate::Alive && fate == LossFate::Pending {
            *entry = LossEntry::new(fate, now);
            return true;
        }
        let is_news = fate > entry.fate;
        if is_news {
            entry.fate = fate;
        }
        is_news
    }

    /// Notes that a connection to a process broke.
    pub(crate) fn broke(
        &mut self,
        loss: &EndpointLoss,
        settings: &CrashSettings,
        now: LocalTime,
    ) -> LossFate {
        let fate = if settings.mutation == CrashMutation::TrustBrokenStream {
            LossFate::Restarted
        } else {
            LossFate::Pending
        };
        let entry = self
            .entries
            .entry(loss.clone())
            .or_insert_with(|| LossEntry::new(fate, now));
        if entry.fate == LossFate::Alive {
            *entry = LossEntry::new(fate, now);
        }
        entry.fate
    }

    pub(crate) fn get(&self, loss: &EndpointLoss) -> Option<&LossEntry> {
        self.entries.get(loss)
    }

    /// Returns what is known of losses, for another VM.
    pub(crate) fn reports(&self, losses: &[EndpointLoss]) -> Vec<LossReport> {
        let known = losses.iter().filter_map(|loss| {
            let entry = self.entries.get(loss)?;
            Some(LossReport {
                loss: loss.clone(),
                fate: entry.fate,
            })
        });
        known.collect()
    }

    pub(crate) fn explain(&mut self, loss: &EndpointLoss) {
        if let Some(entry) = self.entries.get_mut(loss) {
            entry.explained = true;
        }
    }

    /// Returns what a report tells about the endpoint's unconfirmed losses.
    pub(crate) fn judged_by_report(
        &self,
        endpoint: &EndpointId,
        incarnation: EndpointIncarnation,
        asked_at: LocalTime,
    ) -> Vec<(EndpointLoss, LossFate)> {
        self.of(endpoint)
            .filter_map(|(loss, entry)| {
                if loss.incarnation != incarnation {
                    return Some((loss.clone(), LossFate::Restarted));
                }
                (asked_at > entry.broken_at).then(|| (loss.clone(), LossFate::Alive))
            })
            .collect()
    }

    /// Returns the endpoint's losses that still lack a confirmation.
    pub(crate) fn pending_at(&self, endpoint: &EndpointId) -> Vec<EndpointLoss> {
        self.of(endpoint)
            .filter(|(_, entry)| entry.fate == LossFate::Pending)
            .map(|(loss, _)| loss.clone())
            .collect()
    }

    /// Returns losses that were pending for too long.
    pub(crate) fn overdue(&self, settings: &CrashSettings, now: LocalTime) -> Vec<EndpointLoss> {
        let is_overdue = |entry: &LossEntry| {
            entry.fate == LossFate::Pending && now >= entry.broken_at + settings.pending_limit
        };
        self.entries
            .iter()
            .filter(|(_, entry)| is_overdue(entry))
            .map(|(loss, _)| loss.clone())
            .collect()
    }

    /// Counts an endpoint's confirmed crashes that no refused request explains.
    pub(crate) fn own_crashes(&self, endpoint: &EndpointId) -> usize {
        self.of(endpoint)
            .filter(|(_, entry)| entry.fate.is_confirmed() && !entry.explained)
            .count()
    }

    /// Forgets losses beyond the window.
    pub(crate) fn expire(&mut self, settings: &CrashSettings, now: LocalTime) {
        let kept_for = settings.crash_window.max(settings.suspect_lifetime);
        self.entries
            .retain(|_, entry| now < entry.broken_at + kept_for);
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    fn of(&self, endpoint: &EndpointId) -> impl Iterator<Item = (&EndpointLoss, &LossEntry)> {
        self.entries
            .iter()
            .filter(move |(loss, _)| loss.endpoint == *endpoint)
    }
}
