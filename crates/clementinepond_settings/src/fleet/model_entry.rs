//! Models and adapters that the fleet hosts.

use clementinepond_types::{MemorySize, ModelId};
use serde::{Deserialize, Serialize};

/// One hosted model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Version to serve.
    pub version: Box<str>,
    /// Accelerator memory of one replica.
    pub memory_mib: MemorySize,
    /// Whether one replica stays in each data centre.
    #[serde(default)]
    pub resident: bool,
    /// Tokens a second that one replica generates at full load.
    #[serde(default = "default_tokens_per_second")]
    pub tokens_per_second: u64,
    /// Whether a call may be repeated after a failure.
    #[serde(default = "yes")]
    pub repeatable: bool,
}

/// One adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterEntry {
    /// Model that the adapter extends.
    pub model: ModelId,
    /// Accelerator memory of one copy.
    pub memory_mib: MemorySize,
    /// Whether one copy stays loaded in each data centre.
    #[serde(default)]
    pub resident: bool,
}

const fn default_tokens_per_second() -> u64 {
    400
}

const fn yes() -> bool {
    true
}
