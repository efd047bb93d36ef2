//! Roster: the VMs of a data centre and the parts that they hold.
//!
//! The platform holds one table a data centre. A VM uses the parts that the
//! newest table known to it gives to its own incarnation, and no more. Parts
//! leave a VM in two ways only: the VM writes its own release after it
//! stopped using them, or another VM removes it after a hold-off. So a VM
//! with an old table never uses more than the platform's table gives to it.
//!
//! The share of the fleet that a data centre holds moves by the same rule: a
//! data centre gives up a portion only after each of its members stopped
//! using it, and takes only what no data centre holds.
//!
//! Heartbeats are probes and their acknowledgements. They carry versions, the
//! time since each member was heard, and digests of the configuration, so a
//! bounded number of messages tells every VM about all others.

mod assign;
mod contact;
mod duty;
mod effect;
mod event;
mod exchange;
mod heard;
mod identity;
mod message;
mod plan;
mod reduce;
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
    HeardList, JoinRequest, PeerHeartbeat, PlatformSighting, RosterDigest, RosterMessage,
};
pub use reduce::reduce;
pub use rendezvous::{first_member, ranked_members, weight};
pub use settings::{ContactRule, RosterMutation, RosterSettings};
pub use state::{MembershipStage, RosterState};
pub use table::{RosterMember, RosterTable, ShareTable, WHOLE_PARTS};
pub use watch::{WatchAnswer, WatchChange};
