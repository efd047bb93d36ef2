//! Types that describe the fleet: configuration, endpoints and requests.

mod account;
mod endpoint;
mod engine;
mod policy;
mod request;
mod service_id;
mod software_version;
mod stated;

pub use account::{AccountPolicy, QuotaUnit};
pub use endpoint::{EndpointEntry, EndpointPhase, HostedModel, InstanceLoad};
pub use engine::{EnginePolicy, ModelProfile};
pub use policy::{CallerLimits, FleetPolicy, RetryRule, RoutePolicy, RouteTarget, ServicePolicy};
pub use request::{ModelTarget, PromptBlock, RequestProfile, TokenDemand};
pub use service_id::ServiceId;
pub use software_version::{SoftwareVersion, SoftwareVersionError};
pub use stated::Stated;
