//! Replies of the platform's object API, shared by several reducers.

mod object_reply;

pub use object_reply::{ReadReply, StoreReply, VersionedObject};
