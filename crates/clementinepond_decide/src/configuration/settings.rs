//! Settings of the configuration part.

use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// Policy for keys while a VM has contact neither to other VMs nor to the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CutOffPolicy {
    /// Continues to accept the known keys.
    #[default]
    KeepServing,
    /// Refuses all keys after this time without contact.
    RefuseAfter(TimeSpan),
}

/// Guard that a mutation test disables to show that an invariant depends on it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ConfigurationMutation {
    /// All guards are enabled.
    #[default]
    None,
    /// Replaces a version with an older one.
    AcceptOlder,
    /// Adopts a complete text that does not match its digest.
    SkipDigestCheck,
    /// Removes a withdrawn key when any configuration lacks it.
    ForgetUnrecorded,
    /// Neither forwards withdrawn keys nor requests them from peers.
    SkipWithdrawalForwarding,
    /// Applies the first version received after a start.
    ApplyFirstReceived,
    /// Does not request newer versions that peers announce.
    SkipRepair,
}

/// Times and counts of the configuration part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, rename_all = "kebab-case", deny_unknown_fields)]
pub struct ConfigurationSettings {
    /// Largest number of VMs to which one VM forwards a message.
    pub fan_out: usize,
    /// Longest wait for the platform's answer before the first version is applied.
    pub boot_wait: TimeSpan,
    /// Time between two attempts to reach the platform or a peer.
    pub retry_period: TimeSpan,
    /// Time after which an unanswered platform call counts as lost; watches have their own
    /// timeout.
    pub answer_limit: TimeSpan,
    /// Longest wait for other VMs before the operator is answered.
    pub copy_wait: TimeSpan,
    /// Number of other VMs whose acknowledgement a withdrawal waits for.
    pub copies: usize,
    /// Largest number of withdrawn keys up to which operator requests are accepted.
    pub withdrawn_limit: usize,
    /// Number of earlier versions kept as bases of differences.
    pub history: usize,
    /// Policy for keys without contact to other VMs and the platform.
    pub cut_off: CutOffPolicy,
    /// Guard that a test disables.
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
