//! One entry VM in front of a hosted fleet.
//!
//! The decisions come from `clementinepond_dispatch`, the platform's formats
//! from `clementinepond_platform`; this crate holds sockets, timers and tasks.
//! A VM runs on one thread, so its state is shared without locks and is never
//! borrowed across a point where a task waits.

mod caller;
mod clock;
mod endpoint;
mod http;
mod log_sink;
mod node;
mod peer;
mod placement_lease;
mod run;
mod settings;
mod store;

pub use log_sink::{LogSink, open_log};
pub use run::{EntryError, run_entry};
pub use settings::{EntrySettings, SettingsError, entry_reference_page};
