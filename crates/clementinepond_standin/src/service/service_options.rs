//! Options of the service stand-in.

use super::service_faults::ServiceFaults;
use clementinepond_types::{EndpointId, TimeSpan};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

/// Options of the service stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceOptions {
    /// Address to listen on; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Name in reports.
    pub endpoint: EndpointId,
    /// Seed of the faults that strike by chance.
    pub seed: u64,
    /// Incarnation of the first life; taken from the clock when absent.
    pub incarnation: Option<u64>,
    /// Requests that run at the same time; more wait.
    pub concurrency: usize,
    /// Time of one request.
    pub work_time: TimeSpan,
    /// Calls kept for tests.
    pub recorded_calls: usize,
    /// Faults at the start.
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
