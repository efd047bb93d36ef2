//! Objects and lists of the platform.

use clementinepond_types::{DataCentreId, ObjectVersion, VmId};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One object; the value is `null` in a change that deletes it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PlatformObject {
    pub(crate) name: Box<str>,
    pub(crate) version: ObjectVersion,
    pub(crate) value: Value,
}

/// Answer of a watch.
#[derive(Debug, Deserialize)]
pub(crate) struct ChangePage {
    pub(crate) version: ObjectVersion,
    pub(crate) changes: Vec<PlatformObject>,
}

/// Whether the platform believes that a VM runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum VmPresence {
    /// It runs.
    Live,
    /// It was told to stop.
    Leaving,
}

/// One VM of the lagging list.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct ListedVm {
    pub(crate) vm: VmId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) state: VmPresence,
}

/// Answer of the list of VMs.
#[derive(Debug, Deserialize)]
pub(crate) struct VmPage {
    pub(crate) vms: Vec<ListedVm>,
}
