//! Messages and snapshots between VMs.

mod snapshot;
mod socket;

pub(crate) use snapshot::{follow_peers, serve_snapshots};
pub(crate) use socket::{PeerSocket, run_news, run_receiver};
