//! Identifiers, quantities and clock values shared by the crates.
//!
//! Each kind of identifier and quantity is a type of its own, so that a token
//! rate cannot be passed where a memory size is expected. `Display` prints the
//! unit of a quantity that has one.

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
