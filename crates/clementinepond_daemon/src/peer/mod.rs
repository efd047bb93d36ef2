//! Messages between VMs, over nng.
//!
//! Each VM pulls from one listening socket and pushes to one socket for each
//! VM that it talks to. A message that cannot be sent at once is dropped; the
//! protocols above repeat what matters.

mod envelope;
mod listener;
mod sender;

pub(crate) use listener::{PeerListener, open_peer_listener};
pub(crate) use sender::PeerSender;
