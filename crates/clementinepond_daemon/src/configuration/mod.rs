//! The configuration in force at this VM.

mod edge;
mod key;
mod snapshot;

pub(crate) use edge::{ConfigurationEdge, run_configuration};
pub use key::key_digest;
pub(crate) use key::{KeyLookup, find_key};
pub(crate) use snapshot::ConfigurationSnapshot;
