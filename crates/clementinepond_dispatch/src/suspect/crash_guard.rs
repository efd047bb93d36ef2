//! Decision which requests may be sent, from crashes and completions in the whole fleet.

use super::blocked_table::{BlockedSuspect, BlockedTable};
use super::completion_log::{COUNTED_DURATION, CompletionLog};
use super::crash_evidence::{
    CrashEvidence, EndpointCrash, EvidenceStrength, LostRun, MIN_CRASH_GAP,
};
use super::crash_suspect::CrashSuspect;
use clementinepond_types::{LocalTime, TimeSpan};
use fnv::FnvHashMap;
use std::cmp::Reverse;

/// Number of crashes in a row that block a suspect which alone explains them.
const MIN_CRASHES: u32 = 3;
/// Number of crashes in a row that block a suspect although another one explains them as
/// well, or although requests with it have completed before.
const MIN_AMBIGUOUS_CRASHES: u32 = 5;
/// Maximum probability that requests with a suspect are lost in as many crashes in a row
/// although they do not cause them; where endpoints crash all the time, every request is
/// lost in some.
const MAX_CHANCE: f64 = 0.001;
/// Lost and all requests that are added to the counts of a VM, so that five crashes are
/// enough where it has had no other requests.
const PRIOR_COUNTS: (f64, f64) = (0.25, 1.0);
/// Number of crashes in a row from which requests with a suspect are sent one at a time;
/// endpoints that crash under load then answer, which clears the suspect.
const TRIAL_CRASHES: u32 = 1;
/// The same for a suspect whose requests have completed before.
const PROVEN_TRIAL_CRASHES: u32 = 4;
/// Time after the first crash until another request with a suspect is sent, doubled by each
/// further crash; crashes at a shorter interval say no more than the first of them.
const MIN_PAUSE: TimeSpan = MIN_CRASH_GAP;
/// Number of doublings after which the longest time is reached.
const MAX_DOUBLINGS: u32 = 5;
/// Longest such time.
const MAX_PAUSE: TimeSpan = TimeSpan::from_secs(4);
/// Time that peers have to report completions before a suspect is blocked; small VMs pause
/// for most of a tenth of a second.
const CLEARANCE_TIMEOUT: TimeSpan = TimeSpan::from_millis(300);
/// Time for which requests are held back while another VM asks for completions.
const HOLD_DURATION: TimeSpan = TimeSpan::from_millis(500);

/// Event that the guard reacts to.
#[derive(Debug, Clone)]
pub enum CrashEvent {
    /// An endpoint crashed that ran requests of this VM.
    OwnRunsLost {
        /// Endpoint.
        crash: EndpointCrash,
        /// Time at which the first of the runs was lost.
        lost_at: LocalTime,
        /// Requests of this VM that it ran.
        runs: Vec<LostRun>,
    },
    /// An endpoint crashed that ran requests of a peer.
    PeerRunsLost {
        /// Endpoint.
        crash: EndpointCrash,
        /// Time at which the first of the runs was lost.
        lost_at: LocalTime,
        /// Requests of the peer that it ran.
        runs: Vec<LostRun>,
    },
    /// A request of this VM completed.
    Completed {
        /// Its suspects.
        suspects: Box<[CrashSuspect]>,
    },
    /// A peer is about to block suspects and asks for completions.
    ClearanceQueried {
        /// Suspects.
        suspects: Vec<CrashSuspect>,
    },
    /// Requests with suspects completed at peers.
    Cleared {
        /// Last completion of each.
        completions: Vec<(CrashSuspect, LocalTime)>,
    },
    /// Suspects are blocked at a peer or in the store.
    BlockedElsewhere {
        /// Blocked suspects.
        blocked: Vec<BlockedSuspect>,
    },
    /// Some time has passed.
    Tick,
}

/// Effect that the caller of the guard carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashEffect {
    /// Ask all peers for completions of these suspects.
    QueryPeers(Vec<CrashSuspect>),
    /// Report these completions to the sender of the event.
    ReportCompletions(Vec<(CrashSuspect, LocalTime)>),
    /// A suspect was blocked on this VM's evidence; store this.
    Blocked {
        /// Suspect.
        suspect: CrashSuspect,
        /// Number of crashes in a row.
        crashes: u32,
        /// Share of this VM's other requests that were lost in crashes, in percent.
        loss_percent: u32,
    },
    /// A suspect was blocked since a peer or the store has it as blocked.
    Adopted(CrashSuspect),
    /// A suspect is no longer blocked; remove it from the store.
    Unblocked(CrashSuspect),
}

