//! Identity of a VM process and of its updates.

use clementinepond_types::{DataCentreId, VmId};
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Random number that a VM process draws when it starts.
#[derive(
    Debug,
    Display,
    FromStr,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct IncarnationId(u64);

impl IncarnationId {
    /// Wraps the drawn number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Identifies one update of a table; unique among all VM processes.
#[derive(
    Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[display("{incarnation}.{number}")]
pub struct UpdateNonce {
    /// Process that wrote the update.
    pub incarnation: IncarnationId,
    /// Number of the update within the process.
    pub number: u64,
}

/// Identity of the local VM process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnIdentity {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Address that other VMs connect to.
    pub address: Box<str>,
    /// Incarnation of this process.
    pub incarnation: IncarnationId,
}
