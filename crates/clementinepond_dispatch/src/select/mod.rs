//! Choice of the endpoint for one request.

mod caller_patience;
mod engine_choice;
mod part_memory;
mod rendezvous;
mod service_choice;

pub use caller_patience::stream_patience;
pub use engine_choice::{
    AdapterReadiness, EngineCandidate, EngineRequest, EngineVerdict, choose_engine,
    predict_first_token,
};
pub use part_memory::PartMemory;
pub use rendezvous::rendezvous_weight;
pub use service_choice::{ServiceCandidate, ServiceVerdict, choose_service_endpoint};
