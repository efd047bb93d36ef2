//! Requests that crash the endpoints that run them.
//!
//! What crashes an endpoint is the request itself, which a caller sends again and again,
//! or a block of its prompt, which any number of different requests may contain. Both are
//! suspects: properties by which a VM recognizes a request before it is sent. The runs
//! that are lost in a crash are evidence against their suspects; VMs exchange it. A run
//! that completes clears its suspects, since a request that crashes endpoints never
//! completes. A suspect that is left as the explanation of several crashes in a row is
//! blocked by all VMs.

mod blocked_table;
mod completion_log;
mod crash_evidence;
mod crash_guard;
mod crash_suspect;

pub use blocked_table::BlockedSuspect;
pub use crash_evidence::{EndpointCrash, LostRun};
pub use crash_guard::{CrashEffect, CrashEvent, CrashGuard, SendVerdict};
pub use crash_suspect::{CrashSuspect, ParseSuspectError, suspects_of};
