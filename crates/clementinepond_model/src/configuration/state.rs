//! State of the configuration specification.

use crate::explore::Bounds;
use derive_more::Display;
use std::collections::BTreeSet;

/// Bounds of one exploration: sizes, and how often each kind of step may happen.
#[derive(Debug, Display, Clone, Copy)]
#[display(
    "{vms} VMs, {versions} versions, {restarts} restarts, {disconnections} disconnections, {outages} outages"
)]
pub(super) struct ConfigurationBounds {
    pub(super) vms: usize,
    pub(super) versions: u8,
    pub(super) restarts: u8,
    pub(super) disconnections: u8,
    pub(super) outages: u8,
}

impl ConfigurationBounds {
    pub(super) fn of(bounds: Bounds) -> Self {
        match bounds {
            Bounds::Small => Self {
                vms: 2,
                versions: 3,
                restarts: 1,
                disconnections: 1,
                outages: 1,
            },
            Bounds::Large => Self {
                vms: 3,
                versions: 3,
                restarts: 2,
                disconnections: 1,
                outages: 1,
            },
        }
    }
}

/// Configuration text on a VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct HeldText {
    /// Version; zero without a text.
    pub(super) version: u8,
    /// Whether the text is what the operator wrote as this version.
    pub(super) genuine: bool,
}

/// One VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct VmState {
    /// Newest text received.
    pub(super) newest: HeldText,
    pub(super) in_force: HeldText,
    /// Largest version that this process has had in force.
    pub(super) highest: u8,
    /// Whether the VM waits for its peers after a restart.
    pub(super) booting: bool,
    /// Oldest version that this process may apply: the newest that connected peers had
    /// in force at its start. A later restart lowers it to what they still have in
    /// force, and a disconnection of any VM resets it to zero.
    pub(super) floor: u8,
    /// Whether the VM can reach neither its peers nor the platform.
    pub(super) disconnected: bool,
}

/// Message that may arrive at any VM, any number of times.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum UpdateMessage {
    #[display("version {_0}")]
    Complete(u8),
    #[display("the delta from version {_0} to the next")]
    Delta(u8),
}

/// State of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct FleetState {
    /// Newest version on the platform; zero before the first write.
    pub(super) platform_version: u8,
    pub(super) platform_unavailable: bool,
    pub(super) messages: BTreeSet<UpdateMessage>,
    pub(super) vms: Vec<VmState>,
    pub(super) restarts_left: u8,
    pub(super) disconnections_left: u8,
    pub(super) outages_left: u8,
}
