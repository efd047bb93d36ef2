//! Names of the things that the system serves, limits and runs on.

mod key_digest;
mod name;

pub use key_digest::{KeyDigest, KeyDigestError};
pub use name::{
    AccountId, AdapterId, DataCentreId, EndpointId, ModelId, NameError, RequestId, RouteName, VmId,
};
