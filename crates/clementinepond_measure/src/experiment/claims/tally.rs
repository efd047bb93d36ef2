//! Counts of call outcomes and invariant violations.

use clementinepond_decide::claim::{ClaimRefusal, RecordedAnswer};
use std::collections::BTreeMap;

/// Outcome of a call, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallOutcome {
    Ran,
    Replayed,
    AnswerNotHeld,
    NotRun,
    Unknown,
    VmLost,
}

/// Counts collected during one simulation run.
#[derive(Debug, Default)]
pub struct ClaimTally {
    /// Runs of a key after its first; must be zero.
    pub extra_runs: u64,
    /// Calls refused as not run although the call ran or, if the refusal rules out an earlier run,
    /// its key did; also dispatches after the call had ended.
    pub false_not_run: u64,
    /// Replayed answers that belong to another key.
    pub crossed_answers: u64,
    /// Calls that never got an outcome although their VM kept running.
    pub lost_calls: u64,
    /// Dispatches later than the caller's dispatch timeout plus 0.1 %.
    pub late_dispatches: u64,
    /// Calls that got an outcome, retries included.
    pub calls: u64,
    /// Calls that ran and were answered.
    pub ran: u64,
    /// Calls answered with the recorded answer of an earlier run.
    pub replayed: u64,
    /// Calls whose key ran earlier but whose recorded answer was discarded.
    pub answer_not_held: u64,
    /// Calls refused as not run.
    pub not_run: u64,
    /// Calls that ended with an unknown outcome.
    pub unknown: u64,
    /// Calls whose VM stopped before they ended.
    pub vm_lost: u64,
    /// Number of refused calls by reason.
    pub refusals: BTreeMap<Box<str>, u64>,
    /// Time from arrival to dispatch of each run, in microseconds.
    pub waits: Vec<u64>,
    /// Number of distinct keys used.
    pub keys: u64,
    /// Number of keys that ran at least once.
    pub keys_run: u64,
    /// Platform writes, refused ones included, until arrivals end.
    pub writes: u64,
    /// Platform reads until arrivals end.
    pub reads: u64,
    /// Messages sent between VMs, lost ones included.
    pub messages: u64,
    /// Duration of arrivals, in seconds.
    pub seconds: f64,
}

impl ClaimTally {
    pub(super) fn count(&mut self, end: CallOutcome) {
        self.calls += 1;
        match end {
            CallOutcome::Ran => self.ran += 1,
            CallOutcome::Replayed => self.replayed += 1,
            CallOutcome::AnswerNotHeld => self.answer_not_held += 1,
            CallOutcome::NotRun => self.not_run += 1,
            CallOutcome::Unknown => self.unknown += 1,
            CallOutcome::VmLost => self.vm_lost += 1,
        }
    }

    pub(super) fn count_refusal(&mut self, reason: ClaimRefusal) {
        *self
            .refusals
            .entry(format!("{reason:?}").into())
            .or_default() += 1;
    }

    /// Returns the number of invariant violations of all kinds.
    #[must_use]
    pub fn breaches(&self) -> u64 {
        self.extra_runs
            + self.false_not_run
            + self.crossed_answers
            + self.lost_calls
            + self.late_dispatches
    }

    /// Returns a quantile (0 to 1) of the wait before dispatch, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self, quantile: f64) -> f64 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        let last = waits.len().saturating_sub(1);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "an index into a list that fits in memory"
        )]
        let index = (quantile * last as f64).round() as usize;
        #[expect(clippy::cast_precision_loss, reason = "waits are below an hour")]
        let wait = waits.get(index).map_or(0.0, |&wait| wait as f64 / 1_000.0);
        wait
    }

    /// Returns `count` as a share of all calls, 0 to 1.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn share(&self, count: u64) -> f64 {
        count as f64 / self.calls.max(1) as f64
    }

    /// Returns platform writes per second of arrivals.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn writes_per_second(&self) -> f64 {
        self.writes as f64 / self.seconds
    }
}

/// Returns the answer that the simulated service gives for a key.
pub(super) fn service_answer(key: u64) -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        headers: Vec::new(),
        body: format!("done {key}").into_bytes().into(),
    }
}
