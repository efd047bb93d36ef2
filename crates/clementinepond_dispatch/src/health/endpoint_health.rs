//! Recent request outcomes at one endpoint.

use clementinepond_types::{LocalTime, TimeSpan};

/// Half-life of an outcome's weight, in seconds.
const OUTCOME_HALF_LIFE_S: f64 = 3.0;
/// Duration of the first ejection, doubled for each repeated one.
const MIN_EJECTION_DURATION: TimeSpan = TimeSpan::from_millis(800);
/// Longest duration of an ejection.
const MAX_EJECTION_DURATION: TimeSpan = TimeSpan::from_secs(4);
/// Time after the end of an ejection after which the next one counts as the first
/// again.
const EJECTION_RESET_TIME: TimeSpan = TimeSpan::from_secs(6);

/// Outcome of a request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// The endpoint answered with success.
    Success,
    /// The endpoint answered with an error of its own.
    Failure,
    /// The endpoint refused the request although it should have had capacity.
    Refusal,
    /// The answer was truncated, malformed or late.
    Broken,
    /// No connection could be made.
    Unreachable,
}

/// Health of one endpoint, from recent request outcomes.
#[derive(Debug, Clone)]
pub struct EndpointHealth {
    successes: f64,
    failures: f64,
    updated_at: LocalTime,
    ejected_until: LocalTime,
    ejection: TimeSpan,
    is_on_trial: bool,
    running_trials: u32,
    consecutive_unreachable: u32,
}

impl Default for EndpointHealth {
    fn default() -> Self {
        Self {
            successes: 0.0,
            failures: 0.0,
            updated_at: LocalTime::ORIGIN,
            ejected_until: LocalTime::ORIGIN,
            ejection: TimeSpan::ZERO,
            is_on_trial: false,
            running_trials: 0,
            consecutive_unreachable: 0,
        }
    }
}

impl EndpointHealth {
    /// Records an outcome; one other than a success ejects an endpoint on trial.
    pub fn record(&mut self, outcome: EndpointOutcome, now: LocalTime) {
        self.decay(now);
        match outcome {
            EndpointOutcome::Success => {
                self.successes += 1.0;
                self.consecutive_unreachable = 0;
                if self.is_on_trial {
                    self.is_on_trial = false;
                    self.failures = 0.0;
                }
            }
            EndpointOutcome::Failure | EndpointOutcome::Broken => self.failures += 1.0,
            EndpointOutcome::Refusal => self.failures += 0.5,
            EndpointOutcome::Unreachable => {
                self.failures += 1.0;
                self.consecutive_unreachable += 1;
            }
        }
        if self.is_on_trial && outcome != EndpointOutcome::Success {
            self.eject(now);
        }
    }

    /// Ejects the endpoint; repeated ejections double in duration.
    pub fn eject(&mut self, now: LocalTime) {
        let is_reset = now.since(self.ejected_until) > EJECTION_RESET_TIME;
        let duration = if is_reset || self.ejection == TimeSpan::ZERO {
            MIN_EJECTION_DURATION
        } else {
            self.ejection.fraction(2, 1).min(MAX_EJECTION_DURATION)
        };
        self.ejection = duration;
        self.ejected_until = now + duration;
        self.is_on_trial = true;
    }

    /// Returns the decayed weights of failures and of all outcomes.
    pub fn outcome_weights(&mut self, now: LocalTime) -> (f64, f64) {
        self.decay(now);
        (self.failures, self.failures + self.successes)
    }

    /// Returns whether the endpoint is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: LocalTime) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the endpoint has been ejected and has had no success since.
    #[must_use]
    pub const fn is_on_trial(&self) -> bool {
        self.is_on_trial
    }

    /// Returns the number of failed connections since the last success.
    #[must_use]
    pub const fn consecutive_unreachable(&self) -> u32 {
        self.consecutive_unreachable
    }

    /// Returns whether no trial request is running.
    #[must_use]
    pub const fn has_no_running_trial(&self) -> bool {
        self.running_trials == 0
    }

    /// Records the start of a request, which counts as a trial if the endpoint is on
    /// trial.
    pub const fn start_run(&mut self) {
        if self.is_on_trial {
            self.running_trials += 1;
        }
    }

    /// Records the end of a request, and of a trial if one is running.
    pub const fn end_run(&mut self) {
        self.running_trials = self.running_trials.saturating_sub(1);
    }

    fn decay(&mut self, now: LocalTime) {
        let seconds = now.since(self.updated_at).micros() as f64 / 1e6;
        self.updated_at = now;
        let factor = 0.5_f64.powf(seconds / OUTCOME_HALF_LIFE_S);
        self.successes *= factor;
        self.failures *= factor;
    }
}
