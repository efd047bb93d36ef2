//! Admission of a request: route, key, size and quota are checked before it is sent.

use super::local_answer::LocalAnswer;
use crate::clock::BootClock;
use crate::endpoint::OutgoingRequest;
use crate::node::{EntryNode, TrialGuard};
use bytes::Bytes;
use clementinepond_dispatch::fleet::{
    EnginePolicy, QuotaUnit, RequestProfile, RetryRule, RoutePolicy, ServiceId,
};
use clementinepond_dispatch::quota::QuotaVerdict;
use clementinepond_dispatch::select::stream_stall_timeout;
use clementinepond_dispatch::stream::{StreamKey, StreamOrigin};
use clementinepond_dispatch::suspect::{CrashSuspect, suspects_of};
use clementinepond_dispatch::table::{KeyCheck, RouteTable, pick_service};
use clementinepond_platform::{CallerKey, read_key};
use clementinepond_types::{AccountId, LocalTime, TimeSpan};
use http_body_util::{BodyExt, Limited};
use hyper::Version;
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::http::request::Parts;
use rand::RngExt;
use std::rc::Rc;

/// Retry delay stated to the caller while this VM lacks a current configuration, as after
/// a start.
const STARTING_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(700);
/// Maximum retry delay as a fraction of the time left until the caller's deadline.
const RETRY_DELAY_FRACTION: (u64, u64) = (1, 4);

/// Request that passed all checks and may be sent to an endpoint.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    pub(crate) table: Rc<RouteTable>,
    pub(crate) profile: RequestProfile,
    pub(crate) route: RoutePolicy,
    pub(crate) service: ServiceId,
    pub(crate) account: Option<AccountId>,
    /// Priority of the account or the route; 0 is the most urgent.
    pub(crate) rank: u8,
    pub(crate) outgoing: OutgoingRequest,
    pub(crate) arrival: LocalTime,
    pub(crate) deadline: LocalTime,
    /// Units charged to the client account; zero without one.
    pub(crate) cost: f64,
    /// Properties by which requests that crash endpoints are recognized.
    pub(crate) suspects: Box<[CrashSuspect]>,
    /// Held while the request is the only one of this VM with a suspect on trial.
    pub(crate) trial: Option<TrialGuard>,
    /// Origin of the stream that the request takes up; `None` for a new request.
    pub(crate) origin: Option<StreamOrigin>,
}

impl AdmittedRequest {
    pub(crate) fn engine(&self) -> Option<&EnginePolicy> {
        self.table.service(&self.service)?.engine.as_ref()
    }

    pub(crate) fn may_retry(&self) -> bool {
        self.route.retry_rule.may_retry()
    }

    pub(crate) fn is_stream(&self) -> bool {
        self.route.retry_rule.is_stream()
    }

    /// Returns the longest time that the caller waits, over all its tries.
    pub(crate) fn longest_wait(&self) -> TimeSpan {
        let stated = self.profile.timeout.unwrap_or(TimeSpan::ZERO);
        stated.max(self.route.timeout)
    }

    /// Returns the key of the stream that the request begins or takes up; `None` if the
    /// caller does not name it.
    pub(crate) fn stream_key(&self) -> Option<StreamKey> {
        let profile = &self.profile;
        let attempt = match profile.resume_after {
            Some(_) => profile.resumes.as_ref()?,
            None => profile.id.as_ref()?,
        };
        Some(StreamKey::new(self.account.as_ref(), attempt))
    }

    /// Returns the time until which a caller waits that has received no data since
    /// `silent_since`.
    pub(crate) fn wait_deadline(&self, silent_since: LocalTime) -> LocalTime {
        if self.is_stream() {
            self.deadline
                .min(silent_since + stream_stall_timeout(&self.route))
        } else {
            self.deadline
        }
    }

    /// Limits a retry delay to a fraction of the time left until the deadline.
    pub(crate) fn bounded_retry_delay(&self, delay: TimeSpan) -> TimeSpan {
        let left = BootClock::now().until(self.deadline);
        delay.min(left.fraction(RETRY_DELAY_FRACTION.0, RETRY_DELAY_FRACTION.1))
    }
}

