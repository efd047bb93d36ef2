//! Messages between VMs, over nng.
//!
//! Each VM receives on one pull socket and has one push socket for each VM that
//! it sends to. A message that cannot be buffered at once is dropped; the
//! protocols built on top send again what they need.

mod envelope;
mod listener;
mod sender;

pub(crate) use listener::{PeerListener, open_peer_listener};
pub(crate) use sender::PeerSender;
