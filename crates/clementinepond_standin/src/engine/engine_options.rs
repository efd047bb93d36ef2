//! Configuration of the engine stand-in.

use super::engine_faults::EngineFaults;
use clementinepond_types::{AdapterId, EndpointId, MemorySize, ModelId, TimeSpan};
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr};

/// Model that is ready when the engine starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartModel {
    /// Model to load.
    pub model: ModelId,
    /// Version to load.
    pub version: Box<str>,
    /// Memory that the version occupies, in MiB.
    pub memory_mib: MemorySize,
}

/// Adapter that is ready when the engine starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartAdapter {
    /// Adapter to load.
    pub adapter: AdapterId,
    /// Model that the adapter extends.
    pub model: ModelId,
    /// Memory that the adapter occupies, in MiB.
    pub memory_mib: MemorySize,
}

/// Options of the engine stand-in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// Address to listen on; port 0 selects a free one.
    pub listen: SocketAddr,
    /// Endpoint name in reports and log lines.
    pub endpoint: EndpointId,
    /// Seed of random faults and of answer lengths.
    pub seed: u64,
    /// Incarnation of the first process; derived from the clock if absent.
    pub incarnation: Option<u64>,
    /// Total accelerator memory, in MiB.
    pub memory_mib: MemorySize,
    /// Number of requests that run concurrently.
    pub batch_size: usize,
    /// Number of requests that may wait for a slot; further ones are refused.
    pub queue_length: usize,
    /// Time to generate one token, before the term that depends on the load.
    pub token_time: TimeSpan,
    /// Additional time per token for each running request.
    pub token_time_per_running: TimeSpan,
    /// Prefill time per prompt token; a prompt whose prefix is cached counts as
    /// one token.
    pub prefill_time: TimeSpan,
    /// Number of prompt prefixes that the cache holds.
    pub cached_prefixes: usize,
    /// Minimum answer length before `max_tokens` applies, in tokens.
    pub shortest_answer: u32,
    /// Maximum answer length before `max_tokens` applies, in tokens.
    pub longest_answer: u32,
    /// Time between accepting an order and applying it.
    pub order_time: TimeSpan,
    /// Time to load a model.
    pub load_time: TimeSpan,
    /// Time to load an adapter.
    pub adapter_load_time: TimeSpan,
    /// Time to unload a model once its last request has ended.
    pub unload_time: TimeSpan,
    /// Whether to refuse orders whose fencing number is lower than one received
    /// before.
    pub checks_fencing: bool,
    /// Age up to which a report is reused; zero builds one for each call.
    pub report_lag: TimeSpan,
    /// Time after which a cache event becomes visible.
    pub cache_event_lag: TimeSpan,
    /// Models that are ready when the engine starts.
    pub models: Vec<StartModel>,
    /// Adapters that are ready when the engine starts.
    pub adapters: Vec<StartAdapter>,
    /// Whether a restarted engine also has `models` and `adapters` in memory;
    /// otherwise its memory is empty.
    pub restart_loaded: bool,
    /// Number of latest calls kept in the record; 0 also disables counting runs
    /// by request and by body.
    pub recorded_calls: usize,
    /// Faults that are active from the start.
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