/// Checks route, key and size, reads the body and charges the quota.
pub(crate) async fn admit(
    node: &Rc<EntryNode>,
    parts: Parts,
    body: Incoming,
    profile: RequestProfile,
    arrival: LocalTime,
) -> Result<AdmittedRequest, LocalAnswer> {
    let Some(table) = node.table() else {
        return Err(LocalAnswer::NotRun(
            "no_configuration",
            STARTING_RETRY_DELAY,
        ));
    };
    let route = find_route(node, &table, &parts, arrival)?.clone();
    let account = check_key(node, &table, &route, &parts, arrival)?;
    // HTTP/1.0 has no chunks, so a stream that breaks would look complete.
    if route.retry_rule.is_stream() && parts.version == Version::HTTP_10 {
        return Err(LocalAnswer::BadRequest("stream_needs_http_1_1"));
    }
    let timeout = profile.timeout.unwrap_or(route.timeout);
    let deadline = arrival + timeout.min(route.timeout);
    let limits = &table.policy().limits;
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(LocalAnswer::TooLarge);
    }
    let limit = limits.body_bytes;
    let bytes = read_body(body, limit, arrival.until(deadline)).await?;
    let Some(service) = pick_service(&route, rand::rng().random_range(0..u32::MAX)).cloned() else {
        return Err(LocalAnswer::NotRun("no_service", STARTING_RETRY_DELAY));
    };
    let cost = charge(node, &table, account.as_ref(), &profile)?;
    let fingerprint = fingerprint(&parts, account.as_ref(), &bytes);
    let suspects = suspects_of(fingerprint, &profile.blocks);
    let account_rank = account
        .as_ref()
        .and_then(|id| table.account(id))
        .and_then(|policy| policy.priority);
    let rank = account_rank.unwrap_or(route.priority);
    Ok(AdmittedRequest {
        profile,
        service,
        account,
        rank,
        outgoing: OutgoingRequest {
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body: bytes,
        },
        arrival,
        deadline,
        cost,
        suspects,
        trial: None,
        origin: None,
        route,
        table,
    })
}

fn find_route<'a>(
    node: &EntryNode,
    table: &'a RouteTable,
    parts: &Parts,
    now: LocalTime,
) -> Result<&'a RoutePolicy, LocalAnswer> {
    let header = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let Some(host) = parts.uri.host().or(header) else {
        return Err(LocalAnswer::BadRequest("host_missing"));
    };
    match table.route(host, parts.uri.path()) {
        Some(route) => Ok(route),
        // The route may exist in a newer configuration.
        None if node.may_be_outdated(now) => Err(LocalAnswer::NotRun(
            "configuration_stale",
            STARTING_RETRY_DELAY,
        )),
        None => Err(LocalAnswer::NoRoute),
    }
}

/// Returns the account of the request's key; `None` on a route that needs no key.
fn check_key(
    node: &EntryNode,
    table: &RouteTable,
    route: &RoutePolicy,
    parts: &Parts,
    now: LocalTime,
) -> Result<Option<AccountId>, LocalAnswer> {
    let digest = match read_key(&parts.headers) {
        CallerKey::Present(digest) => Some(digest),
        CallerKey::Absent => None,
    };
    match table.check_key(route, digest.as_ref()) {
        KeyCheck::Account(id) => Ok(Some(id.clone())),
        KeyCheck::Open => Ok(None),
        KeyCheck::Unknown if digest.is_some() && node.may_be_outdated(now) => Err(
            LocalAnswer::NotRun("configuration_stale", STARTING_RETRY_DELAY),
        ),
        KeyCheck::Unknown => Err(LocalAnswer::BadKey),
    }
}

/// Reads the body within a size limit and a time limit.
async fn read_body(body: Incoming, limit: usize, time: TimeSpan) -> Result<Bytes, LocalAnswer> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let reading = Limited::new(body, limit).collect();
    match tokio::time::timeout(time.duration(), reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(LocalAnswer::TooLarge)
        }
        Ok(Err(_)) => Err(LocalAnswer::BadRequest("body_broken")),
        Err(_) => Err(LocalAnswer::BadRequest("body_late")),
    }
}

/// Charges the request to its account and returns the units charged.
fn charge(
    node: &EntryNode,
    table: &RouteTable,
    account: Option<&AccountId>,
    profile: &RequestProfile,
) -> Result<f64, LocalAnswer> {
    let Some(policy) = account.and_then(|id| table.account(id)) else {
        return Ok(0.0);
    };
    let units = match (policy.unit, profile.tokens) {
        (QuotaUnit::Tokens, Some(tokens)) => tokens.total(),
        (QuotaUnit::Tokens | QuotaUnit::Requests, _) => policy.default_cost,
    } as f64;
    let now = BootClock::now();
    let mut state = node.state.borrow_mut();
    let is_current = state.peers.is_usage_fresh(now);
    match state.limiter.charge(policy, units, is_current, now) {
        QuotaVerdict::Within => Ok(units),
        QuotaVerdict::Over { retry_after } => {
            let level = state.limiter.level(&policy.id);
            log::info!(
                "event=quota_refused request={} account={} units={units} level={level:.0} rate_per_s={} burst={} is_current={is_current} retry_ms={}",
                profile.id.as_ref().map_or("-", |id| id.as_str()),
                policy.id,
                policy.rate_per_s,
                policy.burst,
                retry_after.millis()
            );
            Err(LocalAnswer::OverQuota(retry_after))
        }
    }
}

fn fingerprint(parts: &Parts, account: Option<&AccountId>, body: &Bytes) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(parts.uri.path().as_bytes());
    hasher.update(account.map_or("", |id| id.as_str()).as_bytes());
    hasher.update(body);
    let digest = *hasher.finalize().as_bytes();
    u64::from_le_bytes(std::array::from_fn(|index| digest[index]))
}

/// Returns whether the answer to a request is a stream that another endpoint may resume.
pub(crate) fn is_resumable(request: &AdmittedRequest) -> bool {
    request.route.retry_rule == RetryRule::ResumableStream
}
