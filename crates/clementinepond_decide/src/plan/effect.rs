//! Effects that placement requests from the I/O layer.

use super::{EndpointAction, OrderNumber, PlanObject, PlanStatus};
use clementinepond_types::{DataCentreId, EndpointId, FencingNumber, LocalTime, ObjectVersion};

/// Effect that the I/O layer must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanEffect {
    /// Reads the plan object; the reply returns as `ReadReplied`.
    Read {
        /// Name of the object.
        data_centre: DataCentreId,
    },
    /// Updates the plan object; the reply returns as `StoreReplied`.
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
        /// Endpoint that receives the order.
        endpoint: EndpointId,
        /// Number of the order.
        number: OrderNumber,
        /// Fencing number of the order.
        fencing_number: FencingNumber,
        /// Load, unload or role change to carry out.
        action: EndpointAction,
        /// Time after which the order must not be sent; the time left until then is
        /// sent with it.
        deadline: LocalTime,
    },
    /// Publishes the plan to operators and to routing.
    Publish {
        /// Current plan.
        status: Box<PlanStatus>,
    },
}
