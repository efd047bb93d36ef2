//! Weights and limits of routing.

use clementinepond_types::TimeSpan;

/// Weights and limits of routing.
#[derive(Debug, Clone)]
pub struct RouteSettings {
    /// Wait that each running request adds.
    pub running_cost: TimeSpan,
    /// Wait that each queued request adds.
    pub queued_cost: TimeSpan,
    /// Prefill time of 1,000 prompt tokens.
    pub prefill_cost: TimeSpan,
    /// Transfer time of an adapter that is not resident.
    pub adapter_cost: TimeSpan,
    /// Wait that an endpoint in another data centre adds.
    pub distance_cost: TimeSpan,
    /// Time without a report after which an endpoint is used only if there is no other.
    pub report_timeout: TimeSpan,
    /// Time after a failed attempt in which an endpoint is used only if there is no
    /// other.
    pub failure_backoff: TimeSpan,
    /// Largest number of prefix hashes kept per endpoint.
    pub prefix_limit: usize,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            running_cost: TimeSpan::from_millis(10),
            queued_cost: TimeSpan::from_millis(150),
            prefill_cost: TimeSpan::from_millis(200),
            adapter_cost: TimeSpan::from_millis(15),
            distance_cost: TimeSpan::from_millis(3),
            report_timeout: TimeSpan::from_secs(5),
            failure_backoff: TimeSpan::from_secs(2),
            prefix_limit: 4096,
        }
    }
}
