//! Requests that completed lately.
//!
//! A completed run clears a request of one later loss, and a few runs of a few.
//! They do not clear it of more, since a new model version may make a sound
//! request crash.

use super::identity::RequestFingerprint;
use super::settings::CrashSettings;
use clementinepond_types::LocalTime;
use std::collections::{BTreeMap, VecDeque};

#[derive(Debug, Clone)]
struct SoundnessEntry {
    completed_at: LocalTime,
    credits: usize,
}

/// Completed runs that no loss has used up.
#[derive(Debug, Clone, Default)]
pub(crate) struct SoundnessTable {
    entries: BTreeMap<RequestFingerprint, SoundnessEntry>,
    order: VecDeque<(LocalTime, RequestFingerprint)>,
}

impl SoundnessTable {
    /// Notes a completed run.
    pub(crate) fn note(
        &mut self,
        fingerprint: RequestFingerprint,
        settings: &CrashSettings,
        now: LocalTime,
    ) {
        let entry = self.entries.entry(fingerprint).or_insert(SoundnessEntry {
            completed_at: now,
            credits: 0,
        });
        entry.completed_at = now;
        entry.credits = settings.sound_credits.min(entry.credits + 1);
        self.order.push_back((now, fingerprint));
        self.trim(settings, now);
    }

    /// Uses a completed run up; returns whether there was one.
    pub(crate) fn use_up(
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
        while let Some(&(noted, fingerprint)) = self.order.front() {
            let is_over = now >= noted + settings.sound_lifetime;
            if !is_over && self.order.len() <= settings.sound_limit {
                return;
            }
            self.order.pop_front();
            let latest = self.entries.get(&fingerprint);
            if latest.is_some_and(|entry| entry.completed_at == noted) {
                self.entries.remove(&fingerprint);
            }
        }
    }
}
