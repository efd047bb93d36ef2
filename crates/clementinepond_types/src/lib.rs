//! Identifiers, quantities and clock values shared by every crate.
//!
//! Each value that names something or measures something has a type of its
//! own with `Display` and `FromStr`, so that a token rate cannot be passed
//! where a memory size is expected and every message prints its units.

pub mod identity;
pub mod quantity;
pub mod time;

pub use identity::{
    AccountId, AdapterId, DataCentreId, EndpointId, KeyDigest, KeyDigestError, ModelId, NameError,
    RequestId, RouteName, VmId,
};
pub use quantity::{
    Epoch, FencingNumber, MemorySize, ObjectVersion, PartCount, PriorityClass, QuantityError,
    RequestTicket, TokenCount, TokenRate,
};
pub use time::{LocalTime, TimeError, TimeSpan};
