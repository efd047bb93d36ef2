//! I/O layer of an entry VM, which accepts client requests in front of a hosted fleet.
//!
//! `clementinepond_dispatch` makes the decisions and `clementinepond_platform` defines
//! the platform's formats; this crate performs the I/O: sockets, timers and tasks. An
//! entry VM runs on one thread, so its state is shared without locks, and a borrow of
//! the state must never be held across an `await`.

mod caller;
mod clock;
mod endpoint;
mod forward;
mod http;
mod log_sink;
mod node;
mod peer;
mod placement_lease;
mod run;
mod settings;
mod store;

pub use log_sink::{LogSink, init_logging};
pub use run::{EntryError, run_entry};
pub use settings::{EntrySettings, SettingsError, entry_reference_page};
