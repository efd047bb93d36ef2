//! What can happen to placement.

use super::{
    ComputeLoad, EndpointReport, EndpointRole, OrderNumber, PlacementCatalogue, PlanObject, WriteId,
};
use crate::port::{ReadReply, StoreReply};
use clementinepond_types::{DataCentreId, EndpointId, ModelId, VmId};
use std::collections::{BTreeMap, BTreeSet};

/// What the settings say of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Role of the endpoint.
    pub role: EndpointRole,
}

/// Answer of an endpoint to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The endpoint took the order.
    Accepted,
    /// The endpoint refused a fencing number.
    Refused,
    /// The endpoint has no memory for it.
    NoMemory,
    /// No answer came.
    Unknown,
}

/// What can happen to placement.
#[derive(Debug, Clone)]
pub enum PlanEvent {
    /// Time passed.
    Tick {
        /// Random number, used as the nonce of an acquisition.
        seed: u64,
    },
    /// An endpoint's report arrived.
    ReportReceived {
        /// The report.
        report: EndpointReport,
    },
    /// The configuration or the platform's list names an endpoint.
    EndpointListed {
        /// Endpoint.
        endpoint: EndpointId,
        /// What is said of it.
        spec: EndpointSpec,
    },
    /// An endpoint has left.
    EndpointGone {
        /// Endpoint.
        endpoint: EndpointId,
    },
    /// A newer configuration is in force.
    CatalogueChanged {
        /// What operators want placed.
        catalogue: Box<PlacementCatalogue>,
    },
    /// The offered load of a model in this data centre was measured.
    DemandObserved {
        /// Model.
        model: ModelId,
        /// Load offered, served or not.
        load: ComputeLoad,
    },
    /// Models that are ready in the data centres that can be reached.
    PeersObserved {
        /// Ready models of each reachable data centre but this one.
        ready: BTreeMap<DataCentreId, BTreeSet<ModelId>>,
    },
    /// The VMs of this data centre changed.
    RosterChanged {
        /// Members.
        members: BTreeSet<VmId>,
    },
    /// A read of the plan object was answered, or a watch reported it.
    ReadReplied {
        /// The answer.
        reply: ReadReply<PlanObject>,
    },
    /// A conditional update of the plan object was answered.
    StoreReplied {
        /// Write that it answers, from [`PlanObject::write_id`].
        write: WriteId,
        /// The answer.
        reply: StoreReply<PlanObject>,
    },
    /// An order was answered.
    OrderReplied {
        /// Endpoint.
        endpoint: EndpointId,
        /// Number of the order.
        number: OrderNumber,
        /// The answer.
        reply: OrderReply,
    },
    /// This VM shuts down and gives up the lease.
    Release,
}
