//! Access to the platform's store: calls, watches and this VM's own entry.

mod blocked_suspects;
mod client;
mod presence;
mod watch;

pub(crate) use blocked_suspects::sync_blocked_suspects;
pub(crate) use client::{StoreClient, StoreFailure, WriteOutcome};
pub(crate) use presence::announce_vm;
pub(crate) use watch::{WatchTarget, run_watch};
