//! Search for an endpoint that answers a request, with retries.

use super::admission::AdmittedRequest;
use super::crash_probe::record_lost_run;
use super::local_answer::LocalAnswer;
use super::send_outcome::SendOutcome;
use super::serve_request::{BLOCKED_RETRY_DELAY, HOLD_CHECK_INTERVAL, MAX_TRIAL_WAIT};
use crate::clock::BootClock;
use crate::endpoint::{
    Attempt, AttemptAnswer, AttemptContent, AttemptFailure, ReuseRule, start_attempt,
};
use crate::http::ConnectFailure;
use crate::node::{EntryNode, PickQuery, PickedEndpoint, RefusalCause, increment};
use clementinepond_dispatch::health::EndpointOutcome;
use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::stream::StreamOrigin;
use clementinepond_dispatch::suspect::SendVerdict;
use clementinepond_platform::AttemptHeaders;
use clementinepond_types::{EndpointId, LocalTime, TimeSpan};
use hyper::StatusCode;
use std::rc::Rc;

/// Stated retry delay while no endpoint holds the model; about a load from disk.
pub(super) const NO_COPY_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(1_000);
/// Retry delay stated to the caller when the endpoint refused the request.
const REFUSED_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(150);
/// Number of unreachable endpoints after which the request fails.
const MAX_UNREACHABLE_ENDPOINTS: u32 = 4;
/// Maximum number of sends to an endpoint that is still loading the adapter.
const MAX_ADAPTER_SENDS: u32 = 3;
/// Delay before a request is sent again to an endpoint that is loading its adapter.
const ADAPTER_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(12);
/// Factor on the expected time to an answer after which a request is retried elsewhere.
const SILENCE_FACTOR: u64 = 5;
/// Minimum time without an answer before a request is sent to another endpoint.
const MIN_SILENCE: TimeSpan = TimeSpan::from_millis(400);
/// Added to the rank of a request that will miss its latency target anyway.
const LATE_PENALTY: u8 = 3;
/// Added to the rank of a request whose latency target leaves time.
const DEFERRED_PENALTY: u8 = 2;
/// Latency target from which a request counts as deferred.
const DEFERRED_LATENCY_TARGET: TimeSpan = TimeSpan::from_millis(1_500);
/// Rank of the most urgent requests; lower ranks are left for more urgent ones.
const BASE_RANK: u8 = 2;

/// Answer of which the head has arrived.
#[derive(Debug)]
pub(crate) struct StartedAnswer {
    pub(crate) answer: AttemptAnswer,
    pub(crate) picked: PickedEndpoint,
    pub(crate) sent_at: LocalTime,
}

/// Search for an endpoint that answers a request.
#[derive(Debug)]
pub(crate) struct EndpointSearch {
    pub(super) node: Rc<EntryNode>,
    pub(super) request: Rc<AdmittedRequest>,
    /// Endpoints that are not chosen again.
    pub(super) tried: Vec<EndpointId>,
    /// Number of endpoints that the request was sent to.
    pub(super) sent: u32,
    /// Number of sends that reached an endpoint, repeated sends to one endpoint included.
    arrivals: u32,
    unreachable: u32,
    /// Number of endpoints that did not load the adapter in time.
    pub(super) adapter_waits: u32,
    /// Whether an endpoint may have run the request without its answer being relayed.
    may_have_run: bool,
    /// Time since which the caller has received no data.
    pub(crate) silent_since: LocalTime,
    /// Identifier of the event after which the stream is resumed, if any.
    pub(crate) resume_after: Option<u64>,
    /// Origin of the stream, once one of its events has been relayed.
    pub(crate) origin: Option<StreamOrigin>,
}

impl EndpointSearch {
    pub(crate) fn new(node: &Rc<EntryNode>, request: &Rc<AdmittedRequest>) -> Self {
        Self {
            node: Rc::clone(node),
            request: Rc::clone(request),
            tried: Vec::new(),
            sent: 0,
            arrivals: 0,
            unreachable: 0,
            adapter_waits: 0,
            may_have_run: false,
            silent_since: request.arrival,
            resume_after: request.profile.resume_after,
            origin: request.origin.clone(),
        }
    }

    pub(crate) const fn sent(&self) -> u32 {
        self.sent
    }

    /// Charges the retry budget if the request may be sent to another endpoint.
    pub(crate) fn take_retry(&mut self) -> bool {
        if self.sent >= self.request.route.max_attempts {
            return false;
        }
        self.spend_retry_budget()
    }

