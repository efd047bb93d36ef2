//! Messages between VMs, and the table of known peers.

mod message;
mod peer_table;

pub use message::{
    AccountNews, AdapterPlace, EntryChange, EntryNews, ModelDemand, PeerEnvelope, PeerMessage,
    PeerNews, PlacementNews, RunNews, SentRun,
};
pub use peer_table::{PeerState, PeerTable, RemoteUse, SMALL_FLEET};
