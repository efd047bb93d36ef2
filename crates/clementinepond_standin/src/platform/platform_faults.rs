//! Faults that the platform injects.

use crate::fault::FaultRate;
use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// Behaviour of an outage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageKind {
    /// No outage.
    #[default]
    None,
    /// Calls are answered with 503 and have no effect.
    Refusing,
    /// Calls are never answered and have no effect.
    Silent,
    /// Writes take effect, and calls are never answered.
    SilentWithEffect,
}

/// Faults of the platform, which can be changed while it runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Outage, which lasts until this is set to [`OutageKind::None`].
    pub outage: OutageKind,
    /// Delay of each answer; the call takes effect before it.
    pub delay: TimeSpan,
    /// Writes whose answer is lost after they take effect.
    pub lost_write_answers: FaultRate,
    /// Writes that are lost before they take effect.
    pub lost_writes: FaultRate,
    /// Reads whose answer is lost; watches are not affected.
    pub lost_read_answers: FaultRate,
    /// Whether changes of the list of VMs stay hidden.
    pub vm_list_frozen: bool,
}
