//! Objects and lists of the platform.

use clementinepond_decide::roster::VmPresence;
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

/// Objects or changes, and the version up to which they are complete.
#[derive(Debug, Deserialize)]
pub(crate) struct ObjectPage {
    pub(crate) version: ObjectVersion,
    #[serde(alias = "changes")]
    pub(crate) objects: Vec<PlatformObject>,
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
