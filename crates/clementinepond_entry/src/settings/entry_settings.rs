//! The settings and their defaults.

use clementinepond_types::{DataCentreId, TimeSpan, VmId};
use serde::Deserialize;
use std::net::SocketAddrV4;

/// Addresses that the VM listens on.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Requests of callers.
    pub callers: SocketAddrV4,
    /// Readiness, asked by the balancer.
    pub readiness: SocketAddrV4,
    /// Messages of other VMs, over UDP and TCP.
    pub peers: SocketAddrV4,
    /// Metrics as text.
    pub metrics: SocketAddrV4,
}

/// The platform's store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address.
    pub address: SocketAddrV4,
}

/// Budget for retries, over all VMs together.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Repeats for each request.
    #[serde(deserialize_with = "or_default_ratio")]
    pub ratio: f64,
    /// Repeats allowed beside the ratio.
    #[serde(deserialize_with = "or_default_allowance")]
    pub allowance: f64,
    /// Window in which both are counted, in seconds.
    #[serde(deserialize_with = "or_default_window")]
    pub window_s: f64,
}

/// Orders to endpoints.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderSettings {
    /// Time within which an endpoint must not get orders of two VMs, in milliseconds.
    #[serde(deserialize_with = "or_default_gap")]
    pub holder_gap_ms: f64,
}

/// Planned stops.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShutdownSettings {
    /// Time from the signal to stop until the process is killed, in seconds.
    #[serde(deserialize_with = "or_default_grace")]
    pub grace_s: f64,
}

/// Messages between VMs.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Time between two news of a VM in a small fleet, in milliseconds.
    #[serde(deserialize_with = "or_default_interval")]
    pub interval_ms: f64,
}

/// What the VM can carry; duties go to the larger VMs first.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapacitySettings {
    /// Bandwidth of the VM's link, in megabits a second.
    pub link_mbps: Option<f64>,
    /// Share of a processor core.
    pub cpu_share: Option<f64>,
}

/// Settings of one entry VM.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Addresses.
    pub listen: ListenSettings,
    /// Store.
    pub store: StoreSettings,
    /// Repeats.
    pub retry: RetrySettings,
    /// Orders.
    pub orders: OrderSettings,
    /// Stops.
    pub shutdown: ShutdownSettings,
    /// Peers.
    pub peers: PeerSettings,
    /// What the VM can carry.
    #[serde(default)]
    pub capacity: CapacitySettings,
}

impl CapacitySettings {
    /// Returns the bandwidth of the link in whole megabits a second; a VM that
    /// states none has enough.
    #[must_use]
    pub fn link(&self) -> u32 {
        self.link_mbps.map_or(u32::MAX, |mbps| mbps as u32)
    }
}

impl OrderSettings {
    /// Returns the gap between two holders.
    #[must_use]
    pub fn holder_gap(&self) -> TimeSpan {
        TimeSpan::from_millis(self.holder_gap_ms as u64)
    }
}

impl ShutdownSettings {
    /// Returns the time between signal and kill.
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
    // A platform that states no retry budget gets the brief's share of a fifth.
    or_default_ratio = 0.2;
    // Requests; covers the first failures of a small fleet.
    or_default_allowance = 20.0;
    // Seconds.
    or_default_window = 10.0;
    // Milliseconds; the usual lease of an endpoint's holder.
    or_default_gap = 3_000.0;
    // Seconds; the usual grace of process managers.
    or_default_grace = 8.0;
    // Milliseconds; bounds how stale the load of other VMs is.
    or_default_interval = 150.0;
}
