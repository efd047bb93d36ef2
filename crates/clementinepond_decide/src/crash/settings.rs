//! Settings of the crash guard.

use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// How VMs share observations and decide where a suspect may run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashSharing {
    /// Each VM decides from its own observations; nothing is broadcast or stored.
    Isolated,
    /// Each VM decides by itself from the observations of all VMs.
    Broadcast,
    /// One VM decides for the fleet from the observations of all VMs.
    #[default]
    Arbiter,
}

/// Rule that a test disables, to show that the test fails without the rule.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CrashMutation {
    /// Every rule is enabled.
    #[default]
    None,
    /// A broken connection counts as a confirmed loss.
    TrustBrokenStream,
    /// A completed run does not clear its request.
    KeepCleared,
    /// Several copies of a suspect run at once.
    RunCopies,
    /// A verdict never expires.
    KeepVerdict,
    /// A release by an operator is undone by an older verdict.
    ForgetRelease,
}

/// Settings of the crash guard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CrashSettings {
    /// How VMs share observations and decide where a suspect may run.
    pub sharing: CrashSharing,
    /// Whether suspects need a permit; if not, they run like other requests.
    pub separate: bool,
    /// Number of confirmed losses at which a request can be blocked.
    pub loss_limit: usize,
    /// Evidence at which a request with `loss_limit` losses is blocked, in thousandths of
    /// a bit; 0 requires none.
    pub evidence_threshold: u64,
    /// Observation time added to `crash_window`, with one assumed crash, to estimate an
    /// endpoint's own crash rate.
    pub crash_interval: TimeSpan,
    /// Time for which a loss is kept, if longer than `suspect_lifetime`; also the time
    /// over which an endpoint's known crashes count for its crash rate.
    pub crash_window: TimeSpan,
    /// Number of unexplained crashes beyond those of the best candidate at which an
    /// endpoint gets no suspects.
    pub flaky_limit: usize,
    /// Run time before a loss at or above which a request is a less likely culprit.
    pub fresh_limit: TimeSpan,
    /// Largest number of less likely culprits that share one endpoint.
    pub group_limit: usize,
    /// Time for which a suspect is kept after a loss was added or its evidence rose.
    pub suspect_lifetime: TimeSpan,
    /// Time after which a verdict or a release expires.
    pub verdict_lifetime: TimeSpan,
    /// Time after which a pending loss is confirmed; also the `retry_after` of a run that
    /// got no permit before its deadline.
    pub pending_limit: TimeSpan,
    /// Time after which a permit expires without renewal.
    pub permit_limit: TimeSpan,
    /// Wait before the first permit of a suspect, in which other VMs report runs of the
    /// same request that are in flight.
    pub report_wait: TimeSpan,
    /// Time for which a completed run can clear its request of a later loss.
    pub sound_lifetime: TimeSpan,
    /// Largest number of later losses that completed runs can clear a request of.
    pub sound_credits: usize,
    /// Largest number of completed runs that are kept.
    pub sound_limit: usize,
    /// Wait for an answer of the arbiter before a VM decides by itself; also the wait
    /// of a VM that became the arbiter before its first permit.
    pub arbiter_wait: TimeSpan,
    /// Time between retries of a permit request.
    pub resend_interval: TimeSpan,
    /// Shortest time between two broadcasts of one VM.
    pub announce_gap: TimeSpan,
    /// Shortest time between two reads or writes of the verdict object.
    pub store_gap: TimeSpan,
    /// Largest number of suspects that are kept.
    pub suspect_limit: usize,
    /// Largest number of verdicts that are kept.
    pub verdict_limit: usize,
    /// Rule that a test disabled.
    #[serde(skip)]
    pub mutation: CrashMutation,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            sharing: CrashSharing::Arbiter,
            separate: true,
            loss_limit: 2,
            evidence_threshold: 0,
            crash_interval: TimeSpan::from_secs(21_600),
            crash_window: TimeSpan::from_secs(3_600),
            flaky_limit: 2,
            fresh_limit: TimeSpan::from_secs(1),
            group_limit: 4,
            suspect_lifetime: TimeSpan::from_secs(1_800),
            verdict_lifetime: TimeSpan::from_secs(86_400),
            pending_limit: TimeSpan::from_secs(10),
            permit_limit: TimeSpan::from_secs(5),
            report_wait: TimeSpan::from_millis(30),
            sound_lifetime: TimeSpan::from_secs(600),
            sound_credits: 2,
            sound_limit: 8_192,
            arbiter_wait: TimeSpan::from_secs(2),
            resend_interval: TimeSpan::from_millis(200),
            announce_gap: TimeSpan::from_millis(10),
            store_gap: TimeSpan::from_secs(1),
            suspect_limit: 4_096,
            verdict_limit: 1_024,
            mutation: CrashMutation::None,
        }
    }
}
