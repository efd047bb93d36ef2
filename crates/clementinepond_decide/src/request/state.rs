//! Table of the requests of one VM.

use super::{RequestStage, RetryBudget};
use clementinepond_types::{EndpointId, RequestTicket};
use std::collections::BTreeMap;

/// Limits on attempts and retries.
#[derive(Debug, Clone)]
pub struct RequestPolicy {
    /// Number of attempts after one admission at which a failed one is no longer retried.
    pub attempt_limit: u32,
    /// Retries that every 100 requests add to the budget.
    pub retry_percent: u32,
}

/// Requests of one VM that have not ended.
#[derive(Debug, Clone)]
pub struct RequestTable {
    pub(super) policy: RequestPolicy,
    pub(super) budget: RetryBudget,
    pub(super) requests: BTreeMap<RequestTicket, RequestStage>,
}

impl RequestTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(policy: RequestPolicy) -> Self {
        Self {
            budget: RetryBudget::new(policy.retry_percent),
            policy,
            requests: BTreeMap::new(),
        }
    }

    /// Returns the number of requests that have not ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether every request has ended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns a request that has not ended.
    #[must_use]
    pub fn get(&self, ticket: RequestTicket) -> Option<&RequestStage> {
        self.requests.get(&ticket)
    }

    /// Records the endpoint that was chosen for the latest attempt.
    pub fn record_endpoint(&mut self, ticket: RequestTicket, endpoint: EndpointId) {
        match self.requests.get_mut(&ticket) {
            Some(RequestStage::Dispatched(request)) => request.stage.endpoint = Some(endpoint),
            Some(RequestStage::Answering(request)) => {
                request.stage.dispatched.endpoint = Some(endpoint);
            }
            _ => {}
        }
    }
}
