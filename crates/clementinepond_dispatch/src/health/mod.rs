//! Endpoint health, derived from request outcomes (outlier ejection).
//!
//! The endpoints' own health checks may report a failing endpoint as healthy and the
//! reverse, so only the outcomes of requests and connections count. An endpoint that
//! fails clearly more often than its peers is ejected for a time that doubles with each
//! repeated ejection. Afterwards it takes one trial request at a time until one
//! succeeds.

mod endpoint_health;
mod health_table;

pub use endpoint_health::{EndpointHealth, EndpointOutcome};
pub use health_table::{HealthGrade, HealthTable};
