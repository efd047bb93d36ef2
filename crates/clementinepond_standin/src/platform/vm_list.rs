//! List of VMs with a lag.

use clementinepond_types::{DataCentreId, TimeSpan, VmId};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use tokio::time::Instant;

/// State of a VM in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is being stopped.
    Leaving,
}

/// VM in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntry {
    /// VM that the entry describes.
    pub vm: VmId,
    /// Data centre that the VM belongs to.
    pub data_centre: DataCentreId,
    /// Whether the VM runs or is being stopped.
    pub state: VmState,
}

/// List of VMs whose changes become visible after a lag.
#[derive(Debug)]
pub(super) struct VmList {
    lag: TimeSpan,
    visible: Vec<VmEntry>,
    pending: VecDeque<(Instant, Vec<VmEntry>)>,
}

impl VmList {
    pub(super) fn new(vms: Vec<VmEntry>, lag: TimeSpan) -> Self {
        Self {
            lag,
            visible: vms,
            pending: VecDeque::new(),
        }
    }

    pub(super) fn replace(&mut self, vms: Vec<VmEntry>) {
        let due = Instant::now() + self.lag.duration();
        self.pending.push_back((due, vms));
    }

    /// Returns the newest list, whether or not it is visible yet.
    pub(super) fn latest(&self) -> &[VmEntry] {
        self.pending.back().map_or(&self.visible, |(_, vms)| vms)
    }

    /// Returns the visible list; `frozen` keeps the one returned last.
    pub(super) fn visible(&mut self, frozen: bool) -> &[VmEntry] {
        let now = Instant::now();
        while !frozen && self.pending.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, vms)) = self.pending.pop_front() {
                self.visible = vms;
            }
        }
        &self.visible
    }
}
