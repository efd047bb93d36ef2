//! Selection of the endpoint that a request is sent to.

mod engine_choice;
mod prefix_cache_index;
mod rendezvous;
mod service_choice;
mod stream_stall;

pub use engine_choice::{
    AdapterReadiness, EngineCandidate, EngineRequest, EngineVerdict, choose_engine,
    predict_first_token,
};
pub use prefix_cache_index::PrefixCacheIndex;
pub use rendezvous::rendezvous_weight;
pub use service_choice::{ServiceCandidate, ServiceVerdict, choose_service_endpoint};
pub use stream_stall::stream_stall_timeout;
