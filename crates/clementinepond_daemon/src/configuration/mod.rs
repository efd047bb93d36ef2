//! Active configuration of this VM.

mod active;
mod fleet_view;
mod key;
mod snapshot;

pub(crate) use active::ActiveConfiguration;
pub(crate) use fleet_view::fleet_view;
pub use key::key_digest;
pub(crate) use key::{KeyLookup, find_key};
pub(crate) use snapshot::ConfigurationSnapshot;