    /// Charges a retry to the service's budget; returns `false` if the budget is used up.
    fn spend_retry_budget(&self) -> bool {
        let now = BootClock::now();
        let mut guard = self.node.state.borrow_mut();
        let state = &mut *guard;
        let vms = state.peers.peer_counts(now).1 + 1;
        let paid = state
            .budgets
            .get_mut(&self.request.service)
            .is_some_and(|budget| budget.take_retry(vms, now));
        drop(guard);
        if paid {
            increment(&self.node.stats.retries);
        }
        paid
    }

    /// Records that an endpoint failed after the request was sent.
    pub(crate) fn record_failure(&mut self, id: &EndpointId, outcome: EndpointOutcome) {
        self.node.record_outcome(id, outcome);
        self.tried.push(id.clone());
        self.may_have_run = true;
    }

    /// Sends the request to one endpoint after the other and returns the first answer.
    pub(crate) async fn run(&mut self) -> Result<StartedAnswer, LocalAnswer> {
        loop {
            let request = Rc::clone(&self.request);
            let now = BootClock::now();
            if now >= request.deadline {
                return Err(self.abandon("deadline_passed", TimeSpan::ZERO));
            }
            match self.node.send_verdict(&request.suspects) {
                SendVerdict::Allowed | SendVerdict::Alone(_) => {}
                SendVerdict::Blocked(_) => {
                    return Err(self.abandon("crashes_endpoints", BLOCKED_RETRY_DELAY));
                }
                SendVerdict::Held { until } if now.until(until) > MAX_TRIAL_WAIT => {
                    return Err(self.abandon("crash_suspected", now.until(until)));
                }
                SendVerdict::Held { .. } => {
                    tokio::time::sleep(HOLD_CHECK_INTERVAL.duration()).await;
                    continue;
                }
            }
            let query = PickQuery {
                service: &request.service,
                profile: &request.profile,
                account: request.account.as_ref(),
                deadline: request.deadline,
                first_token_by: request.wait_deadline(self.silent_since),
                tried: &self.tried,
                software: self.origin.as_ref().map(|origin| &origin.software),
            };
            let picked = match self.node.pick(&query, request.engine()) {
                Ok(picked) => picked,
                Err(RefusalCause::NoCopy) if self.await_copy().await => continue,
                Err(cause) => return Err(self.refuse(cause)),
            };
            if let Some(started) = self.try_endpoint(picked).await? {
                return Ok(started);
            }
        }
    }

    /// Sends the request to an endpoint; `None` means that another one may be tried.
    async fn try_endpoint(
        &mut self,
        picked: PickedEndpoint,
    ) -> Result<Option<StartedAnswer>, LocalAnswer> {
        self.sent += 1;
        let mut needs_adapter = picked.missing_adapter.is_some();
        for sends in 0..MAX_ADAPTER_SENDS {
            if needs_adapter && !self.await_adapter(&picked).await {
                return self.handle_adapter_timeout(&picked);
            }
            if let Some(target) = &self.request.profile.target {
                self.node.report_adapter_use(&picked.id, target);
            }
            if !self.node.take_send_permit(&picked.id).await {
                return self.handle_missing_permit(&picked, sends > 0);
            }
            let sent_at = BootClock::now();
            let outcome = self.send(&picked).await;
            match outcome {
                SendOutcome::Answered(answer) => {
                    let answer = *answer;
                    if !answer.is_refusal() {
                        return self.accept_answer(answer, picked, sent_at);
                    }
                    self.arrivals += 1;
                    if self.is_adapter_missing(&answer, &picked) && self.spend_retry_budget() {
                        self.record_missing_adapter(&picked);
                        needs_adapter = true;
                        tokio::time::sleep(ADAPTER_RETRY_DELAY.duration()).await;
                        continue;
                    }
                    return self.handle_refusal(&answer, &picked);
                }
                SendOutcome::Failed(AttemptFailure::NotSent(failure)) => {
                    return self.handle_unreachable(&picked, failure);
                }
                SendOutcome::Failed(_) => {
                    return self.handle_lost(&picked, outcome, sent_at).await;
                }
                SendOutcome::Withdrawn => {
                    log::info!(
                        "event=attempt_lost request={} endpoint={} outcome={} sent={}",
                        self.request_id(),
                        picked.id,
                        outcome.name(),
                        self.sent
                    );
                    return Err(LocalAnswer::Lost("crashes_endpoints"));
                }
                SendOutcome::TimedOut => {
                    self.node
                        .record_outcome(&picked.id, EndpointOutcome::Broken);
                    return Err(LocalAnswer::TimedOut);
                }
            }
        }
        Err(self.abandon("adapter_not_loaded", NO_COPY_RETRY_DELAY))
    }

