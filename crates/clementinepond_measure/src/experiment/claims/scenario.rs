//! Parameters and fault rates of one simulation run.

use clementinepond_decide::claim::{ClaimMutation, ClaimSettings};
use clementinepond_types::TimeSpan;

/// Frequency of each injected fault.
#[derive(Debug, Clone, Copy)]
pub struct FaultPlan {
    /// Messages lost, in thousandths.
    pub lost_messages: u32,
    /// Messages delivered twice, in thousandths.
    pub duplicated_messages: u32,
    /// Messages delayed by up to 1 s, in thousandths.
    pub delayed_messages: u32,
    /// Platform answers lost after the write took effect, in thousandths.
    pub lost_answers: u32,
    /// Mean time between pauses of a VM, in milliseconds; zero for none.
    pub pause_every_ms: u64,
    /// Mean time between restarts of a VM, in milliseconds; zero for none.
    pub restart_every_ms: u64,
    /// Mean time between platform outages, in milliseconds; zero for none.
    pub outage_every_ms: u64,
    /// Mean time between partitions of a data centre, in milliseconds; zero for none.
    pub partition_every_ms: u64,
    /// Mean time between releases of a VM that then leaves the roster, in milliseconds; zero for
    /// none.
    pub release_every_ms: u64,
    /// Runs whose outcome the I/O layer does not learn, in thousandths.
    pub unknown_outcomes: u32,
}

impl FaultPlan {
    /// No faults.
    pub const NONE: Self = Self {
        lost_messages: 0,
        duplicated_messages: 0,
        delayed_messages: 0,
        lost_answers: 0,
        pause_every_ms: 0,
        restart_every_ms: 0,
        outage_every_ms: 0,
        partition_every_ms: 0,
        release_every_ms: 0,
        unknown_outcomes: 0,
    };

    /// Every fault, far more often than in production.
    pub const HARSH: Self = Self {
        lost_messages: 20,
        duplicated_messages: 50,
        delayed_messages: 20,
        lost_answers: 50,
        pause_every_ms: 3_000,
        restart_every_ms: 12_000,
        outage_every_ms: 12_000,
        partition_every_ms: 9_000,
        release_every_ms: 8_000,
        unknown_outcomes: 20,
    };
}

/// Parameters of one simulation run.
#[derive(Debug, Clone)]
pub struct ClaimScenario {
    /// Seed of the random number generator.
    pub seed: u64,
    /// New keys per second; retries and duplicate calls are extra.
    pub calls_per_second: u64,
    /// Time during which new calls arrive, from the start of the run.
    pub arrivals: TimeSpan,
    /// Time after the last arrival for open calls to finish.
    pub drain: TimeSpan,
    /// Frequency of injected faults.
    pub faults: FaultPlan,
    /// Whether to run the baseline, in which every claim is a separate platform write.
    pub is_baseline: bool,
    /// Answered calls that the caller retries anyway, in thousandths.
    pub retries: u32,
    /// Settings of the claim logic under test.
    pub settings: ClaimSettings,
}

impl ClaimScenario {
    /// Returns a run without faults.
    #[must_use]
    pub fn fault_free(seed: u64, calls_per_second: u64, arrivals: TimeSpan) -> Self {
        Self {
            seed,
            calls_per_second,
            arrivals,
            drain: TimeSpan::from_secs(10),
            faults: FaultPlan::NONE,
            is_baseline: false,
            retries: 100,
            settings: ClaimSettings::default(),
        }
    }

    /// Returns a run with every fault.
    #[must_use]
    pub fn harsh(seed: u64, calls_per_second: u64, arrivals: TimeSpan) -> Self {
        let settings = ClaimSettings {
            shard_count: 12,
            run_limit: TimeSpan::from_secs(8),
            report_limit: TimeSpan::from_secs(30),
            ask_limit: TimeSpan::from_secs(10),
            commit_interval: TimeSpan::from_secs(2),
            ..ClaimSettings::default()
        };
        Self {
            faults: FaultPlan::HARSH,
            drain: TimeSpan::from_secs(20),
            retries: 300,
            settings,
            ..Self::fault_free(seed, calls_per_second, arrivals)
        }
    }

    /// Returns a run without faults whose shards fill up and whose dated keys expire.
    #[must_use]
    pub fn small_limits(seed: u64, calls_per_second: u64, arrivals: TimeSpan) -> Self {
        let settings = ClaimSettings {
            shard_count: 4,
            ask_limit: TimeSpan::from_secs(5),
            dated_retention: TimeSpan::from_secs(3),
            clock_margin: TimeSpan::from_millis(100),
            commit_interval: TimeSpan::from_secs(1),
            object_limit: 20_000,
            answer_budget: 2_000,
            ..ClaimSettings::default()
        };
        Self {
            drain: TimeSpan::from_secs(20),
            retries: 700,
            settings,
            ..Self::fault_free(seed, calls_per_second, arrivals)
        }
    }

    /// Returns the same run with one guard disabled.
    #[must_use]
    pub fn mutated(mut self, mutation: ClaimMutation) -> Self {
        self.settings.mutation = mutation;
        self
    }
}
