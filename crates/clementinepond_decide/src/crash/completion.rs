//! Recently completed runs, which clear their request of later losses.
//!
//! Each completed run adds one credit to its request, up to `sound_credits`; each
//! later loss that the request is cleared of consumes one. The number is bounded
//! because a new model version may make a harmless request crash its endpoint.

use super::identity::RequestFingerprint;
use super::settings::CrashSettings;
use clementinepond_types::LocalTime;
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug, Clone)]
struct CompletionEntry {
    completed_at: LocalTime,
    credits: usize,
}

/// Credits of completed runs, by request.
#[derive(Debug, Clone, Default)]
pub(crate) struct CompletionTable {
    entries: BTreeMap<RequestFingerprint, CompletionEntry>,
    order: VecDeque<(LocalTime, RequestFingerprint)>,
}

impl CompletionTable {
    /// Records a completed run.
    pub(crate) fn record(
        &mut self,
        fingerprint: RequestFingerprint,
        settings: &CrashSettings,
        now: LocalTime,
    ) {
        let entry = self.entries.entry(fingerprint).or_insert(CompletionEntry {
            completed_at: now,
            credits: 0,
        });
        entry.completed_at = now;
        entry.credits = settings.sound_credits.min(entry.credits + 1);
        self.order.push_back((now, fingerprint));
        self.trim(settings, now);
    }

    /// Consumes one credit of a request; returns whether it had one that has not
    /// expired.
    pub(crate) fn consume(
        &mut self,
        fingerprint: RequestFingerprint,
        settings: &CrashSettings,
        now: LocalTime,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return false;
        };
        let is_current = now < entry.completed_at + settings.sound_lifetime;
        if !is_current || entry.credits == 0 {
            return false;
        }
        entry.credits -= 1;
        true
    }

    fn trim(&mut self, settings: &CrashSettings, now: LocalTime) {
        while let Some(&(completed_at, fingerprint)) = self.order.front() {
            let is_over = now >= completed_at + settings.sound_lifetime;
            if !is_over && self.order.len() <= settings.sound_limit {
                return;
            }
            self.order.pop_front();
            let latest = self.entries.get(&fingerprint);
            if latest.is_some_and(|entry| entry.completed_at == completed_at) {
                self.entries.remove(&fingerprint);
            }
        }
    }
}
