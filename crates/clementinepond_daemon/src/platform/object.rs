//! JSON bodies of the platform API.

use clementinepond_decide::roster::VmPresence;
use clementinepond_types::{DataCentreId, ObjectVersion, VmId};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Object with its version; in a change that deletes it, the value is `null`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PlatformObject {
    pub(crate) name: Box<str>,
    pub(crate) version: ObjectVersion,
    pub(crate) value: Value,
}

/// Page of objects or changes, complete up to `version`.
#[derive(Debug, Deserialize)]
pub(crate) struct ObjectPage {
    pub(crate) version: ObjectVersion,
    #[serde(alias = "changes")]
    pub(crate) objects: Vec<PlatformObject>,
}

/// Entry of the list of VMs, which may be out of date.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct ListedVm {
    pub(crate) vm: VmId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) state: VmPresence,
}

/// Page with the list of VMs.
#[derive(Debug, Deserialize)]
pub(crate) struct VmPage {
    pub(crate) vms: Vec<ListedVm>,
}
