//! Models and adapters that the fleet hosts.

use clementinepond_types::{MemorySize, ModelId};
use serde::{Deserialize, Serialize};

/// Entry of a hosted model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Version of the model to serve.
    pub version: Box<str>,
    /// Accelerator memory of one replica.
    pub memory_mib: MemorySize,
    /// Whether at least one replica stays loaded in each data centre.
    #[serde(default)]
    pub resident: bool,
    /// Number of tokens per second that a replica generates at full load.
    #[serde(default = "default_tokens_per_second")]
    pub tokens_per_second: u64,
    /// Whether a request may be retried after a failure.
    #[serde(default = "yes")]
    pub repeatable: bool,
}

/// Entry of an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterEntry {
    /// Model that the adapter extends.
    pub model: ModelId,
    /// Accelerator memory of one loaded adapter.
    pub memory_mib: MemorySize,
    /// Whether one copy is meant to stay loaded in each data centre; has no effect on
    /// placement.
    #[serde(default)]
    pub resident: bool,
}

const fn default_tokens_per_second() -> u64 {
    400
}

const fn yes() -> bool {
    true
}
