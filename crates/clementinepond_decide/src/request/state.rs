//! The requests of one VM.

use super::{RequestStage, RetryBudget};
use clementinepond_types::{EndpointId, RequestTicket};
use std::collections::BTreeMap;

/// Limits on attempts.
#[derive(Debug, Clone)]
pub struct RequestPolicy {
    /// Most attempts for one request.
    pub attempt_limit: u32,
    /// Retries allowed for every 100 requests.
    pub retry_percent: u32,
}

/// The requests of one VM.
#[derive(Debug, Clone)]
pub struct RequestTable {
    pub(super) policy: RequestPolicy,
    pub(super) budget: RetryBudget,
    pub(super) requests: BTreeMap<RequestTicket, RequestStage>,
}

impl RequestTable {
    /// Starts without requests.
    #[must_use]
    pub fn new(policy: RequestPolicy) -> Self {
        Self {
            budget: RetryBudget::new(policy.retry_percent),
            policy,
            requests: BTreeMap::new(),
        }
    }

    /// Returns the number of requests that run.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request runs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns a running request.
    #[must_use]
    pub fn get(&self, ticket: RequestTicket) -> Option<&RequestStage> {
        self.requests.get(&ticket)
    }

    /// Notes the endpoint that was chosen for the latest attempt.
    pub fn note_endpoint(&mut self, ticket: RequestTicket, endpoint: EndpointId) {
        match self.requests.get_mut(&ticket) {
            Some(RequestStage::Dispatched(request)) => request.stage.endpoint = Some(endpoint),
            Some(RequestStage::Answering(request)) => {
                request.stage.dispatched.endpoint = Some(endpoint);
            }
            _ => {}
        }
    }
}
