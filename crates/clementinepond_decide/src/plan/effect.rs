//! What placement asks its edge to do.

use super::{EndpointAction, OrderNumber, PlanObject, PlanStatus};
use clementinepond_types::{DataCentreId, EndpointId, FencingNumber, LocalTime, ObjectVersion};

/// What placement asks its edge to do.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanEffect {
    /// Reads the plan object; the answer comes back as `ReadReplied`.
    Read {
        /// Name of the object.
        data_centre: DataCentreId,
    },
    /// Updates the plan object; the answer comes back as `StoreReplied`.
    Store {
        /// Name of the object.
        data_centre: DataCentreId,
        /// New value.
        object: Box<PlanObject>,
        /// Version that the object must have; zero creates it.
        if_version: ObjectVersion,
    },
    /// Sends an order, unless the deadline has passed.
    Order {
        /// Endpoint that receives it.
        endpoint: EndpointId,
        /// Number of the order.
        number: OrderNumber,
        /// Fencing number of the order.
        fencing_number: FencingNumber,
        /// What it asks for.
        action: EndpointAction,
        /// Moment after which it must not leave; the time left goes with it.
        deadline: LocalTime,
    },
    /// Publishes the plan to operators and to routing.
    Publish {
        /// The plan as it is now.
        status: Box<PlanStatus>,
    },
}
