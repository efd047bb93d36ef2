//! Configuration of the service stand-in.

use super::service_faults::ServiceFaults;
use clementinepond_types::{EndpointId, TimeSpan};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

/// Options of the service stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceOptions {
    /// Address to listen on; port 0 selects a free one.
    pub listen: SocketAddr,
    /// Endpoint name in reports and log lines.
    pub endpoint: EndpointId,
    /// Seed of random faults.
    pub seed: u64,
    /// Incarnation of the first process, at least 1; derived from the clock if
    /// absent.
    pub incarnation: Option<u64>,
    /// Number of requests that run concurrently; further ones wait.
    pub concurrency: usize,
    /// Time that one request takes.
    pub work_time: TimeSpan,
    /// Number of latest calls kept in the record; 0 also disables counting runs
    /// by request and by body.
    pub recorded_calls: usize,
    /// Faults that are active from the start.
    pub faults: ServiceFaults,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            endpoint: EndpointId::try_from(Box::<str>::from("service"))
                .unwrap_or_else(|_| unreachable!("the constant name is valid")),
            seed: 1,
            incarnation: None,
            concurrency: 64,
            work_time: TimeSpan::ZERO,
            recorded_calls: 4_096,
            faults: ServiceFaults::default(),
        }
    }
}
