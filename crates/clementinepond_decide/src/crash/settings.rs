//! Settings of the crash guard.

use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// Who decides where a suspect may run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashSharing {
    /// Each VM alone, without telling the others.
    Isolated,
    /// Each VM alone, with the knowledge of all.
    Broadcast,
    /// One VM of the fleet, with the knowledge of all.
    #[default]
    Arbiter,
}

/// Guard that a test switches off, to show that a measure needs it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum CrashMutation {
    /// Every guard is on.
    #[default]
    None,
    /// A broken connection counts as a confirmed loss.
    TrustBrokenStream,
    /// A completed run clears nothing.
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
    /// Who decides where a suspect may run.
    pub sharing: CrashSharing,
    /// Whether suspects run apart from each other.
    pub separate: bool,
    /// Confirmed losses before a request can be refused.
    pub loss_limit: usize,
    /// Evidence before a request is refused, in thousandths of a bit.
    pub evidence_threshold: u64,
    /// Mean time between crashes of a sound endpoint.
    pub crash_interval: TimeSpan,
    /// Time over which an endpoint's crashes are counted.
    pub crash_window: TimeSpan,
    /// Crashes beyond those of the soundest candidate that bar an endpoint.
    pub flaky_limit: usize,
    /// Run time at a loss beyond which a request is a less likely culprit.
    pub fresh_limit: TimeSpan,
    /// Less likely culprits that may run on one endpoint together.
    pub group_limit: usize,
    /// Time for which a suspect is remembered.
    pub suspect_lifetime: TimeSpan,
    /// Time for which a verdict stands.
    pub verdict_lifetime: TimeSpan,
    /// Time after which a pending loss counts as confirmed.
    pub pending_limit: TimeSpan,
    /// Time for which a permit stands without renewal.
    pub permit_limit: TimeSpan,
    /// Wait for reports of other copies before the first permit of a suspect.
    pub report_wait: TimeSpan,
    /// Time for which a completed run speaks for its request.
    pub sound_lifetime: TimeSpan,
    /// Most completed requests that are remembered.
    pub sound_limit: usize,
    /// Wait for the arbiter before a VM decides alone.
    pub arbiter_wait: TimeSpan,
    /// Time between repeats of a request for a permit.
    pub resend_interval: TimeSpan,
    /// Shortest time between two broadcasts of one VM.
    pub announce_gap: TimeSpan,
    /// Shortest time between two writes of the verdicts.
    pub store_gap: TimeSpan,
    /// Most suspects that are remembered.
    pub suspect_limit: usize,
    /// Most verdicts that are kept.
    pub verdict_limit: usize,
    /// Guard that is off.
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
