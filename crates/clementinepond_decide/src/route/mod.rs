//! Routing: choice of the endpoint that a request is sent to.
//!
//! An endpoint's score is the expected wait of a request: the requests of its
//! last report, the requests sent to it since that report, the prefill unless
//! the prefix is cached, the transfer of an adapter that is not resident, and
//! the distance to its data centre. Reports lag, so if every VM took the best
//! score, all would send to the same endpoint. The choice is made between two
//! random candidates instead and, if any candidates cache the prefix, a random
//! one of those.

mod choose;
mod endpoint_state;
mod prefix_index;
mod query;
mod settings;
mod table;

pub use endpoint_state::{EndpointReport, EndpointState, ModelReplica, ReplicaState};
pub use prefix_index::{PrefixHash, PrefixIndex};
pub use query::{RouteError, RouteQuery, RouteTarget};
pub use settings::RouteSettings;
pub use table::{EndpointProfile, EndpointRole, RouteTable};
