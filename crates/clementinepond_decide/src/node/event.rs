//! What can happen to a VM.

use crate::request::RequestEvent;
use crate::route::{EndpointProfile, EndpointReport, PrefixHash};
use clementinepond_types::EndpointId;
use std::collections::BTreeMap;

/// What can happen to a VM.
#[derive(Debug, Clone)]
pub enum NodeEvent {
    /// Something happened to a request.
    Request(RequestEvent),
    /// The configured endpoints changed.
    EndpointsConfigured(BTreeMap<EndpointId, EndpointProfile>),
    /// An endpoint reported.
    EndpointReported {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its report.
        report: EndpointReport,
    },
    /// An endpoint's prefix cache changed.
    CacheChanged {
        /// The endpoint.
        endpoint: EndpointId,
        /// Number of the event at the endpoint.
        sequence: u64,
        /// The prefix.
        prefix: PrefixHash,
        /// Whether it was stored; otherwise it was evicted.
        stored: bool,
    },
    /// Time passed.
    Tick {
        /// Random number for new choices.
        seed: u64,
    },
}