    async fn send(&self, picked: &PickedEndpoint) -> SendOutcome {
        let request = &self.request;
        let reuse = if request.may_retry() {
            ReuseRule::Retryable
        } else {
            ReuseRule::Once
        };
        let attempt = Attempt {
            endpoint: &picked.id,
            address: picked.address,
            content: AttemptContent::Caller {
                request: &request.outgoing,
                headers: AttemptHeaders {
                    endpoint: &picked.id,
                    account: request.account.as_ref(),
                    time_left: TimeSpan::ZERO,
                    priority: request.engine().map(|_| self.rank(picked)),
                    resume_after: self.resume_after,
                },
            },
            request_id: request.profile.id.as_ref(),
            deadline: request.deadline,
            silence: None,
            reuse,
        };
        let left = BootClock::now().until(request.deadline);
        let attempt = Attempt {
            silence: self.silence_timeout(picked, left),
            ..attempt
        };
        let attempt = start_attempt(&self.node, attempt);
        let sent = tokio::time::timeout(left.duration(), attempt);
        let sent = tokio::select! {
            sent = sent => sent,
            // An endpoint that has queued the request drops it, and does not crash.
            () = self.node.await_blocked(&request.suspects) => return SendOutcome::Withdrawn,
        };
        match sent {
            Ok(Ok(answer)) => SendOutcome::Answered(Box::new(answer)),
            Ok(Err(failure)) => SendOutcome::Failed(failure),
            Err(_) => SendOutcome::TimedOut,
        }
    }

    /// Returns the wait before a retry; `None` if not retryable or too little time is left.
    fn silence_timeout(&self, picked: &PickedEndpoint, left: TimeSpan) -> Option<TimeSpan> {
        let request = &self.request;
        if !request.may_retry() || self.sent >= request.route.max_attempts {
            return None;
        }
        let expected = if request.engine().is_some() {
            picked.predicted
        } else {
            let state = self.node.state.borrow();
            let millis = state.service_ms.get(&picked.id).copied().unwrap_or(60.0);
            TimeSpan::from_millis(millis as u64)
        };
        let limit = expected.fraction(SILENCE_FACTOR, 1).max(MIN_SILENCE);
        (limit < left.fraction(3, 4)).then_some(limit)
    }

    /// Returns the rank at an engine; higher, so served later, if late or deferred.
    fn rank(&self, picked: &PickedEndpoint) -> u8 {
        let request = &self.request;
        let waited = BootClock::now().since(request.arrival);
        let is_late = waited + picked.predicted > request.route.latency_target;
        let is_deferred = request.route.latency_target >= DEFERRED_LATENCY_TARGET;
        BASE_RANK
            + request.rank.min(2)
            + if is_deferred { DEFERRED_PENALTY } else { 0 }
            + if is_late { LATE_PENALTY } else { 0 }
    }

    /// Returns the answer, or `None` if it is a server error and a retry is allowed.
    fn accept_answer(
        &mut self,
        answer: AttemptAnswer,
        picked: PickedEndpoint,
        sent_at: LocalTime,
    ) -> Result<Option<StartedAnswer>, LocalAnswer> {
        self.arrivals += 1;
        if answer.response.status().is_server_error() {
            self.node
                .record_outcome(&picked.id, EndpointOutcome::Failure);
            if self.request.may_retry() && self.take_retry() {
                self.may_have_run = true;
                self.tried.push(picked.id.clone());
                return Ok(None);
            }
        }
        Ok(Some(StartedAnswer {
            answer,
            picked,
            sent_at,
        }))
    }

    /// Handles an answer which states that the request has not run.
    fn handle_refusal(
        &mut self,
        answer: &AttemptAnswer,
        picked: &PickedEndpoint,
    ) -> Result<Option<StartedAnswer>, LocalAnswer> {
        let status = answer.response.status();
        let is_other_instance = status == StatusCode::MISDIRECTED_REQUEST
            && answer.mark.instance.as_deref() != Some(picked.id.as_str());
        let outcome = if is_other_instance {
            EndpointOutcome::Unreachable
        } else {
            EndpointOutcome::Refusal
        };
        log::info!(
            "event=attempt_refused request={} endpoint={} status={} load={:?}",
            self.request_id(),
            picked.id,
            status.as_u16(),
            answer.mark.load
        );
        if let (false, StatusCode::MISDIRECTED_REQUEST, Some(target)) =
            (is_other_instance, status, &self.request.profile.target)
        {
            let endpoint = NameHash::of(picked.id.as_str());
            let model = NameHash::of(target.model.as_str());
            let now = BootClock::now();
            let mut state = self.node.state.borrow_mut();
            state.placement.record_absent(endpoint, model, now);
        } else {
            self.node.record_outcome(&picked.id, outcome);
            if !is_other_instance {
                self.node.record_rejection(&picked.id);
            }
        }
        self.tried.push(picked.id.clone());
        if self.take_retry() {
            return Ok(None);
        }
        Err(self.abandon("endpoint_refused", REFUSED_RETRY_DELAY))
    }

