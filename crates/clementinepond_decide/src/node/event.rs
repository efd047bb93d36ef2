//! What can happen to a VM.

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

/// What the parts need of a configuration that comes into force.
#[derive(Debug, Clone)]
pub struct FleetView {
    /// Version of the configuration.
    pub version: ObjectVersion,
    /// All endpoints.
    pub endpoints: BTreeMap<EndpointId, EndpointProfile>,
    /// Engines of the own data centre.
    pub engines: BTreeMap<EndpointId, EndpointSpec>,
    /// Limits of the accounts.
    pub accounts: AccountTable,
    /// What operators want placed.
    pub catalogue: PlacementCatalogue,
    /// Tokens a second that one replica of each model generates.
    pub capacities: BTreeMap<ModelId, u64>,
    /// Share of the fleet's limits that the own data centre shall hold.
    pub share: PartCount,
    /// Data centres of the fleet.
    pub data_centres: Vec<DataCentreId>,
}

/// What an endpoint reported, and when it was asked.
#[derive(Debug, Clone)]
pub struct EndpointObservation {
    /// The report.
    pub report: EndpointReport,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Moment at which the report was asked for.
    pub requested_at: LocalTime,
}

/// What can happen to a VM.
#[derive(Debug, Clone)]
pub enum NodeEvent {
    /// Something happened to a request.
    Request(RequestEvent),
    /// A message of another VM arrived.
    Received {
        /// Sender.
        from: VmId,
        /// Message.
        message: Box<PeerMessage>,
    },
    /// The edge of the roster answered.
    Roster(RosterEvent),
    /// The edge of the configuration answered.
    Configuration(ConfigurationEvent),
    /// The edge of claims answered.
    Claim(ClaimEvent),
    /// The edge of the crash guard answered.
    Crash(CrashEvent),
    /// The edge of placement answered.
    Plan(PlanEvent),
    /// A configuration comes into force.
    FleetChanged(Box<FleetView>),
    /// An endpoint reported.
    EndpointReported {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its report.
        observation: Box<EndpointObservation>,
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
    /// A graceful shutdown began, and no request runs any more.
    ShutdownStarted,
}
