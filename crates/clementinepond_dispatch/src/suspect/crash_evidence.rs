//! Crashes of endpoints, with the runs that were lost in each.

use super::CrashSuspect;
use crate::load::NameHash;
use clementinepond_types::{LocalTime, TimeSpan};
use fnv::{FnvHashMap, FnvHashSet};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of crashes that are kept.
const MAX_CRASHES: usize = 256;
/// Time for which a crash is kept; requests that crash endpoints may be rare.
const EVIDENCE_RETENTION: TimeSpan = TimeSpan::from_secs(3_600);
/// Minimum time between crashes in a row; requests that are retried at once meet all the
/// endpoints that crash for one reason.
pub(super) const MIN_CRASH_GAP: TimeSpan = TimeSpan::from_millis(250);
/// Time within which runs that are lost at an endpoint belong to one crash; endpoints take
/// longer to start again.
const MAX_LOSS_DELAY: TimeSpan = TimeSpan::from_secs(1);

/// Incarnation of an endpoint that crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointCrash {
    /// Hash of the endpoint's name.
    pub endpoint: NameHash,
    /// Start of the incarnation, as a Unix time in milliseconds.
    pub started_ms: u64,
}

/// Run that was lost when its endpoint crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRun {
    /// Suspects of the request, from the most specific to the most widely shared.
    pub suspects: Box<[CrashSuspect]>,
    /// Time at which the request was sent.
    pub sent_at: LocalTime,
}

#[derive(Debug)]
struct CrashRecord {
    crash: EndpointCrash,
    /// Time at which the first run was lost.
    lost_at: LocalTime,
    runs: Vec<RecordedRun>,
    /// Last send of each suspect.
    sent_at: FnvHashMap<CrashSuspect, LocalTime>,
    /// Whether one of the lost runs has a blocked suspect.
    is_explained: bool,
}

#[derive(Debug)]
struct RecordedRun {
    suspects: Box<[CrashSuspect]>,
    /// Whether this VM sent the request.
    is_own: bool,
}

/// Evidence against a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EvidenceStrength {
    /// Number of crashes in a row: a request with the suspect was sent after each of them
    /// and lost in the next one.
    pub(super) crashes: u32,
    /// Time of the first of the crashes.
    pub(super) since: LocalTime,
    /// Time of the last crash.
    pub(super) last_at: LocalTime,
}

/// Crashes of endpoints that are not too old.
#[derive(Debug, Default)]
pub(super) struct CrashEvidence {
    records: VecDeque<CrashRecord>,
}

impl CrashEvidence {
    /// Adds the runs that a VM lost in a crash.
    pub(super) fn record(
        &mut self,
        crash: EndpointCrash,
        lost_at: LocalTime,
        runs: &[LostRun],
        is_own: bool,
        is_blocked: impl Fn(CrashSuspect) -> bool,
    ) {
        let known = self
            .records
            .iter()
            .position(|record| record.is_same(crash, lost_at));
        let index = known.unwrap_or_else(|| self.insert(crash, lost_at));
        let record = &mut self.records[index];
        for run in runs {
            record.runs.push(RecordedRun {
                suspects: run.suspects.clone(),
                is_own,
            });
            for suspect in &run.suspects {
                let sent_at = record.sent_at.entry(*suspect).or_insert(run.sent_at);
                *sent_at = run.sent_at.max(*sent_at);
            }
        }
        let culprits: Vec<CrashSuspect> = record.sent_at.keys().copied().collect();
        for suspect in culprits.into_iter().filter(|suspect| is_blocked(*suspect)) {
            record.explain(suspect);
        }
    }

    /// Adds a crash in the order of time and returns its index.
    fn insert(&mut self, crash: EndpointCrash, lost_at: LocalTime) -> usize {
        if self.records.len() >= MAX_CRASHES {
            self.records.pop_front();
        }
        let index = self
            .records
            .partition_point(|record| record.lost_at <= lost_at);
        let record = CrashRecord {
            crash,
            lost_at,
            runs: Vec::new(),
            sent_at: FnvHashMap::default(),
            is_explained: false,
        };
        self.records.insert(index, record);
        index
    }

    /// Removes a suspect from the crashes up to its completion.
    pub(super) fn clear(&mut self, suspect: CrashSuspect, completed_at: LocalTime) {
        for record in &mut self.records {
            if record.lost_at <= completed_at {
                record.sent_at.remove(&suspect);
            }
        }
    }

