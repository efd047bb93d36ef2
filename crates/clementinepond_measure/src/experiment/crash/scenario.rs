//! Guard policies and parameters of one run.

use clementinepond_decide::crash::{CrashMutation, CrashSettings, CrashSharing};
use clementinepond_types::TimeSpan;

/// Evidence at which the likelihood policy refuses a request, in thousandths of a bit.
const LIKELIHOOD_THRESHOLD: u64 = 20_000;
/// Crash interval that the likelihood ratio assumes; equals `crash_every_ms` of the scenario.
const LIKELIHOOD_INTERVAL: TimeSpan = TimeSpan::from_secs(300);

/// Guard policy to compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GuardPolicy {
    /// Never refuses a request.
    Unguarded,
    /// Refuses after 2 losses, counted by each VM on its own.
    CountLocal,
    /// Refuses after 2 losses, counted by all VMs together.
    CountShared,
    /// Runs suspect requests separately; each VM decides with the losses that
    /// all VMs broadcast.
    SeparateBroadcast,
    /// Runs suspect requests separately, with a permit of one arbiter.
    SeparateArbiter,
    /// Like `SeparateArbiter`, but a refusal also requires the likelihood ratio
    /// to reach a threshold.
    Likelihood,
}

impl GuardPolicy {
    /// Returns the crash guard settings of the policy.
    #[must_use]
    pub fn settings(self) -> CrashSettings {
        let default = CrashSettings::default();
        match self {
            Self::Unguarded => CrashSettings {
                sharing: CrashSharing::Isolated,
                separate: false,
                loss_limit: usize::MAX,
                ..default
            },
            Self::CountLocal => CrashSettings {
                sharing: CrashSharing::Isolated,
                separate: false,
                ..default
            },
            Self::CountShared => CrashSettings {
                sharing: CrashSharing::Broadcast,
                separate: false,
                ..default
            },
            Self::SeparateBroadcast => CrashSettings {
                sharing: CrashSharing::Broadcast,
                evidence_threshold: 0,
                ..default
            },
            Self::SeparateArbiter => CrashSettings {
                evidence_threshold: 0,
                ..default
            },
            Self::Likelihood => CrashSettings {
                evidence_threshold: LIKELIHOOD_THRESHOLD,
                crash_interval: LIKELIHOOD_INTERVAL,
                ..default
            },
        }
    }
}

/// Parameters of one run.
#[derive(Debug, Clone)]
pub struct CrashScenario {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Simulated length of the run.
    pub length: TimeSpan,
    /// Mean rate of innocent requests, per second.
    pub requests_per_second: u64,
    /// Mean time between spontaneous crashes of a regular endpoint, in
    /// milliseconds; 0 for none.
    pub crash_every_ms: u64,
    /// Mean time between spontaneous crashes of the flaky endpoint, in
    /// milliseconds; 0 for none.
    pub flaky_every_ms: u64,
    /// Mean time between broken connections, in milliseconds; 0 for none.
    pub break_every_ms: u64,
    /// Mean time from the end of one data centre cut to the next, in
    /// milliseconds; 0 for none.
    pub cut_every_ms: u64,
    /// Interval between poison requests, in milliseconds; 0 for none.
    pub poison_every_ms: u64,
    /// Number of concurrent series in which a poison request is sent; they
    /// divide its 20 sends among them, rounded down.
    pub poison_copies: u32,
    /// Probability that a message is lost, in thousandths.
    pub lost_messages: u32,
    /// Settings of the crash guard.
    pub settings: CrashSettings,
}

impl CrashScenario {
    /// Returns a scenario with poison requests, heavy innocent load and
    /// endpoints that crash spontaneously.
    #[must_use]
    pub fn poisoned(seed: u64, policy: GuardPolicy, length: TimeSpan) -> Self {
        Self {
            seed,
            length,
            requests_per_second: 40,
            crash_every_ms: 300_000,
            flaky_every_ms: 40_000,
            break_every_ms: 10_000,
            cut_every_ms: 0,
            poison_every_ms: 25_000,
            poison_copies: 1,
            lost_messages: 10,
            settings: policy.settings(),
        }
    }

    /// Adds data centres that are cut off from the others for a while.
    #[must_use]
    pub fn cut(mut self) -> Self {
        self.cut_every_ms = 30_000;
        self
    }

    /// Sets a mutation that disables one rule of the crash guard.
    #[must_use]
    pub fn mutated(mut self, mutation: CrashMutation) -> Self {
        self.settings.mutation = mutation;
        self
    }
}
