//! Events that placement handles.

use super::{
    ComputeLoad, EndpointReport, EndpointRole, OrderNumber, PlacementCatalogue, PlanObject, WriteId,
};
use crate::port::{ReadReply, StoreReply};
use clementinepond_types::{DataCentreId, EndpointId, ModelId, VmId};
use std::collections::{BTreeMap, BTreeSet};

/// Configured properties of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether the engine refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Phases of a request that the endpoint serves.
    pub role: EndpointRole,
}

/// Reply of an endpoint to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The endpoint accepted the order.
    Accepted,
    /// The endpoint refused the order's fencing number.
    Refused,
    /// The endpoint has not enough memory for the load.
    NoMemory,
    /// The order was not answered, so its outcome is unknown.
    Unknown,
}

/// Event that placement handles.
#[derive(Debug, Clone)]
pub enum PlanEvent {
    /// Time has passed.
    Tick {
        /// Random number, used as the nonce of an acquisition.
        seed: u64,
    },
    /// A report of an endpoint has arrived.
    ReportReceived {
        /// Report of the endpoint, possibly an old one.
        report: EndpointReport,
    },
    /// The configuration or the platform's list names an endpoint.
    EndpointListed {
        /// Endpoint listed.
        endpoint: EndpointId,
        /// Configured properties.
        spec: EndpointSpec,
    },
    /// An endpoint has left.
    EndpointGone {
        /// Endpoint that has left.
        endpoint: EndpointId,
    },
    /// A newer configuration is in force.
    CatalogueChanged {
        /// Models, adapters and exceptions of the configuration.
        catalogue: Box<PlacementCatalogue>,
    },
    /// The offered load of a model in this data centre was measured.
    DemandObserved {
        /// Model requested.
        model: ModelId,
        /// Offered load, whether served or not.
        load: ComputeLoad,
    },
    /// The ready models of the reachable data centres were observed.
    PeersObserved {
        /// Ready models of each reachable data centre except this one.
        ready: BTreeMap<DataCentreId, BTreeSet<ModelId>>,
    },
    /// The roster of this data centre has changed.
    RosterChanged {
        /// VMs of this data centre.
        members: BTreeSet<VmId>,
    },
    /// A read of the plan object was answered, or a watch reported it.
    ReadReplied {
        /// Object found, or why there is none.
        reply: ReadReply<PlanObject>,
    },
    /// A conditional update of the plan object was answered.
    StoreReplied {
        /// Write that was answered, from [`PlanObject::write_id`].
        write: WriteId,
        /// Result of the conditional update.
        reply: StoreReply<PlanObject>,
    },
    /// An order was answered.
    OrderReplied {
        /// Endpoint that received the order.
        endpoint: EndpointId,
        /// Number of the order.
        number: OrderNumber,
        /// Reply of the endpoint.
        reply: OrderReply,
    },
    /// This VM is shutting down and releases the lease.
    Release,
}
