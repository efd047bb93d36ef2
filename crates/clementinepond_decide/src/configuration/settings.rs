//! Settings of the configuration part.

use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// What a VM does about keys while it hears from nobody.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutOffPolicy {
    /// Goes on accepting the keys that it knows.
    #[default]
    KeepServing,
    /// Refuses all keys after this time without news.
    RefuseAfter(TimeSpan),
}

/// Guard that a test switches off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ConfigurationMutation {
    /// All guards work.
    #[default]
    None,
    /// Replaces a version by an older one.
    AcceptOlder,
    /// Applies a text that does not match its digest.
    SkipDigestCheck,
    /// Forgets a withdrawn key when any configuration lacks it.
    ForgetUnrecorded,
    /// Does not pass withdrawn keys on.
    SkipWithdrawalForwarding,
    /// Takes the first text heard after a start.
    ApplyFirstReceived,
    /// Does not ask peers for versions that it lacks.
    SkipRepair,
}

/// Times and counts of the configuration part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct ConfigurationSettings {
    /// Receivers to which one VM passes a message on.
    pub fan_out: usize,
    /// Longest wait for the platform and peers before the first version applies.
    pub boot_wait: TimeSpan,
    /// Time between two tries at the platform or a peer.
    pub retry_period: TimeSpan,
    /// Time after which a call without answer counts as lost.
    pub answer_limit: TimeSpan,
    /// Longest wait for copies before a withdrawal is acknowledged.
    pub copy_wait: TimeSpan,
    /// Copies on other VMs that a withdrawal waits for.
    pub copies: usize,
    /// Most withdrawn keys that are kept.
    pub withdrawn_limit: usize,
    /// Earlier versions kept to send differences.
    pub history: usize,
    /// What a VM does about keys while it hears from nobody.
    pub cut_off: CutOffPolicy,
    /// Guard switched off by a test.
    #[serde(skip)]
    pub mutation: ConfigurationMutation,
}

impl Default for ConfigurationSettings {
    fn default() -> Self {
        Self {
            fan_out: 8,
            boot_wait: TimeSpan::from_secs(3),
            retry_period: TimeSpan::from_secs(1),
            answer_limit: TimeSpan::from_secs(10),
            copy_wait: TimeSpan::from_secs(1),
            copies: 2,
            withdrawn_limit: 1_024,
            history: 4,
            cut_off: CutOffPolicy::KeepServing,
            mutation: ConfigurationMutation::None,
        }
    }
}
