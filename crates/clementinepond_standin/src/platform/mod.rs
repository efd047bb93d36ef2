//! Stand-in for the platform's object API.
//!
//! It keeps versioned objects in memory; a watch waits until an object of its
//! kind changes. Faults can be changed while the platform runs: outages, delays,
//! calls lost before or after they take effect, and a frozen list of VMs. The
//! list of VMs can also lag.

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
