//! State of the configuration specification.

use crate::explore::Bounds;
use derive_more::Display;
use std::collections::BTreeSet;

/// Limits of the exploration.
#[derive(Debug, Display, Clone, Copy)]
#[display("{vms} VMs, {versions} versions, {restarts} restarts, {cuts} cuts, {outages} outages")]
pub(super) struct ConfigurationBounds {
    pub(super) vms: usize,
    pub(super) versions: u8,
    pub(super) restarts: u8,
    pub(super) cuts: u8,
    pub(super) outages: u8,
}

impl ConfigurationBounds {
    pub(super) fn of(bounds: Bounds) -> Self {
        match bounds {
            Bounds::Small => Self {
                vms: 2,
                versions: 3,
                restarts: 1,
                cuts: 1,
                outages: 1,
            },
            Bounds::Large => Self {
                vms: 3,
                versions: 3,
                restarts: 2,
                cuts: 1,
                outages: 1,
            },
        }
    }
}

/// Text that a VM holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct HeldText {
    /// Version, or zero.
    pub(super) version: u8,
    /// Whether the text is the one that the operator wrote as this version.
    pub(super) genuine: bool,
}

/// One VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct VmState {
    pub(super) newest: HeldText,
    pub(super) in_force: HeldText,
    /// Largest version that this process had in force.
    pub(super) highest: u8,
    pub(super) booting: bool,
    /// Version that peers had in force when this process started.
    pub(super) floor: u8,
    pub(super) cut_off: bool,
}

/// Message that may arrive at any VM, any number of times.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum UpdateMessage {
    #[display("version {_0}")]
    Whole(u8),
    #[display("the difference from version {_0} to the next")]
    Difference(u8),
}

/// State of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct FleetState {
    pub(super) platform: u8,
    pub(super) platform_away: bool,
    pub(super) messages: BTreeSet<UpdateMessage>,
    pub(super) vms: Vec<VmState>,
    pub(super) restarts_left: u8,
    pub(super) cuts_left: u8,
    pub(super) outages_left: u8,
}