    /// Handles an endpoint whose stated limit leaves no room for a request; it is left out
    /// of the next choices for a while.
    fn handle_missing_permit(
        &mut self,
        picked: &PickedEndpoint,
        has_refused: bool,
    ) -> Result<Option<StartedAnswer>, LocalAnswer> {
        if has_refused {
            self.tried.push(picked.id.clone());
            if !self.take_retry() {
                return Err(self.abandon("endpoint_refused", REFUSED_RETRY_DELAY));
            }
        } else {
            self.sent -= 1;
        }
        Ok(None)
    }

    /// Handles a failed connection; nothing was sent.
    fn handle_unreachable(
        &mut self,
        picked: &PickedEndpoint,
        failure: ConnectFailure,
    ) -> Result<Option<StartedAnswer>, LocalAnswer> {
        log::info!(
            "event=attempt_unsent request={} endpoint={} reason=\"{failure}\"",
            self.request_id(),
            picked.id
        );
        self.node
            .record_outcome(&picked.id, EndpointOutcome::Unreachable);
        if failure != ConnectFailure::Confirmed {
            self.node.withhold_ejection(&picked.id);
        }
        self.node.pool.forget(&picked.id);
        self.tried.push(picked.id.clone());
        // Nothing was sent, so neither the attempt limit nor the retry budget is charged.
        self.sent -= 1;
        self.unreachable += 1;
        if self.unreachable >= MAX_UNREACHABLE_ENDPOINTS {
            return Err(self.abandon("endpoints_unreachable", NO_COPY_RETRY_DELAY));
        }
        Ok(None)
    }

    /// Handles an attempt without a usable answer; the request may have run.
    async fn handle_lost(
        &mut self,
        picked: &PickedEndpoint,
        outcome: SendOutcome,
        sent_at: LocalTime,
    ) -> Result<Option<StartedAnswer>, LocalAnswer> {
        self.arrivals += 1;
        log::info!(
            "event=attempt_lost request={} endpoint={} outcome={} sent={}",
            self.request_id(),
            picked.id,
            outcome.name(),
            self.sent
        );
        self.record_failure(&picked.id, EndpointOutcome::Broken);
        if matches!(outcome, SendOutcome::Failed(AttemptFailure::Silent)) {
            self.node.spawn_endpoint_check(&picked.id, picked.address);
        }
        if matches!(outcome, SendOutcome::Failed(AttemptFailure::Broken)) {
            let endpoint = picked.incarnation();
            record_lost_run(&self.node, &self.request, &endpoint, sent_at).await;
        }
        if self.request.may_retry() && self.take_retry() {
            return Ok(None);
        }
        Err(LocalAnswer::Lost("answer_lost"))
    }

    /// Returns the answer to a request for which no endpoint could be chosen.
    fn refuse(&self, cause: RefusalCause) -> LocalAnswer {
        match cause {
            RefusalCause::NoEndpoint => self.abandon("no_endpoint", NO_COPY_RETRY_DELAY),
            RefusalCause::NoAdapter => self.abandon("no_placement_duty", NO_COPY_RETRY_DELAY),
            RefusalCause::NoCopy => self.abandon("no_copy", NO_COPY_RETRY_DELAY),
            RefusalCause::Overloaded(retry_after) => self.abandon("crowded", retry_after),
            RefusalCause::Limited(retry_after) => self.abandon("endpoints_limited", retry_after),
            RefusalCause::Full(retry_after) => self.abandon("endpoints_full", retry_after),
        }
    }

    /// Returns the answer to a request that is not sent to any further endpoint.
    pub(super) fn abandon(&self, reason: &'static str, retry_after: TimeSpan) -> LocalAnswer {
        if self.may_have_run {
            return LocalAnswer::Lost(reason);
        }
        LocalAnswer::NotRun(reason, self.request.bounded_retry_delay(retry_after))
    }

    pub(super) fn request_id(&self) -> &str {
        self.request
            .profile
            .id
            .as_ref()
            .map_or("-", |id| id.as_str())
    }
}
