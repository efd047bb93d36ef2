//! Configuration: the newest accepted version, relayed between VMs.
//!
//! One relay a data centre watches the platform. A new version goes down a
//! tree of the data centre's VMs, as the difference to the version before
//! where the receiver has that. Heartbeats carry a digest; a VM that sees a
//! larger version in one asks the sender for it, which repairs every gap and
//! reaches data centres without the platform. A smaller version never
//! replaces a larger one.
//!
//! Withdrawn keys are a set that only grows until a later configuration
//! lacks the key. The set spreads in the same messages, in any order, and a
//! relay writes it to the platform when that can be reached.

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
