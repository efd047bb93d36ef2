//! Platform calls: the relay's watches, and the read after a start.

use super::content::{adopt, push_to_members};
use super::withdrawal::adopt_record;
use super::{ConfigurationEffect, ConfigurationState, WithdrawalRecord};
use crate::port::{ReadReply, VersionedObject};
use crate::roster::WatchAnswer;
use clementinepond_types::{LocalTime, ObjectVersion, TimeSpan};

/// Time after which an unanswered list or watch counts as lost.
const WATCH_TIMEOUT: TimeSpan = TimeSpan::from_secs(90);

/// State of one kind of platform call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlatformCall {
    /// No call is outstanding.
    Idle {
        /// When the next call may be sent.
        retry_at: LocalTime,
    },
    /// A call is outstanding.
    Waiting {
        /// When the call counts as lost.
        expires_at: LocalTime,
    },
}

impl PlatformCall {
    /// Returns whether the next call may be sent, also because the last one counts as
    /// lost.
    pub(super) fn is_due(self, now: LocalTime) -> bool {
        let (Self::Idle { retry_at: due } | Self::Waiting { expires_at: due }) = self;
        now >= due
    }
}

/// Sends the calls that are due.
pub(super) fn drive_calls(
    state: &mut ConfigurationState,
    now: LocalTime,
    effects: &mut Vec<ConfigurationEffect>,
) {
    if state.booting && !state.read_missing && state.read.is_due(now) {
        state.read = PlatformCall::Waiting {
            expires_at: now + state.settings.answer_limit,
        };
        effects.push(ConfigurationEffect::ReadContent);
    }
    if !state.relay {
        return;
    }
    let expires_at = now + WATCH_TIMEOUT;
    if state.content_watch.is_due(now) {
        state.content_watch = PlatformCall::Waiting { expires_at };
        effects.push(watch_content(state));
    }
    if state.record_watch.is_due(now) {
        state.record_watch = PlatformCall::Waiting { expires_at };
        effects.push(watch_record(state));
    }
}

fn watch_content(state: &ConfigurationState) -> ConfigurationEffect {
    if state.content_too_old {
        return ConfigurationEffect::ListContent;
    }
    ConfigurationEffect::WatchContent {
        from: state.content_from,
    }
}

fn watch_record(state: &ConfigurationState) -> ConfigurationEffect {
    if state.record_too_old {
        return ConfigurationEffect::ListRecords;
    }
    ConfigurationEffect::WatchRecord {
        from: state.record_from,
    }
}

/// Processes the answer to the read of the configuration after a start.
pub(super) fn content_read(
    state: &mut ConfigurationState,
    reply: ReadReply<Box<str>>,
    now: LocalTime,
    effects: &mut Vec<ConfigurationEffect>,
) {
    let retry_at = match reply {
        ReadReply::Found(object) => {
            state.record_contact(now);
            // The platform holds the newest version, so the first `Apply` need not wait.
            state.boot_until = state.boot_until.min(now);
            adopt_from_platform(state, object, now, effects);
            now
        }
        ReadReply::Missing => {
            state.record_contact(now);
            // The first version will arrive through the relay's watch.
            state.read_missing = true;
            now
        }
        ReadReply::Unavailable if now < state.boot_until => now + state.settings.retry_period,
        ReadReply::Unavailable => now + state.settings.answer_limit,
    };
    state.read = PlatformCall::Idle { retry_at };
}

/// Adopts a version from the platform; a relay sends it to its data centre.
fn adopt_from_platform(
    state: &mut ConfigurationState,
    object: VersionedObject<Box<str>>,
    now: LocalTime,
    effects: &mut Vec<ConfigurationEffect>,
) {
    let version = object.version;
    let is_adopted = adopt(state, object);
    if is_adopted && state.relay {
        push_to_members(state, effects);
    }
    if version == state.newest_version() {
        state.confirmed_at = Some(now);
    }
}

/// Processes the answer to a list or watch of the configuration.
pub(super) fn content_watched(
    state: &mut ConfigurationState,
    answer: WatchAnswer<Box<str>>,
    now: LocalTime,
    effects: &mut Vec<ConfigurationEffect>,
) {
    let retry_at = match answer {
        WatchAnswer::Changes { version, changes } => {
            state.record_contact(now);
            let last = changes.into_iter().rev().find_map(|change| change.object);
            if let Some(object) = last {
                adopt_from_platform(state, object, now, effects);
            }
            confirm_watched_version(state, version, now);
            now
        }
        WatchAnswer::TooOld => {
            state.content_too_old = true;
            now
        }
        WatchAnswer::Unavailable => now + state.settings.retry_period,
    };
    state.content_watch = PlatformCall::Idle { retry_at };
}

/// Advances the watch, and confirms the newest version if the watch has reached it.
fn confirm_watched_version(state: &mut ConfigurationState, version: ObjectVersion, now: LocalTime) {
    state.content_from = state.content_from.max(version);
    state.content_too_old = false;
    if state.newest.is_some() && state.newest_version() <= version {
        state.confirmed_at = Some(now);
    }
}

/// Processes the answer to a list or watch of the withdrawal record.
pub(super) fn record_watched(
    state: &mut ConfigurationState,
    answer: WatchAnswer<WithdrawalRecord>,
    now: LocalTime,
    effects: &mut Vec<ConfigurationEffect>,
) {
    let retry_at = match answer {
        WatchAnswer::Changes { version, changes } => {
            state.record_contact(now);
            state.record_from = state.record_from.max(version);
            state.record_too_old = false;
            for object in changes.into_iter().filter_map(|change| change.object) {
                adopt_record(state, object, effects);
            }
            now
        }
        WatchAnswer::TooOld => {
            state.record_too_old = true;
            now
        }
        WatchAnswer::Unavailable => now + state.settings.retry_period,
    };
    state.record_watch = PlatformCall::Idle { retry_at };
}
