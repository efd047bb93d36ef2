//! Roster: the VMs of a data centre and the parts that they hold.
//!
//! The platform stores one table per data centre. A VM uses only the parts that
//! the newest table known to it assigns to its own incarnation. A VM loses parts
//! in two ways only: it writes their release after it stopped using them, or
//! another VM removes it from the table after a hold-off. A VM with an old table
//! therefore never uses more than the platform's table assigns to it.
//!
//! The share of the fleet that a data centre holds follows the same rule: a data
//! centre releases a portion only after each of its members has stopped using it,
//! and takes only what no data centre holds.
//!
//! Heartbeats are probes and their acknowledgements. They carry table versions,
//! the time since each member was last seen, and configuration digests, so that
//! a VM learns about all others although it probes only a few per round.

mod assign;
mod contact;
mod effect;
mod event;
mod exchange;
mod identity;
mod last_seen;
mod message;
mod plan;
mod reduce;
mod relay;
mod rendezvous;
mod settings;
mod share;
mod state;
mod store;
mod table;
mod watch;

pub use effect::{RosterEffect, UsableParts};
pub use event::{ListedVm, RosterEvent, VmPresence};
pub use identity::{IncarnationId, OwnIdentity, UpdateNonce};
pub use message::{
    JoinRequest, LastSeenList, PeerHeartbeat, RelayContact, RosterDigest, RosterMessage,
};
pub use reduce::reduce;
pub use rendezvous::{first_member, ranked_members, weight};
pub use settings::{ContactRule, RosterMutation, RosterSettings};
pub use state::{MembershipStage, RosterState};
pub use table::{RosterMember, RosterTable, ShareTable, WHOLE_PARTS};
pub use watch::{WatchAnswer, WatchChange};
