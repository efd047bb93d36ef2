//! Messages and snapshots exchanged with peers.

mod snapshot;
mod socket;
mod traffic;

pub(crate) use snapshot::{fetch_newer_snapshots, serve_snapshots};
pub(crate) use socket::{PeerSocket, run_heartbeats, run_receiver};
pub(crate) use traffic::TrafficKind;
