//! What happened to calls, and which must-holds broke.

use clementinepond_decide::claim::{ClaimRefusal, RecordedAnswer};
use std::collections::BTreeMap;

/// End of a call, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallOutcome {
    Ran,
    Replayed,
    AnswerNotHeld,
    NotRun,
    Unknown,
    VmLost,
}

/// Counts of one run.
#[derive(Debug, Default)]
pub struct ClaimTally {
    /// Runs of a key beyond the first.
    pub extra_runs: u64,
    /// Refusals as not run although the call, or a key said to be clear, ran.
    pub false_not_run: u64,
    /// Answers of another key's run.
    pub crossed_answers: u64,
    /// Calls on a living VM without an end.
    pub lost_calls: u64,
    /// Dispatches after the grant's deadline.
    pub late_dispatches: u64,
    /// Calls, repeats included.
    pub calls: u64,
    /// Calls that ran.
    pub ran: u64,
    /// Calls that got the recorded answer.
    pub replayed: u64,
    /// Calls that were told that the answer is no longer held.
    pub answer_not_held: u64,
    /// Calls refused as not run.
    pub not_run: u64,
    /// Calls that were told that the outcome is unknown.
    pub unknown: u64,
    /// Calls whose VM died.
    pub vm_lost: u64,
    /// Calls refused by reason.
    pub refusals: BTreeMap<Box<str>, u64>,
    /// Waits from arrival to dispatch, in microseconds.
    pub waits: Vec<u64>,
    /// Keys that were called.
    pub keys: u64,
    /// Keys that ran.
    pub keys_run: u64,
    /// Platform writes until the arrivals end.
    pub writes: u64,
    /// Platform reads until the arrivals end.
    pub reads: u64,
    /// Messages between VMs.
    pub messages: u64,
    /// Length of the arrivals, in seconds.
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

    /// Returns the sum of all breaches.
    #[must_use]
    pub fn breaches(&self) -> u64 {
        self.extra_runs
            + self.false_not_run
            + self.crossed_answers
            + self.lost_calls
            + self.late_dispatches
    }

    /// Returns a quantile of the wait before dispatch, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self, quantile: f64) -> f64 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        let last = waits.len().saturating_sub(1);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a place in a list that fits in memory"
        )]
        let index = (quantile * last as f64).round() as usize;
        #[expect(clippy::cast_precision_loss, reason = "waits are below an hour")]
        let wait = waits.get(index).map_or(0.0, |&wait| wait as f64 / 1_000.0);
        wait
    }

    /// Returns a count as a share of all calls.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn share(&self, count: u64) -> f64 {
        count as f64 / self.calls.max(1) as f64
    }

    /// Returns platform writes a second.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn writes_per_second(&self) -> f64 {
        self.writes as f64 / self.seconds
    }
}

/// Returns the answer that the service gives to a key.
pub(super) fn service_answer(key: u64) -> RecordedAnswer {
    RecordedAnswer {
        status: 200,
        headers: Vec::new(),
        body: format!("done {key}").into_bytes().into(),
    }
}
