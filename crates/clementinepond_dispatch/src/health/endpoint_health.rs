//! Recent outcomes at one endpoint.

use clementinepond_types::{LocalTime, TimeSpan};

/// Half-life of an outcome's weight, in seconds.
const OUTCOME_HALF_LIFE_S: f64 = 3.0;
/// First span for which a failing endpoint is set aside.
const MIN_EJECTION_DURATION: TimeSpan = TimeSpan::from_millis(800);
/// Longest span for which a failing endpoint is set aside.
const MAX_EJECTION_DURATION: TimeSpan = TimeSpan::from_secs(4);
/// Calm time after which an earlier ejection no longer lengthens the next.
const EJECTION_RESET_TIME: TimeSpan = TimeSpan::from_secs(6);

/// How one request fared at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// It answered with success.
    Success,
    /// It answered with a failure of its own.
    Failure,
    /// It refused the request although it should have had room.
    Refusal,
    /// The answer broke off, made no sense or did not come in time.
    Broken,
    /// No connection could be made.
    Unreachable,
}

/// Recent outcomes at one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointHealth {
    successes: f64,
    failures: f64,
    updated_at: LocalTime,
    ejected_until: LocalTime,
    ejection: TimeSpan,
    is_on_trial: bool,
    trials_running: u32,
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
            trials_running: 0,
            consecutive_unreachable: 0,
        }
    }
}

impl EndpointHealth {
    /// Counts an outcome.
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

    /// Sets the endpoint aside.
    pub fn eject(&mut self, now: LocalTime) {
        let calm = now.since(self.ejected_until) > EJECTION_RESET_TIME;
        let span = if calm || self.ejection == TimeSpan::ZERO {
            MIN_EJECTION_DURATION
        } else {
            self.ejection.fraction(2, 1).min(MAX_EJECTION_DURATION)
        };
        self.ejection = span;
        self.ejected_until = now + span;
        self.is_on_trial = true;
    }

    /// Returns the weight of failures and of all outcomes.
    pub fn rates(&mut self, now: LocalTime) -> (f64, f64) {
        self.decay(now);
        (self.failures, self.failures + self.successes)
    }

    /// Tells whether the endpoint is set aside.
    #[must_use]
    pub fn is_ejected(&self, now: LocalTime) -> bool {
        now < self.ejected_until
    }

    /// Tells whether the endpoint came back and has not yet proved itself.
    #[must_use]
    pub const fn is_on_trial(&self) -> bool {
        self.is_on_trial
    }

    /// Returns the connections refused in a row.
    #[must_use]
    pub const fn consecutive_unreachable(&self) -> u32 {
        self.consecutive_unreachable
    }

    /// Counts a request sent on trial; false when one is running already.
    #[must_use]
    pub const fn has_no_running_trial(&self) -> bool {
        self.trials_running == 0
    }

    /// Notes the start of a request.
    pub const fn start_run(&mut self) {
        if self.is_on_trial {
            self.trials_running += 1;
        }
    }

    /// Notes the end of a request.
    pub const fn end_run(&mut self) {
        self.trials_running = self.trials_running.saturating_sub(1);
    }

    fn decay(&mut self, now: LocalTime) {
        let seconds = now.since(self.updated_at).micros() as f64 / 1e6;
        self.updated_at = now;
        let factor = 0.5_f64.powf(seconds / OUTCOME_HALF_LIFE_S);
        self.successes *= factor;
        self.failures *= factor;
    }
}
