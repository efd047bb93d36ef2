//! Faults of the platform.

use crate::fault::FaultRate;
use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// What callers see of an outage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageKind {
    /// No outage.
    #[default]
    None,
    /// Each call is answered with 503 and has no effect.
    Refusing,
    /// No call is answered or has an effect.
    Silent,
    /// Writes take effect and nothing is answered.
    SilentWithEffect,
}

/// Faults that may be changed while the platform runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Outage that goes on until it is taken back.
    pub outage: OutageKind,
    /// Time by which each answer comes later.
    pub delay: TimeSpan,
    /// Writes whose answer is lost after they took effect.
    pub lost_write_answers: FaultRate,
    /// Writes that are lost before they took effect.
    pub lost_writes: FaultRate,
    /// Reads whose answer is lost.
    pub lost_read_answers: FaultRate,
    /// Whether the list of VMs stays as it is.
    pub vm_list_frozen: bool,
}
