//! Options of the engine stand-in.

use super::engine_faults::EngineFaults;
use clementinepond_types::{AdapterId, EndpointId, MemorySize, ModelId, TimeSpan};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

/// Model that is ready at the start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartModel {
    /// Name of the model.
    pub model: ModelId,
    /// Version of the model.
    pub version: Box<str>,
    /// Memory it takes.
    pub memory_mib: MemorySize,
}

/// Adapter that is ready at the start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartAdapter {
    /// Name of the adapter.
    pub adapter: AdapterId,
    /// Model that it extends.
    pub model: ModelId,
    /// Memory it takes.
    pub memory_mib: MemorySize,
}

/// Options of the engine stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// Address to listen on; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Name in reports.
    pub endpoint: EndpointId,
    /// Seed of the faults that strike by chance and of answer lengths.
    pub seed: u64,
    /// Incarnation of the first process; taken from the clock when absent.
    pub incarnation: Option<u64>,
    /// Accelerator memory.
    pub memory_mib: MemorySize,
    /// Requests that run at the same time.
    pub batch_size: usize,
    /// Requests that wait; more are refused.
    pub queue_length: usize,
    /// Time of one token.
    pub token_time: TimeSpan,
    /// Time by which each running request lengthens a token.
    pub token_time_per_running: TimeSpan,
    /// Time to read one prompt token that is not in the cache.
    pub prefill_time: TimeSpan,
    /// Prompt prefixes kept in the cache.
    pub cached_prefixes: usize,
    /// Shortest answer that is not cut by `max_tokens`.
    pub shortest_answer: u32,
    /// Longest answer.
    pub longest_answer: u32,
    /// Time from accepting an order to applying it.
    pub order_time: TimeSpan,
    /// Time to load a model.
    pub load_time: TimeSpan,
    /// Time to load an adapter.
    pub adapter_load_time: TimeSpan,
    /// Time to unload a model after its last request.
    pub unload_time: TimeSpan,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Age up to which a report is given out again; zero for always fresh.
    pub report_lag: TimeSpan,
    /// Time after which a cache event is shown.
    pub cache_event_lag: TimeSpan,
    /// Models ready at the start.
    pub models: Vec<StartModel>,
    /// Adapters ready at the start.
    pub adapters: Vec<StartAdapter>,
    /// Whether a restarted engine has its starting models again.
    pub restart_loaded: bool,
    /// Calls kept for tests.
    pub recorded_calls: usize,
    /// Faults at the start.
    pub faults: EngineFaults,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            endpoint: EndpointId::try_from(Box::<str>::from("engine"))
                .unwrap_or_else(|_| unreachable!("the constant name is valid")),
            seed: 1,
            incarnation: None,
            memory_mib: MemorySize::new(80 * 1024),
            batch_size: 32,
            queue_length: 1_024,
            token_time: TimeSpan::ZERO,
            token_time_per_running: TimeSpan::ZERO,
            prefill_time: TimeSpan::ZERO,
            cached_prefixes: 64,
            shortest_answer: 16,
            longest_answer: 16,
            order_time: TimeSpan::ZERO,
            load_time: TimeSpan::ZERO,
            adapter_load_time: TimeSpan::ZERO,
            unload_time: TimeSpan::ZERO,
            checks_fencing: true,
            report_lag: TimeSpan::ZERO,
            cache_event_lag: TimeSpan::ZERO,
            models: Vec::new(),
            adapters: Vec::new(),
            restart_loaded: false,
            recorded_calls: 4_096,
            faults: EngineFaults::default(),
        }
    }
}
