//! Health of endpoints from the outcomes of requests.
//!
//! Health checks of the endpoints themselves may be false either way, so only
//! what happens to requests and connections counts. An endpoint that fails
//! clearly more often than its peers is set aside for a span that doubles
//! with each relapse; afterwards one request at a time tries it.

mod endpoint_health;
mod health_table;

pub use endpoint_health::{EndpointHealth, EndpointOutcome};
pub use health_table::{HealthGrade, HealthTable};
