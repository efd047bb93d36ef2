//! Tests of entry VMs as separate processes in front of stand-ins on real sockets.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test stops at the first error"
)]

mod blocked_suspects;
mod brittle_endpoints;
mod broken_answers;
mod caller_disconnects;
mod configuration;
mod crash_support;
mod crashing_prompts;
mod cut_support;
mod cut_vms;
mod endless_answers;
mod fake_peers;
mod forwarded_requests;
mod graceful_shutdown;
mod large_fleet;
mod peer_updates;
mod refusals;
mod request_path;
mod send_limits;
mod store_restored;
mod stream_versions;
mod support;
mod truncated_streams;