/// Whether a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendVerdict {
    /// It may be sent.
    Allowed,
    /// It may be sent if this VM has no other request with one of the suspects in flight.
    Alone(Box<[CrashSuspect]>),
    /// It may be sent after a time, unless a suspect is blocked by then.
    Held {
        /// Earliest time.
        until: LocalTime,
    },
    /// It is not sent.
    Blocked(CrashSuspect),
}

/// Guard against requests that crash the endpoints that run them.
#[derive(Debug, Default)]
pub struct CrashGuard {
    evidence: CrashEvidence,
    completions: CompletionLog,
    blocked: BlockedTable,
    /// Time at which it is decided whether to block each suspect.
    pending: FnvHashMap<CrashSuspect, LocalTime>,
    /// Time until which requests with each suspect are held back.
    held: FnvHashMap<CrashSuspect, LocalTime>,
}

impl CrashGuard {
    /// Applies an event and returns its effects.
    pub fn reduce(&mut self, event: CrashEvent, now: LocalTime) -> Vec<CrashEffect> {
        match event {
            CrashEvent::OwnRunsLost {
                crash,
                lost_at,
                runs,
            } => {
                self.record_crash(crash, lost_at, &runs, true);
                self.propose(&runs, now)
            }
            CrashEvent::PeerRunsLost {
                crash,
                lost_at,
                runs,
            } => {
                self.record_crash(crash, lost_at, &runs, false);
                Vec::new()
            }
            CrashEvent::Completed { suspects } => {
                self.completions.count(now);
                let completions = suspects.iter().map(|suspect| (*suspect, now));
                self.record_completions(completions, now)
            }
            CrashEvent::ClearanceQueried { suspects } => self.answer_query(&suspects, now),
            CrashEvent::Cleared { completions } => {
                self.record_completions(completions.into_iter(), now)
            }
            CrashEvent::BlockedElsewhere { blocked } => self.adopt(blocked),
            CrashEvent::Tick => self.tick(now),
        }
    }

    /// Returns whether a request may be sent.
    #[must_use]
    pub fn verdict(&self, suspects: &[CrashSuspect], now: LocalTime) -> SendVerdict {
        let mut all = suspects.iter().copied();
        if let Some(blocked) = all.find(|one| self.blocked.get(*one).is_some()) {
            return SendVerdict::Blocked(blocked);
        }
        let held = suspects.iter().filter_map(|one| self.held_until(*one));
        if let Some(until) = held.max().filter(|until| now < *until) {
            return SendVerdict::Held { until };
        }
        let on_trial = suspects.iter().copied();
        let on_trial: Box<[CrashSuspect]> = on_trial.filter(|one| self.is_on_trial(*one)).collect();
        if on_trial.is_empty() {
            return SendVerdict::Allowed;
        }
        SendVerdict::Alone(on_trial)
    }

    /// Returns whether one of the suspects is blocked.
    #[must_use]
    pub fn is_blocked(&self, suspects: &[CrashSuspect]) -> bool {
        let mut suspects = suspects.iter();
        suspects.any(|suspect| self.blocked.get(*suspect).is_some())
    }

    /// Records that a request with a blocked suspect was refused, which keeps it blocked;
    /// returns whether the peers should learn of it.
    pub fn record_refusal(&mut self, suspect: CrashSuspect, now: LocalTime) -> bool {
        self.blocked.record_request(suspect, now)
    }

    /// Returns whether it must be certain that a request completed: there is evidence against
    /// one of its suspects, it has no shared block, or one that is not known to be sound.
    #[must_use]
    pub fn needs_proof(&self, suspects: &[CrashSuspect]) -> bool {
        let mut all = suspects.iter().copied();
        let has_evidence = !self.evidence.is_empty()
            && all.any(|suspect| self.evidence.strength(suspect).is_some());
        let mut blocks = suspects
            .iter()
            .copied()
            .filter(|suspect| matches!(suspect, CrashSuspect::Block(_)))
            .peekable();
        has_evidence || blocks.peek().is_none() || blocks.any(|block| !self.is_proven(block))
    }

