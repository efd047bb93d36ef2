//! Values that several parts exchange with the platform's object API.

mod object_reply;

pub use object_reply::{ReadReply, StoreReply, VersionedObject};
