//! Settings of the roster.

use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// Evidence that a VM needs to go on using its parts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ContactRule {
    /// A VM that ran without pause needs none; after a pause, one contact.
    #[default]
    AfterPause,
    /// Contact with the platform or any other member within the validity.
    AnyPeer,
    /// Contact with the platform or half of the other members within it.
    Majority,
}

/// Guard that a test switches off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RosterMutation {
    /// All guards work.
    #[default]
    None,
    /// Releases parts that are still in use.
    ReleaseBeforeStop,
    /// Removes a VM as soon as the list lacks it.
    RemoveWithoutHoldOff,
    /// Removes a VM although its heartbeats arrive.
    RemoveDespiteHeartbeat,
    /// Uses parts after a pause without contact.
    UseAfterPause,
    /// Needs no contact while the own table lists no other VM.
    TrustWhenAlone,
    /// Takes over the parts of an earlier process at once.
    JoinWithoutHoldOff,
    /// Uses parts again while the fate of their release is unknown.
    ResumeOnUnknown,
    /// Uses parts that an unanswered update would give.
    UseOnUnknown,
    /// Replaces a table by an older one.
    AcceptOlder,
    /// Gives up a fleet share that members still use.
    ShareBeforeStop,
}

/// Times and counts of the roster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct RosterSettings {
    /// Time between two rounds of probes.
    pub heartbeat_period: TimeSpan,
    /// Members probed a round.
    pub fan_out: usize,
    /// Silence after which a member is suspected.
    pub suspicion: TimeSpan,
    /// Silence after which a relay candidate is passed over by the next.
    pub relay_silence: TimeSpan,
    /// Time without platform contact after which the next relay helps.
    pub relay_takeover: TimeSpan,
    /// Members that may have relay duty.
    pub relay_candidates: usize,
    /// Time for which a VM that stops running keeps the use of its parts.
    pub validity: TimeSpan,
    /// Evidence needed to use parts.
    pub contact_rule: ContactRule,
    /// Time after which news of one member has reached all connected ones.
    pub settle: TimeSpan,
    /// Bound of the lag of the platform's list.
    pub list_lag: TimeSpan,
    /// Longest grant or loan on parts.
    pub loan_span: TimeSpan,
    /// Bound of the difference of two clocks' rates, in parts per million.
    pub drift_ppm: u64,
    /// Time between two reads of the platform's list.
    pub list_period: TimeSpan,
    /// Time after which a VM that asked to be added writes itself.
    pub join_patience: TimeSpan,
    /// Time between two tries at the platform.
    pub retry_period: TimeSpan,
    /// Time after which an unanswered update counts as unknown.
    pub answer_limit: TimeSpan,
    /// Time between two releases of a portion by one VM.
    pub balance_period: TimeSpan,
    /// Addresses of VMs to ask when starting.
    pub seeds: Vec<Box<str>>,
    /// Guard switched off by a test.
    #[serde(skip)]
    pub mutation: RosterMutation,
}

impl Default for RosterSettings {
    fn default() -> Self {
        Self {
            heartbeat_period: TimeSpan::from_secs(1),
            fan_out: 2,
            suspicion: TimeSpan::from_secs(8),
            relay_silence: TimeSpan::from_secs(4),
            relay_takeover: TimeSpan::from_secs(11),
            relay_candidates: 3,
            validity: TimeSpan::from_secs(10),
            contact_rule: ContactRule::AfterPause,
            settle: TimeSpan::from_secs(10),
            list_lag: TimeSpan::from_secs(30),
            loan_span: TimeSpan::from_secs(10),
            drift_ppm: 1_000,
            list_period: TimeSpan::from_secs(5),
            join_patience: TimeSpan::from_secs(5),
            retry_period: TimeSpan::from_secs(2),
            answer_limit: TimeSpan::from_secs(10),
            balance_period: TimeSpan::from_secs(20),
            seeds: Vec::new(),
            mutation: RosterMutation::None,
        }
    }
}

impl RosterSettings {
    /// Returns how long the platform's list must lack a VM before its removal.
    ///
    /// A VM that has just started may not be listed for the list's lag.
    #[must_use]
    pub fn removal_absence(&self) -> TimeSpan {
        self.stretched(self.list_lag + self.list_period)
    }

    /// Returns how long a VM must be silent before its removal.
    ///
    /// A VM that stops running keeps the use of its parts for the validity,
    /// its grants live on for a loan, and news of it may be on its way for
    /// the settle time.
    #[must_use]
    pub fn removal_silence(&self) -> TimeSpan {
        self.stretched(self.validity + self.loan_span + self.settle)
    }

    /// Returns how long a new process waits for the grants of an earlier one.
    #[must_use]
    pub fn rejoin_hold_off(&self) -> TimeSpan {
        self.stretched(self.loan_span)
    }

    fn stretched(&self, span: TimeSpan) -> TimeSpan {
        span.fraction(1_000_000 + 2 * self.drift_ppm, 1_000_000)
    }
}