    /// Returns the blocked suspects.
    pub fn blocked(&self) -> impl Iterator<Item = &BlockedSuspect> {
        self.blocked.all()
    }

    /// Returns a hash of the set of blocked suspects; 0 if there is none.
    #[must_use]
    pub const fn digest(&self) -> u64 {
        self.blocked.digest()
    }

    fn record_crash(
        &mut self,
        crash: EndpointCrash,
        lost_at: LocalTime,
        runs: &[LostRun],
        is_own: bool,
    ) {
        let blocked = &self.blocked;
        let is_blocked = |suspect| blocked.get(suspect).is_some();
        self.evidence
            .record(crash, lost_at, runs, is_own, is_blocked);
    }

    /// Begins to decide about the suspects of lost runs against which there is enough
    /// evidence.
    fn propose(&mut self, runs: &[LostRun], now: LocalTime) -> Vec<CrashEffect> {
        let mut proposed = Vec::new();
        for suspect in runs.iter().flat_map(|run| run.suspects.iter().copied()) {
            if !self.pending.contains_key(&suspect) && self.strong_evidence(suspect, now).is_some()
            {
                self.pending.insert(suspect, now + CLEARANCE_TIMEOUT);
                proposed.push(suspect);
            }
        }
        query_effect(proposed)
    }

    /// Returns the evidence against a suspect if it is enough to block it, unless others
    /// explain the crashes as well.
    fn strong_evidence(&self, suspect: CrashSuspect, now: LocalTime) -> Option<EvidenceStrength> {
        if self.blocked.get(suspect).is_some() {
            return None;
        }
        let strength = self.evidence.strength(suspect)?;
        let min_crashes = if self.is_proven(suspect) {
            MIN_AMBIGUOUS_CRASHES
        } else {
            MIN_CRASHES
        };
        let chance = self
            .loss_rate(suspect, now)
            .powf(f64::from(strength.crashes));
        let is_enough = strength.crashes >= min_crashes && chance <= MAX_CHANCE;
        is_enough.then_some(strength)
    }

    /// Returns the share of this VM's recent requests without a suspect that were lost.
    fn loss_rate(&self, suspect: CrashSuspect, now: LocalTime) -> f64 {
        let since = LocalTime::from_micros(now.micros().saturating_sub(COUNTED_DURATION.micros()));
        let lost = self.evidence.lost_without(suspect, since) as f64;
        let completed = self.completions.counted_since(since) as f64;
        (lost + PRIOR_COUNTS.0) / (lost + completed + PRIOR_COUNTS.1)
    }

    /// Returns the evidence against a suspect if it is enough to block it.
    fn convincing_evidence(
        &self,
        suspect: CrashSuspect,
        now: LocalTime,
    ) -> Option<EvidenceStrength> {
        let strength = self.strong_evidence(suspect, now)?;
        let is_clear = strength.crashes >= MIN_AMBIGUOUS_CRASHES
            || !self
                .evidence
                .has_rival(suspect, |other| self.is_proven(other));
        is_clear.then_some(strength)
    }

    /// Returns whether a request with a suspect is known to have completed.
    fn is_proven(&self, suspect: CrashSuspect) -> bool {
        self.completions.last(suspect).is_some()
    }

    /// Returns the time until which requests with a suspect are held back, if any; it may
    /// have passed.
    fn held_until(&self, suspect: CrashSuspect) -> Option<LocalTime> {
        if self.is_proven(suspect) {
            return None;
        }
        // A request that was lost once is sent again at once if its blocks are sound.
        let is_request = matches!(suspect, CrashSuspect::Request(_));
        let strength = self.evidence.strength(suspect);
        let strength = strength.filter(|strength| strength.crashes > 1 || !is_request);
        let paused = strength.map(|strength| {
            let doublings = strength.crashes.saturating_sub(1).min(MAX_DOUBLINGS);
            strength.last_at + MIN_PAUSE.fraction(1 << doublings, 1).min(MAX_PAUSE)
        });
        let pending = self.pending.get(&suspect).copied();
        let held = self.held.get(&suspect).copied();
        [paused, pending, held].into_iter().flatten().max()
    }

    fn is_on_trial(&self, suspect: CrashSuspect) -> bool {
        if self.evidence.is_empty() {
            return false;
        }
        let limit = if self.is_proven(suspect) {
            PROVEN_TRIAL_CRASHES
        } else {
            TRIAL_CRASHES
        };
        let strength = self.evidence.strength(suspect);
        strength.is_some_and(|strength| strength.crashes >= limit)
    }

