//! Policies and sizes of one run.

use clementinepond_decide::crash::{CrashMutation, CrashSettings, CrashSharing};
use clementinepond_types::TimeSpan;

/// Weight of losses that refuses a request, in thousandths of a bit.
const LIKELIHOOD_THRESHOLD: u64 = 10_000;

/// Ways of guarding that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GuardPolicy {
    /// No guard.
    Unguarded,
    /// Two losses, counted by each VM alone.
    CountAlone,
    /// Two losses, counted by all VMs together.
    CountShared,
    /// Suspects run apart; each VM decides with the knowledge of all.
    ApartBroadcast,
    /// Suspects run apart by permit of one arbiter.
    ApartArbiter,
    /// The same, and the likelihood ratio has to pass a threshold.
    Likelihood,
}

impl GuardPolicy {
    /// Returns the settings of the decision code.
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
            Self::CountAlone => CrashSettings {
                sharing: CrashSharing::Isolated,
                separate: false,
                ..default
            },
            Self::CountShared => CrashSettings {
                sharing: CrashSharing::Broadcast,
                separate: false,
                ..default
            },
            Self::ApartBroadcast => CrashSettings {
                sharing: CrashSharing::Broadcast,
                evidence_threshold: 0,
                ..default
            },
            Self::ApartArbiter => CrashSettings {
                evidence_threshold: 0,
                ..default
            },
            Self::Likelihood => CrashSettings {
                evidence_threshold: LIKELIHOOD_THRESHOLD,
                ..default
            },
        }
    }
}

/// One run of the experiment.
#[derive(Debug, Clone)]
pub struct CrashScenario {
    /// Seed of everything random.
    pub seed: u64,
    /// Length of the run.
    pub length: TimeSpan,
    /// Innocent requests a second.
    pub requests_per_second: u64,
    /// Mean time between own crashes of a sound endpoint, in milliseconds.
    pub crash_every_ms: u64,
    /// Mean time between own crashes of the flaky endpoint, in milliseconds.
    pub flaky_every_ms: u64,
    /// Mean time between broken connections, in milliseconds.
    pub break_every_ms: u64,
    /// Mean time between cuts of a data centre, in milliseconds; zero for none.
    pub cut_every_ms: u64,
    /// Time between two poison requests, in milliseconds; zero for none.
    pub poison_every_ms: u64,
    /// Copies of a poison request that its caller sends at the same moment.
    pub poison_copies: u32,
    /// Messages lost, in thousandths.
    pub lost_messages: u32,
    /// Settings of the decision code.
    pub settings: CrashSettings,
}

impl CrashScenario {
    /// Poison requests beside heavy load and endpoints that crash by themselves.
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

    /// The same run with data centres that lose each other.
    #[must_use]
    pub fn cut(mut self) -> Self {
        self.cut_every_ms = 30_000;
        self
    }

    /// The same run with one guard off.
    #[must_use]
    pub fn mutated(mut self, mutation: CrashMutation) -> Self {
        self.settings.mutation = mutation;
        self
    }
}
