//! Stand-in for a service that is not a model.
//!
//! Every request except `GET /report` runs once each time it arrives, and its
//! answer echoes it, so that a test can count runs and match each answer with
//! its request.

mod handler;
mod service_faults;
mod service_options;
mod service_server;

pub use handler::{ServiceEcho, ServiceReport};
pub use service_faults::ServiceFaults;
pub use service_options::ServiceOptions;
pub use service_server::ServiceServer;
