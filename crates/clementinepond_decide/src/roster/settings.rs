//! Settings of the roster.

use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// Evidence of contact that a VM needs in order to keep using its parts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ContactRule {
    /// No contact for a VM that ran without pause; contact with the platform or one
    /// member after a pause.
    #[default]
    AfterPause,
    /// Contact with the platform or any other member within the validity.
    AnyPeer,
    /// Contact with the platform or half of the other members, rounded up,
    /// within the validity.
    Majority,
}

/// Safety check that a test disables to show that it is needed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RosterMutation {
    /// All checks are enabled.
    #[default]
    None,
    /// Releases parts that are still in use.
    ReleaseBeforeStop,
    /// Removes a VM as soon as the platform's list lacks it.
    RemoveWithoutHoldOff,
    /// Removes a VM although its heartbeats arrive.
    RemoveDespiteHeartbeat,
    /// Uses parts after a pause without contact.
    UseAfterPause,
    /// Requires no contact while the own table lists no other VM.
    TrustWhenAlone,
    /// Takes over the parts of an earlier process at once.
    JoinWithoutHoldOff,
    /// Uses parts again while the outcome of their release is unknown.
    ResumeOnUnknown,
    /// Uses parts that an unanswered update would assign.
    UseOnUnknown,
    /// Replaces a table by an older one.
    AcceptOlder,
    /// Releases a fleet share that members still use.
    ShareBeforeStop,
}

/// Settings of the roster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct RosterSettings {
    /// Time between two rounds of probes.
    pub heartbeat_period: TimeSpan,
    /// Members probed per round, besides relay candidates and other data
    /// centres.
    pub fan_out: usize,
    /// Time without contact after which a member no longer counts as live.
    pub suspicion: TimeSpan,
    /// Time without contact after which the next relay candidate takes over.
    pub relay_silence: TimeSpan,
    /// Time without platform contact of a relay after which the next candidate
    /// takes over.
    pub relay_takeover: TimeSpan,
    /// Number of relay candidates.
    pub relay_candidates: usize,
    /// Time for which a VM that stops running may keep using its parts.
    pub validity: TimeSpan,
    /// Evidence of contact needed to use parts.
    pub contact_rule: ContactRule,
    /// Time after which an update of one member has reached all connected ones.
    pub settle: TimeSpan,
    /// Upper bound of the lag of the platform's list.
    pub list_lag: TimeSpan,
    /// Upper bound of the lifetime of a grant or loan of parts.
    pub loan_span: TimeSpan,
    /// Upper bound of the difference of two clocks' rates, in parts per
    /// million; hold-offs are extended by twice this value.
    pub drift_ppm: u64,
    /// Time between two reads of the platform's list.
    pub list_period: TimeSpan,
    /// Time after which a VM that requested to be added writes itself into the
    /// table.
    #[serde(rename = "join-patience")]
    pub join_timeout: TimeSpan,
    /// Time between two attempts to reach the platform.
    pub retry_period: TimeSpan,
    /// Time after which a call to the platform counts as unanswered.
    pub answer_limit: TimeSpan,
    /// Time between two checks whether this VM should release a portion of its
    /// parts.
    pub balance_period: TimeSpan,
    /// Addresses of VMs to contact while no other member is live.
    pub seeds: Vec<Box<str>>,
    /// Safety check that a test disables.
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
            join_timeout: TimeSpan::from_secs(5),
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
    /// A VM that has just started may be missing from the list for `list_lag`, and
    /// the list is read every `list_period`.
    #[must_use]
    pub fn removal_absence(&self) -> TimeSpan {
        self.with_drift_margin(self.list_lag + self.list_period)
    }

    /// Returns how long a VM must not be seen before its removal.
    ///
    /// A VM that stops running may use its parts for `validity`, its grants last
    /// for `loan_span`, and an update about it reaches all members within `settle`.
    #[must_use]
    pub fn removal_silence(&self) -> TimeSpan {
        self.with_drift_margin(self.validity + self.loan_span + self.settle)
    }

    /// Returns how long a new process waits for the grants of an earlier one to
    /// expire.
    #[must_use]
    pub fn rejoin_hold_off(&self) -> TimeSpan {
        self.with_drift_margin(self.loan_span)
    }

    fn with_drift_margin(&self, span: TimeSpan) -> TimeSpan {
        span.fraction(1_000_000 + 2 * self.drift_ppm, 1_000_000)
    }
}
