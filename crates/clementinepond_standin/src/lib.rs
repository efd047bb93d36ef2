//! Stand-ins for the external components of the system, and a load generator.
//!
//! [`platform`] stores versioned objects, [`engine`] serves models and
//! [`service`] echoes requests. Each one listens on a TCP socket, injects
//! configurable faults while it runs, and records the calls it received.
//! [`load`] sends caller traffic and checks model answers against
//! [`engine::expected_text`] and service answers against the request body.

pub mod engine;
pub mod fault;
pub mod load;
pub mod network;
pub mod platform;
pub mod record;
pub mod service;

pub use network::StandinError;
