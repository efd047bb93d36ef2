//! Stand-in for a plain service.
//!
//! Any method below `/` runs once each time it arrives and echoes what it
//! got, so that a test counts runs and recognises its own answer.

mod handler;
mod service_faults;
mod service_options;
mod service_server;

pub use handler::{ServiceEcho, ServiceReport};
pub use service_faults::ServiceFaults;
pub use service_options::ServiceOptions;
pub use service_server::ServiceServer;
