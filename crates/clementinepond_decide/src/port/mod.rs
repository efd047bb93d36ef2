//! Replies of the platform's object API, as several reducers receive them.

mod object_reply;

pub use object_reply::{ReadReply, StoreReply, VersionedObject};
