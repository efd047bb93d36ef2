//! The configuration in force at this VM.

mod fleet_view;
mod in_force;
mod key;
mod snapshot;

pub(crate) use fleet_view::fleet_view;
pub(crate) use in_force::ConfigurationInForce;
pub use key::key_digest;
pub(crate) use key::{KeyLookup, find_key};
pub(crate) use snapshot::ConfigurationSnapshot;
