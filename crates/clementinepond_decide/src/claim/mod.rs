//! Claims: at most one run of a keyed, non-idempotent request.
//!
//! A claim key is a hash of the client account, the route and the caller's
//! idempotency key. It selects a shard, the shard a data centre, and that
//! data centre's roster one owner VM. A VM that receives a call asks the owner
//! and runs the call only after the owner granted the claim. The owner grants
//! a claim once it is durable: stored in the shard's platform object, or
//! acknowledged by every replica that the stored object names as a witness.
//!
//! An owner change is two steps. One witness of the former term hands over its
//! records and promises to acknowledge no older term; since a grant needs
//! every replica, one promise ends grants by replicas. Then a conditional
//! update on the object as it was first read writes the new term, so that no
//! write of the former owner can have come between or can follow.
//!
//! Only the VM that was granted a claim can run it, at most once, and only it
//! can report that nothing ran. A claim whose outcome is not reported becomes
//! unknown and is never granted again.

mod assignment;
mod effect;
mod event;
mod key;
mod message;
mod object;
mod owner;
mod placement;
mod record;
mod reduce;
mod replica;
mod requester;
mod settings;
mod shard_step;
mod state;
mod ticket;

pub use effect::{ClaimEffect, ClaimRefusal, UnknownReason};
pub use event::{ClaimEvent, RunOutcome};
pub use key::{BodyFingerprint, ClaimKey, KeyDate, ShardNumber, key_date};
pub use message::{ClaimMessage, CollectedCopies, CopyRecord, CopyState, OwnerReply, RunReport};
pub use object::{RecordBatch, RunningRecord, ShardObject, ShardWitness};
pub use placement::{rank_members, shard_data_centre};
pub use record::{ClaimTicket, RecordedAnswer, RunHolder, VmIncarnation};
pub use reduce::reduce;
pub use settings::{ClaimMutation, ClaimSettings};
pub use state::{ClaimCounts, ClaimState};
