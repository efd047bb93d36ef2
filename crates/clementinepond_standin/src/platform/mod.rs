//! Stand-in for the platform's object API.
//!
//! An [`ObjectStore`](object_store) holds versioned objects in memory;
//! watches wait until a change of their kind comes. The faults can be changed
//! while it runs: outages, delays, answers lost after the update took effect,
//! and a list of VMs that lags.

mod call_rate_limiter;
mod handler;
mod object_store;
mod platform_faults;
mod platform_options;
mod platform_server;
mod stored_object;
mod vm_list;

pub use platform_faults::{OutageKind, PlatformFaults};
pub use platform_options::PlatformOptions;
pub use platform_server::{CallCounts, PlatformServer};
pub use stored_object::StoredObject;
pub use vm_list::{VmEntry, VmState};
