//! Requests that completed lately.
//!
//! A completed run clears a request of one later loss. It does not clear it
//! of more, since a new model version may make a sound request crash.

use super::identity::RequestFingerprint;
use super::settings::CrashSettings;
use clementinepond_types::LocalTime;
use std::collections::{BTreeMap, VecDeque};

/// Completed runs that no loss has used up.
#[derive(Debug, Clone, Default)]
pub(crate) struct SoundnessTable {
    entries: BTreeMap<RequestFingerprint, LocalTime>,
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
        self.entries.insert(fingerprint, now);
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
        let noted = self.entries.remove(&fingerprint);
        noted.is_some_and(|noted| now < noted + settings.sound_lifetime)
    }

    fn trim(&mut self, settings: &CrashSettings, now: LocalTime) {
        while let Some(&(noted, fingerprint)) = self.order.front() {
            let is_over = now >= noted + settings.sound_lifetime;
            if !is_over && self.order.len() <= settings.sound_limit {
                return;
            }
            self.order.pop_front();
            if self.entries.get(&fingerprint) == Some(&noted) {
                self.entries.remove(&fingerprint);
            }
        }
    }
}
