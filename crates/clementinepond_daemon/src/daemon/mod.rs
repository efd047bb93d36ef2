//! Startup and graceful shutdown of a VM.

mod error;
mod listener;
mod no_delay_listener;
mod node_settings;
mod running;

pub use error::DaemonError;
pub use running::RunningDaemon;
