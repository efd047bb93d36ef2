//! Software versions of endpoints that left, and how long the directory has been complete.

use crate::fleet::{ServiceId, SoftwareVersion};
use clementinepond_types::{LocalTime, TimeSpan};
use std::collections::VecDeque;

/// Time for which a version is kept after its endpoint left; longer than any stream.
const HISTORY_DURATION: TimeSpan = TimeSpan::from_secs(120);
/// Maximum time between two moments at which the directory was up to date, for it to count
/// as complete in between. An endpoint that joins needs seconds before it serves a stream.
const MAX_CONTACT_GAP: TimeSpan = TimeSpan::from_millis(4_500);

#[derive(Debug)]
struct DepartedSoftware {
    service: ServiceId,
    software: SoftwareVersion,
    left_at: LocalTime,
}

/// Span of time over which the directory was complete.
#[derive(Debug, Clone, Copy)]
struct CompleteSpan {
    since: LocalTime,
    last: LocalTime,
}

/// Software versions of endpoints that are no longer in the directory.
#[derive(Debug, Default)]
pub(super) struct SoftwareHistory {
    /// In the order of leaving.
    departed: VecDeque<DepartedSoftware>,
    complete: Option<CompleteSpan>,
}

impl SoftwareHistory {
    pub(super) fn record_departure(
        &mut self,
        service: ServiceId,
        software: SoftwareVersion,
        now: LocalTime,
    ) {
        self.departed.push_back(DepartedSoftware {
            service,
            software,
            left_at: now,
        });
    }

    /// Records that the directory is up to date.
    pub(super) fn record_up_to_date(&mut self, now: LocalTime) {
        let since = match self.complete {
            Some(span) if now.since(span.last) < MAX_CONTACT_GAP => span.since,
            _ => now,
        };
        self.complete = Some(CompleteSpan { since, last: now });
        while let Some(oldest) = self.departed.front()
            && now.since(oldest.left_at) > HISTORY_DURATION
        {
            self.departed.pop_front();
        }
    }

    /// Returns whether the directory has been complete for a time, and its history reaches
    /// as far back.
    pub(super) fn covers(&self, age: TimeSpan, now: LocalTime) -> bool {
        age <= HISTORY_DURATION
            && self.complete.is_some_and(|span| {
                now.since(span.since) >= age && now.since(span.last) < MAX_CONTACT_GAP
            })
    }

    /// Returns the versions of a service's endpoints that left within a time.
    pub(super) fn departed_within<'a>(
        &'a self,
        service: &'a ServiceId,
        age: TimeSpan,
        now: LocalTime,
    ) -> impl Iterator<Item = &'a SoftwareVersion> {
        self.departed
            .iter()
            .filter(move |departed| {
                departed.service == *service && now.since(departed.left_at) <= age
            })
            .map(|departed| &departed.software)
    }
}
