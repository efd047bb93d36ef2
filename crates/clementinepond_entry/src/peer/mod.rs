//! Messages and snapshots exchanged with peers.

mod fetch;
mod snapshot;
mod socket;
mod traffic;

pub(crate) use fetch::{fetch_newer_configuration, fetch_newer_entries};
pub(crate) use snapshot::serve_peers;
pub(crate) use socket::{PeerSocket, run_heartbeats, run_receiver};
pub(crate) use traffic::TrafficKind;
