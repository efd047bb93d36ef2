//! Events of the node reducer.

use super::PeerMessage;
use crate::claim::ClaimEvent;
use crate::configuration::ConfigurationEvent;
use crate::crash::CrashEvent;
use crate::limit::AccountTable;
use crate::plan::{EndpointReport, EndpointSpec, PlacementCatalogue, PlanEvent};
use crate::request::RequestEvent;
use crate::roster::RosterEvent;
use crate::route::{EndpointProfile, PrefixHash};
use clementinepond_types::{
    DataCentreId, EndpointId, LocalTime, ModelId, ObjectVersion, PartCount, VmId,
};
use std::collections::BTreeMap;

/// Values that the reducers use from an applied configuration.
#[derive(Debug, Clone)]
pub struct FleetView {
    /// Version of the applied configuration.
    pub version: ObjectVersion,
    /// Endpoints of the fleet.
    pub endpoints: BTreeMap<EndpointId, EndpointProfile>,
    /// Model engines in the data centre of this VM that are not marked as leaving.
    pub engines: BTreeMap<EndpointId, EndpointSpec>,
    /// Rate limits of the enabled client accounts.
    pub accounts: AccountTable,
    /// Models, adapters and exceptions that placement works from.
    pub catalogue: PlacementCatalogue,
    /// Tokens per second that one replica of each model generates.
    pub capacities: BTreeMap<ModelId, u64>,
    /// Configured share of the fleet's limits for the data centre of this VM, of 1,024.
    pub share: PartCount,
    /// Data centres of the fleet.
    pub data_centres: Vec<DataCentreId>,
}

/// Report of an endpoint and the time at which it was requested.
#[derive(Debug, Clone)]
pub struct EndpointObservation {
    /// State of the models and adapters at the endpoint.
    pub report: EndpointReport,
    /// Number of requests that the endpoint is running.
    pub running: u32,
    /// Number of requests queued at the endpoint.
    pub queued: u32,
    /// Time at which the report was requested.
    pub requested_at: LocalTime,
}

/// Event of the node reducer.
#[derive(Debug, Clone)]
pub enum NodeEvent {
    /// An event of a request occurred.
    Request(RequestEvent),
    /// A message from another VM, or from this VM to itself, arrived.
    Received {
        /// VM that sent the message.
        from: VmId,
        /// Message received.
        message: Box<PeerMessage>,
    },
    /// The I/O layer answered an effect of the roster.
    Roster(RosterEvent),
    /// The I/O layer or an operator sent an event of the configuration.
    Configuration(ConfigurationEvent),
    /// The I/O layer answered an effect of the claims.
    Claim(ClaimEvent),
    /// The I/O layer answered an effect of the crash guard.
    Crash(CrashEvent),
    /// The I/O layer answered an effect of placement.
    Plan(PlanEvent),
    /// A configuration was applied.
    FleetChanged(Box<FleetView>),
    /// An endpoint sent a report.
    EndpointReported {
        /// Endpoint that sent the report.
        endpoint: EndpointId,
        /// Report and the time at which it was requested.
        observation: Box<EndpointObservation>,
    },
    /// An entry was added to or removed from an endpoint's prefix cache.
    CacheChanged {
        /// Endpoint that holds the cache.
        endpoint: EndpointId,
        /// Sequence number of the event at the endpoint.
        sequence: u64,
        /// Hash of the prefix.
        prefix: PrefixHash,
        /// Whether the prefix was stored; false when it was evicted.
        stored: bool,
    },
    /// The tick interval has passed.
    Tick {
        /// Random number that seeds the choices made in this tick.
        seed: u64,
    },
    /// A graceful shutdown has begun and the listeners are closed; the VM releases what it holds.
    ShutdownStarted,
}
