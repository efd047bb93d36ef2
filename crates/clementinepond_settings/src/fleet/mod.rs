//! Configuration that all VMs share.
//!
//! The platform stores the configuration as one object, which operators change
//! through the administration API. A configuration is checked before it is
//! stored and again before a VM applies it.

mod change;
mod check;
mod client_account;
mod endpoint_entry;
mod exception;
mod fleet_configuration;
mod model_entry;

pub use change::{ChangeError, ConfigurationChange};
pub use client_account::{ClientAccount, KeyEntry};
pub use endpoint_entry::{EndpointEntry, EndpointKind, ServiceRoute};
pub use exception::{ExceptionChange, FleetException};
pub use fleet_configuration::{DataCentreEntry, FleetConfiguration, FleetDefaults};
pub use model_entry::{AdapterEntry, ModelEntry};
