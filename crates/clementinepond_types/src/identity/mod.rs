//! Names of VMs, data centres, client accounts, endpoints, models and requests.

mod key_digest;
mod name;

pub use key_digest::{KeyDigest, KeyDigestError};
pub use name::{
    AccountId, AdapterId, DataCentreId, EndpointId, ModelId, NameError, RequestId, RouteName, VmId,
};
