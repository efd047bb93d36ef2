//! Lost endpoint processes and their status.

use super::identity::{EndpointIncarnation, EndpointLoss};
use super::message::LossReport;
use super::settings::{CrashMutation, CrashSettings};
use clementinepond_types::{EndpointId, LocalTime};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Status of an endpoint process whose connection broke.
///
/// Variants are in order of certainty; the statuses of two VMs merge to the larger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum LossStatus {
    /// A connection broke; no report has confirmed or dismissed the loss yet.
    Pending,
    /// The endpoint counted as unreachable, or the loss was pending for `pending_limit`.
    Unreachable,
    /// The same process reported after the break, which dismisses the loss.
    Alive,
    /// The endpoint reported another incarnation.
    Restarted,
}

impl LossStatus {
    /// Returns whether the process counts as crashed.
    #[must_use]
    pub const fn is_confirmed(self) -> bool {
        matches!(self, Self::Unreachable | Self::Restarted)
    }
}

/// Status of one lost process.
#[derive(Debug, Clone)]
pub(crate) struct LossEntry {
    pub(crate) status: LossStatus,
    pub(crate) broken_at: LocalTime,
    /// Whether a blocked request was in flight at the loss, so that the loss does not
    /// count as one of the endpoint's own crashes.
    ///
    /// Other requests that were in flight stay suspects until they complete, since
    /// the blocked request need not be the culprit.
    pub(crate) explained: bool,
}

impl LossEntry {
    fn new(status: LossStatus, now: LocalTime) -> Self {
        Self {
            status,
            broken_at: now,
            explained: false,
        }
    }
}

/// Losses known to this VM.
#[derive(Debug, Clone, Default)]
pub(crate) struct LossTable {
    entries: BTreeMap<EndpointLoss, LossEntry>,
}

impl LossTable {
    /// Merges the status of a loss; returns whether it changed.
    pub(crate) fn merge(
        &mut self,
        loss: &EndpointLoss,
        status: LossStatus,
        now: LocalTime,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(loss) else {
            self.entries
                .insert(loss.clone(), LossEntry::new(status, now));
            return true;
        };
        // A dismissed process may break another connection. If this is a late
        // message about the earlier break, the next report dismisses it again.
        if entry.status == LossStatus::Alive && status == LossStatus::Pending {
            *entry = LossEntry::new(status, now);
            return true;
        }
        let is_new = status > entry.status;
        if is_new {
            entry.status = status;
        }
        is_new
    }

    /// Records a broken connection to a process; returns the status of the loss.
    pub(crate) fn record_break(
        &mut self,
        loss: &EndpointLoss,
        settings: &CrashSettings,
        now: LocalTime,
    ) -> LossStatus {
        let status = if settings.mutation == CrashMutation::TrustBrokenStream {
            LossStatus::Restarted
        } else {
            LossStatus::Pending
        };
        let entry = self
            .entries
            .entry(loss.clone())
            .or_insert_with(|| LossEntry::new(status, now));
        if entry.status == LossStatus::Alive {
            *entry = LossEntry::new(status, now);
        }
        entry.status
    }

    pub(crate) fn get(&self, loss: &EndpointLoss) -> Option<&LossEntry> {
        self.entries.get(loss)
    }

    /// Returns the reports on the given losses to send to another VM, without those that
    /// this VM does not know.
    pub(crate) fn reports(&self, losses: &[EndpointLoss]) -> Vec<LossReport> {
        let known = losses.iter().filter_map(|loss| {
            let entry = self.entries.get(loss)?;
            Some(LossReport {
                loss: loss.clone(),
                status: entry.status,
            })
        });
        known.collect()
    }

    pub(crate) fn mark_explained(&mut self, loss: &EndpointLoss) {
        if let Some(entry) = self.entries.get_mut(loss) {
            entry.explained = true;
        }
    }

    /// Returns the statuses that a report implies for the endpoint's known losses.
    ///
    /// Another incarnation means a restart; the same incarnation dismisses the loss
    /// if the report was requested after the break.
    pub(crate) fn statuses_by_report(
        &self,
        endpoint: &EndpointId,
        incarnation: EndpointIncarnation,
        requested_at: LocalTime,
    ) -> Vec<(EndpointLoss, LossStatus)> {
        self.at_endpoint(endpoint)
            .filter_map(|(loss, entry)| {
                if loss.incarnation != incarnation {
                    return Some((loss.clone(), LossStatus::Restarted));
                }
                (requested_at > entry.broken_at).then(|| (loss.clone(), LossStatus::Alive))
            })
            .collect()
    }

    /// Returns the endpoint's pending losses.
    pub(crate) fn pending_at(&self, endpoint: &EndpointId) -> Vec<EndpointLoss> {
        self.at_endpoint(endpoint)
            .filter(|(_, entry)| entry.status == LossStatus::Pending)
            .map(|(loss, _)| loss.clone())
            .collect()
    }

    /// Returns losses that have been pending for `pending_limit` or longer.
    pub(crate) fn overdue(&self, settings: &CrashSettings, now: LocalTime) -> Vec<EndpointLoss> {
        let is_overdue = |entry: &LossEntry| {
            entry.status == LossStatus::Pending && now >= entry.broken_at + settings.pending_limit
        };
        self.entries
            .iter()
            .filter(|(_, entry)| is_overdue(entry))
            .map(|(loss, _)| loss.clone())
            .collect()
    }

    /// Returns the number of an endpoint's confirmed losses that no blocked request
    /// explains.
    pub(crate) fn unexplained_crashes(&self, endpoint: &EndpointId) -> usize {
        self.at_endpoint(endpoint)
            .filter(|(_, entry)| entry.status.is_confirmed() && !entry.explained)
            .count()
    }

    /// Removes losses older than both `crash_window` and `suspect_lifetime`.
    pub(crate) fn expire(&mut self, settings: &CrashSettings, now: LocalTime) {
        let kept_for = settings.crash_window.max(settings.suspect_lifetime);
        self.entries
            .retain(|_, entry| now < entry.broken_at + kept_for);
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    fn at_endpoint(
        &self,
        endpoint: &EndpointId,
    ) -> impl Iterator<Item = (&EndpointLoss, &LossEntry)> {
        self.entries
            .iter()
            .filter(move |(loss, _)| loss.endpoint == *endpoint)
    }
}
