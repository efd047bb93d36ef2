//! The operator's configuration in force.

use super::{AccountPolicy, EnginePolicy, ServiceId};
use clementinepond_types::TimeSpan;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryRule {
    /// Any number of runs is harmless.
    Idempotent,
    /// At most one run.
    AtMostOnce,
    /// A stream that runs at most once.
    Stream,
    /// A stream that another endpoint may continue after the last event.
    ResumableStream,
}

impl RetryRule {
    /// Tells whether a second run is allowed.
    #[must_use]
    pub const fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Tells whether the answer is a series of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Share of a route's requests that one service takes.
#[derive(Debug, Clone)]
pub struct RouteTarget {
    /// Service.
    pub service: ServiceId,
    /// Weight among the route's targets.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone)]
pub struct RoutePolicy {
    /// Name.
    pub name: Box<str>,
    /// Host that callers name.
    pub host: Box<str>,
    /// Start of the paths that belong to the route.
    pub path_prefix: Box<str>,
    /// Whether requests may run more than once.
    pub retry_rule: RetryRule,
    /// Longest time that a caller is kept waiting.
    pub timeout: TimeSpan,
    /// Time within which an answer (a stream: its first event) is on time.
    pub latency_target: TimeSpan,
    /// Longest pause between two events of a stream that is on time.
    pub pause_target: Option<TimeSpan>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that take the requests.
    pub targets: Vec<RouteTarget>,
    /// Largest number of endpoints that one request is sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_anonymous: bool,
}

/// One service.
#[derive(Debug, Clone)]
pub struct ServicePolicy {
    /// Name.
    pub id: ServiceId,
    /// Connections that an endpoint accepts from all callers together.
    pub connection_limit: Option<u32>,
    /// Engines, when the endpoints are model engines.
    pub engine: Option<EnginePolicy>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a caller may take over a head.
    pub header_timeout: TimeSpan,
    /// Longest time that a connection may stay idle.
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

/// One version of the configuration, whole.
#[derive(Debug, Clone)]
pub struct FleetPolicy {
    /// Version; only ever rises.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RoutePolicy>,
    /// Services.
    pub services: Vec<ServicePolicy>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Client accounts; without any, requests need no key.
    pub accounts: Vec<AccountPolicy>,
}

impl FleetPolicy {
    /// Returns a service.
    #[must_use]
    pub fn service(&self, id: &ServiceId) -> Option<&ServicePolicy> {
        self.services.iter().find(|service| service.id == *id)
    }
}
