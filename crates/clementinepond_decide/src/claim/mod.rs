//! Claims: at most one run of a keyed, non-idempotent request.
//!
//! A claim key is a hash of the client account, the route and the caller's
//! idempotency key. It selects a shard, the shard a data centre, and that
//! data centre's roster one owner VM. A VM that receives a call requests the
//! claim from the owner and dispatches the call only after the grant. The owner
//! grants a claim once it is durable: stored in the shard's platform object, or
//! acknowledged by every replica that the stored object names as a witness.
//!
//! A takeover of a shard has two steps. First, one witness of the former term
//! returns its records and promises to acknowledge no older term. Since a grant
//! needs the acknowledgement of every replica, one such promise stops all grants
//! of the former owner through replicas. Then the new owner writes its term with
//! a conditional update against the object version that it read first. A write of
//! the former owner in between makes this update fail, and a later one fails
//! itself.
//!
//! Only the call that was granted a claim may run, at most once, and only its VM
//! can report that it did not run. The owner marks a claim without a report as
//! unknown and does not grant it again while its record is kept.

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
