//! Routing: the endpoint that a request is sent to.
//!
//! An endpoint's score is the wait that a request would meet there: the work
//! of its last report, the work sent to it since that report, the prefill
//! that its prefix cache does not save, the transfer of an adapter that is
//! not resident, and the distance to its data centre. Reports lag, so every
//! VM that always took the best score would send to the same endpoint; the
//! choice is made between two random candidates instead.

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
