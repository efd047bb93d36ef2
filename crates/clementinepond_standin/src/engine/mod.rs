//! Stand-in for a model engine.
//!
//! An engine serves completions in a continuous batch with priorities, keeps
//! models and adapters in limited memory, applies orders that change it, and
//! reports its state with a configurable lag. Its tokens depend only on the
//! model, the version and the prompt, so a test can compute any answer with
//! [`expected_tokens`], and a resumed answer continues exactly where the
//! interrupted one ended.

mod answer_envelope;
mod batch_queue;
mod cache_event;
mod completion_request;
mod endpoint_report;
mod engine_faults;
mod engine_memory;
mod engine_options;
mod engine_order;
mod engine_process;
mod engine_server;
mod generation;
mod handler;
mod prefix_cache;
mod serving;
mod token_text;

pub use cache_event::{CacheEvent, CacheEventList, CacheOperation};
pub use endpoint_report::{EndpointReport, ReportedAdapter, ReportedModel};
pub use engine_faults::EngineFaults;
pub use engine_memory::ModelState;
pub use engine_options::{EngineOptions, StartAdapter, StartModel};
pub use engine_order::{EngineOrder, EngineRole, OrderAction};
pub use engine_server::EngineServer;
pub use token_text::{answer_length, expected_text, expected_tokens, prefix_hash, prompt_tokens};
