//! Settings of an entry VM and their defaults.

use clementinepond_types::{DataCentreId, TimeSpan, VmId};
use serde::Deserialize;
use std::net::SocketAddrV4;

/// Addresses on which the VM listens; port 0 takes a free port.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers' requests.
    pub callers: SocketAddrV4,
    /// Address for the load balancer's readiness probe.
    pub readiness: SocketAddrV4,
    /// Address for messages (UDP) and snapshot requests (TCP) of other VMs.
    pub peers: SocketAddrV4,
    /// Address at which metrics are served as text.
    pub metrics: SocketAddrV4,
}

/// Access to the platform's store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddrV4,
}

/// Retry budget of each service, shared by all VMs.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries allowed for each request.
    #[serde(deserialize_with = "or_default_ratio")]
    pub ratio: f64,
    /// Retries allowed in each window in addition to the ratio.
    #[serde(deserialize_with = "or_default_allowance")]
    pub allowance: f64,
    /// Window in which requests and retries are counted, in seconds.
    #[serde(deserialize_with = "or_default_window")]
    pub window_s: f64,
}

/// Orders that the lease holder sends to endpoints.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderSettings {
    /// Minimum time between orders of two VMs to an endpoint, in milliseconds.
    #[serde(deserialize_with = "or_default_gap")]
    pub holder_gap_ms: f64,
}

/// Graceful shutdown.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShutdownSettings {
    /// Time from the stop signal until the process is killed, in seconds.
    #[serde(deserialize_with = "or_default_grace")]
    pub grace_s: f64,
}

/// Messages between VMs.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Interval between a VM's heartbeats in a small fleet, in milliseconds.
    #[serde(deserialize_with = "or_default_interval")]
    pub interval_ms: f64,
}

/// Capacity of the VM; larger VMs are preferred as lease holders and watchers.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapacitySettings {
    /// Bandwidth of the VM's link, in megabits per second; `None` counts as enough.
    pub link_mbps: Option<f64>,
    /// Processor cores available to the VM; `None` counts as enough.
    pub cpu_share: Option<f64>,
}

/// Settings of one entry VM.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the VM, unique in the fleet.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Addresses on which the VM listens.
    pub listen: ListenSettings,
    /// Access to the platform's store.
    pub store: StoreSettings,
    /// Retry budget of each service.
    pub retry: RetrySettings,
    /// Orders that the lease holder sends to endpoints.
    pub orders: OrderSettings,
    /// Graceful shutdown.
    pub shutdown: ShutdownSettings,
    /// Messages between VMs.
    pub peers: PeerSettings,
    /// Capacity of the VM; unknown by default.
    #[serde(default)]
    pub capacity: CapacitySettings,
}

impl CapacitySettings {
    /// Returns the bandwidth of the link in whole megabits per second; [`u32::MAX`] if it is
    /// unknown.
    #[must_use]
    pub fn link(&self) -> u32 {
        self.link_mbps.map_or(u32::MAX, |mbps| mbps as u32)
    }
}

impl OrderSettings {
    /// Returns the minimum time between orders of two VMs to an endpoint.
    #[must_use]
    pub fn holder_gap(&self) -> TimeSpan {
        TimeSpan::from_millis(self.holder_gap_ms as u64)
    }
}

impl ShutdownSettings {
    /// Returns the time from the stop signal until the process is killed.
    #[must_use]
    pub fn grace(&self) -> TimeSpan {
        TimeSpan::from_millis((self.grace_s * 1e3) as u64)
    }
}

macro_rules! null_defaults {
    ($($(#[$doc:meta])* $name:ident = $default:expr;)+) => {$(
        $(#[$doc])*
        fn $name<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
            Ok(Option::<f64>::deserialize(deserializer)?.unwrap_or($default))
        }
    )+};
}

null_defaults! {
    // A platform that states no retry budget gets the specified share of a fifth.
    or_default_ratio = 0.2;
    // Retries; covers the first failures of a small fleet.
    or_default_allowance = 20.0;
    // Seconds.
    or_default_window = 10.0;
    // Milliseconds; the usual time for which an endpoint accepts one holder only.
    or_default_gap = 3_000.0;
    // Seconds; the usual shutdown grace of process managers.
    or_default_grace = 8.0;
    // Milliseconds; limits the age of the known load of other VMs.
    or_default_interval = 150.0;
}
