//! Settings of routing.

use clementinepond_types::TimeSpan;

/// Settings of routing.
#[derive(Debug, Clone)]
pub struct RouteSettings {
    /// Wait that one running request adds.
    pub running_cost: TimeSpan,
    /// Wait that one queued request adds.
    pub queued_cost: TimeSpan,
    /// Prefill time of 1,000 prompt tokens.
    pub prefill_cost: TimeSpan,
    /// Transfer time of an adapter that is not resident.
    pub adapter_cost: TimeSpan,
    /// Added wait of another data centre.
    pub distance_cost: TimeSpan,
    /// Time without a report after which an endpoint gets no new work.
    pub report_timeout: TimeSpan,
    /// Time for which an endpoint gets no new work after a failed attempt.
    pub failure_backoff: TimeSpan,
    /// Prefix hashes kept for each endpoint.
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
