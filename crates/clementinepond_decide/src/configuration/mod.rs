//! Configuration: distribution of the newest version and of withdrawn keys.
//!
//! One relay per data centre watches the platform. It sends a new version through a
//! tree of the data centre's VMs, as a difference to the previous version where it
//! holds that. Heartbeats carry a digest. A VM that receives a digest with a larger
//! version requests that version from the sender. This repairs every gap and also
//! reaches data centres that cannot reach the platform. A smaller version never
//! replaces a larger one.
//!
//! Withdrawn keys form a set to which keys are only added, until a later configuration
//! lacks a key. VMs exchange the set directly, in any order, and a relay records it in
//! the platform when the platform is reachable.

mod content;
mod delta;
mod digest;
mod effect;
mod event;
mod message;
mod reduce;
mod settings;
mod state;
mod tree;
mod watch;
mod withdrawal;
mod withdrawn;

pub use delta::ContentDelta;
pub use digest::{ConfigurationDigest, ContentDigest, WithdrawnDigest};
pub use effect::ConfigurationEffect;
pub use event::ConfigurationEvent;
pub use message::{ConfigurationMessage, ContentUpdate};
pub use reduce::reduce;
pub use settings::{ConfigurationMutation, ConfigurationSettings, CutOffPolicy};
pub use state::{ConfigurationState, ConfigurationStatus};
pub use withdrawn::{WithdrawalEntry, WithdrawalRecord, WithdrawalRefusal, WithdrawnSet};
