//! Stand-ins for what surrounds the system, and a load tool.
//!
//! [`platform`] keeps versioned objects, [`engine`] serves models and
//! [`service`] is a plain service. Each listens on a real socket, can be made
//! to fail while it runs, and records what it saw. [`load`] sends caller
//! traffic and checks each answer against [`engine::expected_tokens`].

pub mod engine;
pub mod fault;
pub mod load;
pub mod network;
pub mod platform;
pub mod record;
pub mod service;

pub use network::StandinError;