    fn record_completions(
        &mut self,
        completions: impl Iterator<Item = (CrashSuspect, LocalTime)>,
        now: LocalTime,
    ) -> Vec<CrashEffect> {
        let mut effects = Vec::new();
        for (suspect, at) in completions {
            self.completions.record(suspect, at, now);
            self.evidence.clear(suspect, at);
            let is_cleared = |known: &BlockedSuspect| at > known.since;
            if self.blocked.get(suspect).is_some_and(is_cleared) {
                self.blocked.remove(suspect);
                effects.push(CrashEffect::Unblocked(suspect));
            }
        }
        effects
    }

    fn answer_query(&mut self, suspects: &[CrashSuspect], now: LocalTime) -> Vec<CrashEffect> {
        let mut completions = Vec::new();
        for suspect in suspects {
            self.held.insert(*suspect, now + HOLD_DURATION);
            let last = self.completions.last(*suspect);
            completions.extend(last.map(|at| (*suspect, at)));
        }
        report_effect(completions)
    }

    fn adopt(&mut self, blocked: Vec<BlockedSuspect>) -> Vec<CrashEffect> {
        let mut effects = Vec::new();
        let mut completions = Vec::new();
        for added in blocked {
            let suspect = added.suspect;
            match self.completions.last(suspect) {
                Some(at) if at > added.since => completions.push((suspect, at)),
                _ if self.blocked.insert(added) => {
                    self.evidence.explain(suspect);
                    effects.push(CrashEffect::Adopted(suspect));
                }
                _ => {}
            }
        }
        effects.extend(report_effect(completions));
        effects
    }

    fn tick(&mut self, now: LocalTime) -> Vec<CrashEffect> {
        self.evidence.sweep(now);
        self.held.retain(|_, until| now < *until);
        let mut effects = Vec::new();
        for suspect in self.blocked.expired(now) {
            self.blocked.remove(suspect);
            effects.push(CrashEffect::Unblocked(suspect));
        }
        effects.extend(self.decide(now));
        // Datagrams may be lost.
        effects.extend(query_effect(self.pending.keys().copied().collect()));
        effects
    }

    /// Blocks the suspects that are due and against which there still is enough evidence.
    fn decide(&mut self, now: LocalTime) -> Vec<CrashEffect> {
        let due = self.pending.iter().filter(|(_, at)| now >= **at);
        let mut due: Vec<CrashSuspect> = due.map(|(suspect, _)| *suspect).collect();
        due.retain(|suspect| {
            self.pending.remove(suspect);
            self.convincing_evidence(*suspect, now).is_some()
        });
        let crashes = |suspect| self.evidence.strength(suspect).map(|known| known.crashes);
        due.sort_by_key(|suspect| {
            let position = self.evidence.position(*suspect);
            (Reverse(crashes(*suspect)), position, *suspect)
        });
        let mut blocked: Vec<CrashSuspect> = Vec::new();
        let mut effects = Vec::new();
        for suspect in due {
            // The crashes of a suspect that only occurs beside a blocked one are explained.
            let is_beside = |other: &CrashSuspect| self.evidence.share_run(suspect, *other);
            let Some(strength) = self.convincing_evidence(suspect, now) else {
                continue;
            };
            if blocked.iter().any(is_beside) {
                continue;
            }
            let loss_percent = (self.loss_rate(suspect, now) * 100.0) as u32;
            self.blocked.insert(BlockedSuspect {
                suspect,
                since: strength.since,
                seen_at: now,
            });
            self.evidence.explain(suspect);
            blocked.push(suspect);
            effects.push(CrashEffect::Blocked {
                suspect,
                crashes: strength.crashes,
                loss_percent,
            });
        }
        effects
    }
}

fn query_effect(suspects: Vec<CrashSuspect>) -> Vec<CrashEffect> {
    if suspects.is_empty() {
        return Vec::new();
    }
    vec![CrashEffect::QueryPeers(suspects)]
}

fn report_effect(completions: Vec<(CrashSuspect, LocalTime)>) -> Vec<CrashEffect> {
    if completions.is_empty() {
        return Vec::new();
    }
    vec![CrashEffect::ReportCompletions(completions)]
}
