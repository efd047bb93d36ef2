//! Operator's configuration of routes, services and accounts.

use super::{AccountPolicy, EnginePolicy, ServiceId};
use clementinepond_types::TimeSpan;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryRule {
    /// The request may run any number of times.
    Idempotent,
    /// The request must run at most once.
    AtMostOnce,
    /// The request is a stream that must run at most once.
    Stream,
    /// The request is a stream that another endpoint may continue after the last event.
    ResumableStream,
}

impl RetryRule {
    /// Returns whether the request may run a second time.
    #[must_use]
    pub const fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Service that takes a weighted share of a route's requests.
#[derive(Debug, Clone)]
pub struct RouteTarget {
    /// Service ID.
    pub service: ServiceId,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// Route from a host and path prefix to services.
#[derive(Debug, Clone)]
pub struct RoutePolicy {
    /// Name of the route.
    pub name: Box<str>,
    /// Host name in requests.
    pub host: Box<str>,
    /// Prefix of the request paths.
    pub path_prefix: Box<str>,
    /// Whether requests may run more than once.
    pub retry_rule: RetryRule,
    /// Maximum time until the complete answer.
    pub timeout: TimeSpan,
    /// Target time until the answer, or until the first event of a stream.
    pub latency_target: TimeSpan,
    /// Target time between two events of a stream; `None` without a target.
    pub pause_target: Option<TimeSpan>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that take the requests.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of endpoints that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_anonymous: bool,
}

/// Service behind the entry VMs.
#[derive(Debug, Clone)]
pub struct ServicePolicy {
    /// Service ID.
    pub id: ServiceId,
    /// Maximum number of connections that an endpoint accepts from all callers
    /// together; `None` means no limit.
    pub connection_limit: Option<u32>,
    /// Engine settings; `None` when the service's endpoints are not model engines.
    pub engine: Option<EnginePolicy>,
}

/// Limits of what callers may send.
#[derive(Debug, Clone)]
pub struct CallerLimits {
    /// Maximum size of the request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive the request head.
    pub header_timeout: TimeSpan,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: TimeSpan,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: TimeSpan::from_secs(3),
            idle_timeout: TimeSpan::from_secs(15),
        }
    }
}

/// One complete version of the configuration.
#[derive(Debug, Clone)]
pub struct FleetPolicy {
    /// Version number; never decreases.
    pub version: u64,
    /// Routes in the order of the configuration.
    pub routes: Vec<RoutePolicy>,
    /// Services that routes refer to.
    pub services: Vec<ServicePolicy>,
    /// Limits of what callers may send.
    pub limits: CallerLimits,
    /// Client accounts; when empty, requests need no key.
    pub accounts: Vec<AccountPolicy>,
}

impl FleetPolicy {
    /// Returns the service with an ID.
    #[must_use]
    pub fn service(&self, id: &ServiceId) -> Option<&ServicePolicy> {
        self.services.iter().find(|service| service.id == *id)
    }
}
