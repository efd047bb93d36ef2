//! Configuration of the platform stand-in.

use super::platform_faults::PlatformFaults;
use super::vm_list::VmEntry;
use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

/// Options of the platform stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformOptions {
    /// Address to listen on; port 0 selects a free one.
    pub listen: SocketAddr,
    /// Seed of random faults.
    pub seed: u64,
    /// Maximum number of reads and watches per second; 0 for no limit.
    pub reads_per_second: u32,
    /// Maximum number of writes per second; 0 for no limit.
    pub writes_per_second: u32,
    /// Maximum size of a value, in bytes.
    pub value_limit: usize,
    /// Number of latest changes kept for watches.
    pub kept_changes: usize,
    /// Time after which a change of the list of VMs becomes visible.
    pub vm_list_lag: TimeSpan,
    /// Initial list of VMs.
    pub vms: Vec<VmEntry>,
    /// Faults that are active from the start.
    pub faults: PlatformFaults,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            seed: 1,
            reads_per_second: 2_000,
            writes_per_second: 500,
            value_limit: 1024 * 1024,
            kept_changes: 10_000,
            vm_list_lag: TimeSpan::ZERO,
            vms: Vec::new(),
            faults: PlatformFaults::default(),
        }
    }
}
