//! Messages between VMs and the table of peers.

mod fetch_schedule;
mod forwarder;
mod link_budget;
mod message;
mod origin_holders;
mod peer_table;
mod permit_owner;
mod relay;

pub use fetch_schedule::FetchSchedule;
pub use link_budget::LinkBudget;
pub use message::{
    AccountUsage, AdapterLocation, BlockedReport, CompletionReport, CrashReport, EntryChange,
    EntryUpdate, LimitReport, LostRunReport, ModelDemand, PeerEnvelope, PeerHeartbeat, PeerMessage,
    PermitReply, PlacementUpdate, RunUpdate, SentRun,
};
pub use peer_table::{PeerState, PeerTable, RemoteUsage, SMALL_FLEET_MAX_VMS};
pub use relay::{direct_copies, divide_recipients};
