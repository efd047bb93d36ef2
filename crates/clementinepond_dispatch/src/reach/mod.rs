//! Reach: which endpoints a VM connects to itself, and which through a peer.
//!
//! A failed connection shows a fault of the endpoint or of the VM's own link to it; a peer
//! that connects to the endpoint at the same time tells them apart. Only the first counts
//! against the endpoint. While the link fails, requests are forwarded through peers.

mod path_table;

pub use path_table::{PathChange, PathTable};