    /// Attributes crashes to a suspect; runs without it no longer count as evidence.
    pub(super) fn explain(&mut self, suspect: CrashSuspect) {
        for record in &mut self.records {
            if record.sent_at.contains_key(&suspect) {
                record.explain(suspect);
            }
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes old crashes.
    pub(super) fn sweep(&mut self, now: LocalTime) {
        self.records
            .retain(|record| now.since(record.lost_at) < EVIDENCE_RETENTION);
    }

    /// Returns the evidence against a suspect; `None` without any.
    pub(super) fn strength(&self, suspect: CrashSuspect) -> Option<EvidenceStrength> {
        let mut crashes = 0;
        let mut since = None;
        let mut last = None;
        let mut last_at = LocalTime::ORIGIN;
        for record in &self.records {
            let Some(sent_at) = record.sent_at.get(&suspect) else {
                continue;
            };
            last_at = last_at.max(record.lost_at);
            let is_later = |last| *sent_at >= last && record.lost_at.since(last) >= MIN_CRASH_GAP;
            if last.is_none_or(is_later) {
                crashes += 1;
                last = Some(record.lost_at);
                since.get_or_insert(record.lost_at);
            }
        }
        let since = since?;
        Some(EvidenceStrength {
            crashes,
            since,
            last_at,
        })
    }

    /// Returns the number of requests of this VM without a suspect that were lost since a
    /// time in crashes that nothing explains.
    pub(super) fn lost_without(&self, suspect: CrashSuspect, since: LocalTime) -> usize {
        let recent = self.records.iter().rev();
        recent
            .take_while(|record| record.lost_at >= since)
            .filter(|record| !record.is_explained)
            .flat_map(|record| &record.runs)
            .filter(|run| run.is_own && !run.suspects.contains(&suspect))
            .count()
    }

    /// Returns whether another suspect, none of the proven ones, explains all the crashes of
    /// a suspect as well.
    ///
    /// A request is more specific than the blocks of its own prompt, so these are no rivals
    /// of it.
    pub(super) fn has_rival(
        &self,
        suspect: CrashSuspect,
        is_proven: impl Fn(CrashSuspect) -> bool,
    ) -> bool {
        let mut rivals: Option<FnvHashSet<CrashSuspect>> = None;
        for record in &self.records {
            if !record.sent_at.contains_key(&suspect) {
                continue;
            }
            let is_request = matches!(suspect, CrashSuspect::Request(_));
            let others = record
                .runs
                .iter()
                .filter(|run| !is_request || !run.suspects.contains(&suspect))
                .flat_map(|run| &run.suspects)
                .copied()
                .filter(|other| *other != suspect && record.sent_at.contains_key(other))
                .filter(|other| !is_proven(*other));
            rivals = Some(match rivals {
                None => others.collect(),
                Some(known) => others.filter(|other| known.contains(other)).collect(),
            });
        }
        rivals.is_some_and(|rivals| !rivals.is_empty())
    }

    /// Returns whether a request with both suspects was lost.
    pub(super) fn share_run(&self, first: CrashSuspect, second: CrashSuspect) -> bool {
        let mut runs = self.records.iter().flat_map(|record| &record.runs);
        runs.any(|run| run.suspects.contains(&first) && run.suspects.contains(&second))
    }

    /// Returns the position of a suspect among those of a lost run; a lower one is more
    /// specific.
    pub(super) fn position(&self, suspect: CrashSuspect) -> Option<usize> {
        let mut runs = self.records.iter().flat_map(|record| &record.runs);
        runs.find_map(|run| run.suspects.iter().position(|other| *other == suspect))
    }
}

impl CrashRecord {
    /// Returns whether runs were lost in this crash. A VM may not know yet that an endpoint
    /// has started again, so the incarnation alone does not tell.
    fn is_same(&self, crash: EndpointCrash, lost_at: LocalTime) -> bool {
        let distance = lost_at.since(self.lost_at).max(self.lost_at.since(lost_at));
        self.crash.endpoint == crash.endpoint && distance < MAX_LOSS_DELAY
    }

    /// Attributes the crash to a suspect. If this is a request, the cause may still be one
    /// of its blocks.
    fn explain(&mut self, suspect: CrashSuspect) {
        self.is_explained = true;
        self.runs.retain(|run| run.suspects.contains(&suspect));
        let is_request = matches!(suspect, CrashSuspect::Request(_));
        let runs = &self.runs;
        self.sent_at.retain(|other, _| {
            let mut is_of_run = runs.iter().map(|run| run.suspects.contains(other));
            *other == suspect || is_request && is_of_run.any(|is_of| is_of)
        });
    }
}
