//! Messages and snapshots exchanged with peers.

mod snapshot;
mod socket;

pub(crate) use snapshot::{fetch_newer_snapshots, serve_snapshots};
pub(crate) use socket::{PeerSocket, run_heartbeats, run_receiver};
