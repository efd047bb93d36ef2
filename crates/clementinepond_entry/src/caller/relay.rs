//! Finding an endpoint that answers.

use super::crash_probe::suspect_crash;
use super::gate::AdmittedRequest;
use super::refusal::OwnAnswer;
use super::send_outcome::SendOutcome;
use crate::clock::BootClock;
use crate::endpoint::{Attempt, AttemptAnswer, AttemptFailure, ReuseRule, start_attempt};
use crate::http::ConnectFailure;
use crate::node::{EntryNode, PickQuery, PickedEndpoint, RefusalCause, increment};
use clementinepond_dispatch::health::EndpointOutcome;
use clementinepond_dispatch::load::NameHash;
use clementinepond_platform::AttemptHeaders;
use clementinepond_types::{EndpointId, LocalTime, TimeSpan};
use hyper::StatusCode;
use std::rc::Rc;

/// Time after which a caller may come back when no endpoint holds the model;
/// about a load from disk.
const NO_COPY_RETRY: TimeSpan = TimeSpan::from_millis(1_000);
/// Time after which a caller may come back when an endpoint refused.
const REFUSED_RETRY: TimeSpan = TimeSpan::from_millis(150);
/// Part of a caller's time within which a copy that is being loaded is awaited.
const COPY_WAIT_PARTS: (u64, u64) = (1, 2);
/// Time by which a load may be late.
const COPY_PATIENCE: TimeSpan = TimeSpan::from_millis(600);
/// Shortest wait for a copy.
const COPY_CHECK: TimeSpan = TimeSpan::from_millis(20);
/// Largest number of endpoints tried that could not be reached.
const UNREACHED_LIMIT: u32 = 4;
/// Largest number of sends to an endpoint that is still loading the adapter.
const ADAPTER_SENDS: u32 = 3;
/// Pause before a request is sent again to an endpoint that loads its adapter.
const ADAPTER_PAUSE: TimeSpan = TimeSpan::from_millis(12);
/// Longest wait for an adapter.
const ADAPTER_WAIT: TimeSpan = TimeSpan::from_millis(200);
/// Largest number of endpoints at which an adapter is awaited.
const ADAPTER_WAITS: u32 = 3;
/// Silence of an endpoint after which a request that may be repeated goes to
/// another one, in multiples of the expected time.
const SILENCE_FACTOR: u64 = 5;
/// Shortest silence that counts.
const SILENCE_FLOOR: TimeSpan = TimeSpan::from_millis(400);
/// Rank added for a request that will be late in any case.
const LATE_RANK: u8 = 3;
/// Rank added for a request whose objective leaves time.
const DEFERRED_RANK: u8 = 2;
/// Objective from which a request counts as deferred.
const DEFERRED_TARGET: TimeSpan = TimeSpan::from_millis(1_500);
/// Rank of the most urgent requests; leaves room for more urgent ones.
const FIRST_RANK: u8 = 2;

/// An answer that has begun.
#[derive(Debug)]
pub(crate) struct BegunAnswer {
    pub(crate) answer: AttemptAnswer,
    pub(crate) picked: PickedEndpoint,
    pub(crate) sent_at: LocalTime,
}

/// Search for an endpoint that answers one request.
#[derive(Debug)]
pub(crate) struct EndpointSearch {
    node: Rc<EntryNode>,
    request: Rc<AdmittedRequest>,
    tried: Vec<EndpointId>,
    /// Endpoints that the request was sent to.
    sent: u32,
    /// Arrivals at endpoints, sends to the same one included.
    arrivals: u32,
    unreached: u32,
    adapter_waits: u32,
    may_have_run: bool,
    /// Moment since which the caller has got nothing.
    pub(crate) silent_since: LocalTime,
    /// Event after which a stream goes on.
    pub(crate) resume_after: Option<u64>,
}

impl EndpointSearch {
    pub(crate) fn new(node: &Rc<EntryNode>, request: &Rc<AdmittedRequest>) -> Self {
        Self {
            node: Rc::clone(node),
            request: Rc::clone(request),
            tried: Vec::new(),
            sent: 0,
            arrivals: 0,
            unreached: 0,
            adapter_waits: 0,
            may_have_run: false,
            silent_since: request.arrival,
            resume_after: request.profile.resume_after,
        }
    }

    /// Returns the number of endpoints that the request was sent to.
    pub(crate) const fn sent(&self) -> u32 {
        self.sent
    }

    /// Tells whether another endpoint may be asked, and pays for it.
    pub(crate) fn take_repeat(&mut self) -> bool {
        if self.sent >= self.request.route.max_attempts {
            return false;
        }
        self.pay_repeat()
    }

    fn pay_repeat(&self) -> bool {
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
            increment(&self.node.stats.repeats);
        }
        paid
    }

    /// Notes that an endpoint failed after the request was sent.
    pub(crate) fn note_failed(&mut self, id: &EndpointId, outcome: EndpointOutcome) {
        self.node.note_outcome(id, outcome);
        self.tried.push(id.clone());
        self.may_have_run = true;
    }

    /// Returns the answer of the first endpoint that gives one.
    pub(crate) async fn run(&mut self) -> Result<BegunAnswer, OwnAnswer> {
        loop {
            let request = Rc::clone(&self.request);
            let now = BootClock::now();
            if now >= request.deadline {
                return Err(self.give_up("deadline_passed", TimeSpan::ZERO));
            }
            let query = PickQuery {
                service: &request.service,
                profile: &request.profile,
                account: request.account.as_ref(),
                deadline: request.deadline,
                first_token_by: request.patience_end(self.silent_since),
                tried: &self.tried,
            };
            let picked = match self.node.pick(&query, request.engine()) {
                Ok(picked) => picked,
                Err(RefusalCause::NoCopy) if self.await_copy().await => continue,
                Err(cause) => return Err(self.refuse(cause)),
            };
            if let Some(begun) = self.ask(picked).await? {
                return Ok(begun);
            }
        }
    }

    /// Asks one endpoint; `None` means that another one may be asked.
    async fn ask(&mut self, picked: PickedEndpoint) -> Result<Option<BegunAnswer>, OwnAnswer> {
        self.sent += 1;
        let mut needs_adapter = picked.missing_adapter.is_some();
        for _ in 0..ADAPTER_SENDS {
            if needs_adapter && !self.await_adapter(&picked).await {
                return self.note_no_adapter(&picked);
            }
            if let Some(target) = &self.request.profile.target {
                self.node.note_adapter_use(&picked.id, target);
            }
            let sent_at = BootClock::now();
            let outcome = self.send(&picked).await;
            match outcome {
                SendOutcome::Answered(answer) => {
                    let answer = *answer;
                    if !is_refusal(&answer) {
                        return self.take_answer(answer, picked, sent_at);
                    }
                    self.arrivals += 1;
                    if self.is_adapter_missing(&answer, &picked) && self.pay_repeat() {
                        self.note_missing_adapter(&picked);
                        needs_adapter = true;
                        tokio::time::sleep(ADAPTER_PAUSE.duration()).await;
                        continue;
                    }
                    return self.note_refusal(&answer, &picked);
                }
                SendOutcome::Failed(AttemptFailure::NotSent(failure)) => {
                    return self.note_unreached(&picked, failure);
                }
                SendOutcome::Failed(_) | SendOutcome::Silent => {
                    return self.note_lost(&picked, outcome);
                }
                SendOutcome::TimedOut => {
                    self.node.note_outcome(&picked.id, EndpointOutcome::Broken);
                    return Err(OwnAnswer::TimedOut);
                }
            }
        }
        Err(self.give_up("adapter_not_loaded", NO_COPY_RETRY))
    }

    async fn send(&self, picked: &PickedEndpoint) -> SendOutcome {
        let request = &self.request;
        let reuse = if request.may_repeat() {
            ReuseRule::Repeatable
        } else {
            ReuseRule::Once
        };
        let attempt = Attempt {
            endpoint: &picked.id,
            address: picked.address,
            request: &request.outgoing,
            request_id: request.profile.id.as_ref(),
            headers: AttemptHeaders {
                endpoint: &picked.id,
                account: request.account.as_ref(),
                time_left: TimeSpan::ZERO,
                priority: request.engine().map(|_| self.rank(picked)),
                resume_after: self.resume_after,
            },
            deadline: request.deadline,
            reuse,
        };
        let left = BootClock::now().until(request.deadline);
        let silence = self.silence_limit(picked, left);
        let attempt = start_attempt(&self.node, attempt);
        match tokio::time::timeout(silence.unwrap_or(left).duration(), attempt).await {
            Ok(Ok(answer)) => SendOutcome::Answered(Box::new(answer)),
            Ok(Err(failure)) => SendOutcome::Failed(failure),
            Err(_) if silence.is_some() => SendOutcome::Silent,
            Err(_) => SendOutcome::TimedOut,
        }
    }

    /// Returns the silence after which another endpoint is asked, if one may be.
    fn silence_limit(&self, picked: &PickedEndpoint, left: TimeSpan) -> Option<TimeSpan> {
        let request = &self.request;
        if !request.may_repeat() || self.sent >= request.route.max_attempts {
            return None;
        }
        let expected = if request.engine().is_some() {
            picked.predicted
        } else {
            let state = self.node.state.borrow();
            let millis = state.work_ms.get(&picked.id).copied().unwrap_or(60.0);
            TimeSpan::from_millis(millis as u64)
        };
        let limit = expected.fraction(SILENCE_FACTOR, 1).max(SILENCE_FLOOR);
        (limit < left.fraction(3, 4)).then_some(limit)
    }

    /// Returns the rank at an engine: late and deferred work makes way.
    fn rank(&self, picked: &PickedEndpoint) -> u8 {
        let request = &self.request;
        let waited = BootClock::now().since(request.arrival);
        let is_late = waited + picked.predicted > request.route.latency_target;
        let is_deferred = request.route.latency_target >= DEFERRED_TARGET;
        FIRST_RANK
            + request.rank.min(2)
            + if is_deferred { DEFERRED_RANK } else { 0 }
            + if is_late { LATE_RANK } else { 0 }
    }

    fn take_answer(
        &mut self,
        answer: AttemptAnswer,
        picked: PickedEndpoint,
        sent_at: LocalTime,
    ) -> Result<Option<BegunAnswer>, OwnAnswer> {
        self.arrivals += 1;
        if answer.response.status().is_server_error() {
            self.node.note_outcome(&picked.id, EndpointOutcome::Failure);
            if self.request.may_repeat() && self.take_repeat() {
                self.may_have_run = true;
                self.tried.push(picked.id.clone());
                return Ok(None);
            }
        }
        Ok(Some(BegunAnswer {
            answer,
            picked,
            sent_at,
        }))
    }

    fn note_refusal(
        &mut self,
        answer: &AttemptAnswer,
        picked: &PickedEndpoint,
    ) -> Result<Option<BegunAnswer>, OwnAnswer> {
        let status = answer.response.status();
        let is_stranger = status == StatusCode::MISDIRECTED_REQUEST
            && answer.mark.instance.as_deref() != Some(picked.id.as_str());
        let outcome = if is_stranger {
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
            (is_stranger, status, &self.request.profile.target)
        {
            let endpoint = NameHash::of(picked.id.as_str());
            let model = NameHash::of(target.model.as_str());
            let now = BootClock::now();
            let mut state = self.node.state.borrow_mut();
            state.placement.note_absent(endpoint, model, now);
        } else {
            self.node.note_outcome(&picked.id, outcome);
        }
        self.tried.push(picked.id.clone());
        if self.take_repeat() {
            return Ok(None);
        }
        Err(self.give_up("endpoint_refused", REFUSED_RETRY))
    }

    fn note_unreached(
        &mut self,
        picked: &PickedEndpoint,
        failure: ConnectFailure,
    ) -> Result<Option<BegunAnswer>, OwnAnswer> {
        log::info!(
            "event=attempt_unsent request={} endpoint={} reason=\"{failure}\"",
            self.request_id(),
            picked.id
        );
        self.node
            .note_outcome(&picked.id, EndpointOutcome::Unreachable);
        self.node.pool.forget(&picked.id);
        self.tried.push(picked.id.clone());
        // Nothing arrived, so neither the attempts nor the budget are used.
        self.sent -= 1;
        self.unreached += 1;
        if self.unreached >= UNREACHED_LIMIT {
            return Err(self.give_up("endpoints_unreachable", NO_COPY_RETRY));
        }
        Ok(None)
    }

    fn note_lost(
        &mut self,
        picked: &PickedEndpoint,
        outcome: SendOutcome,
    ) -> Result<Option<BegunAnswer>, OwnAnswer> {
        self.arrivals += 1;
        log::info!(
            "event=attempt_lost request={} endpoint={} outcome={} sent={}",
            self.request_id(),
            picked.id,
            outcome.name(),
            self.sent
        );
        self.note_failed(&picked.id, EndpointOutcome::Broken);
        if matches!(outcome, SendOutcome::Failed(AttemptFailure::Broken)) {
            suspect_crash(&self.node, self.request.fingerprint, picked);
        }
        if self.request.may_repeat() && self.take_repeat() {
            return Ok(None);
        }
        Err(OwnAnswer::Lost("answer_lost"))
    }

    fn is_adapter_missing(&self, answer: &AttemptAnswer, picked: &PickedEndpoint) -> bool {
        let has_adapter = self
            .request
            .profile
            .target
            .as_ref()
            .is_some_and(|target| target.adapter.is_some());
        let is_same = answer
            .mark
            .instance
            .as_deref()
            .is_none_or(|instance| instance == picked.id.as_str());
        let has_room = answer
            .mark
            .load
            .is_some_and(|load| load.running < load.slots);
        let status = answer.response.status();
        // An adapter on its way is refused like a full endpoint.
        let is_loading = status == StatusCode::SERVICE_UNAVAILABLE && has_room;
        has_adapter && is_same && (is_loading || status == StatusCode::MISDIRECTED_REQUEST)
    }

    fn note_missing_adapter(&self, picked: &PickedEndpoint) {
        if let Some(place) = self
            .node
            .adapter_place(&picked.id, self.request.profile.target.as_ref())
        {
            self.node.state.borrow_mut().placement.note_missing(&place);
        }
    }

    /// Asks the holder of the placement duty for the adapter and waits for it.
    async fn await_adapter(&self, picked: &PickedEndpoint) -> bool {
        let Some(target) = self.request.profile.target.as_ref() else {
            return false;
        };
        let left = BootClock::now().until(self.request.deadline);
        let limit = ADAPTER_WAIT.min(left.fraction(1, 2));
        self.node.await_adapter(&picked.id, target, limit).await
    }

    /// Waits for a copy of the model that is being loaded, if it will be there
    /// well before the caller leaves.
    async fn await_copy(&self) -> bool {
        let Some(target) = &self.request.profile.target else {
            return false;
        };
        let model = NameHash::of(target.model.as_str());
        let now = BootClock::now();
        let left = now.until(self.request.deadline);
        let half = now + left.fraction(COPY_WAIT_PARTS.0, COPY_WAIT_PARTS.1);
        let latest = half.min(self.request.patience_end(self.silent_since));
        let mut changed = std::pin::pin!(self.node.placement_changed.notified());
        changed.as_mut().enable();
        let expected = self.node.state.borrow().placement.expected_at(model);
        let Some(expected) = expected.filter(|at| *at < latest && now < *at + COPY_PATIENCE) else {
            return false;
        };
        let limit = now.until(expected + COPY_PATIENCE).max(COPY_CHECK);
        // Whatever changed, the next choice sees it.
        let _ = tokio::time::timeout(limit.duration(), changed).await;
        true
    }

    /// Leaves an endpoint that did not get the adapter in time.
    fn note_no_adapter(
        &mut self,
        picked: &PickedEndpoint,
    ) -> Result<Option<BegunAnswer>, OwnAnswer> {
        log::info!(
            "event=adapter_missed request={} endpoint={} waits={}",
            self.request_id(),
            picked.id,
            self.adapter_waits
        );
        self.tried.push(picked.id.clone());
        self.sent -= 1;
        self.adapter_waits += 1;
        if self.adapter_waits >= ADAPTER_WAITS {
            return Err(self.give_up("adapter_not_loaded", NO_COPY_RETRY));
        }
        Ok(None)
    }

    fn refuse(&self, cause: RefusalCause) -> OwnAnswer {
        match cause {
            RefusalCause::NoEndpoint => self.give_up("no_endpoint", NO_COPY_RETRY),
            RefusalCause::NoAdapter => self.give_up("no_placement_duty", NO_COPY_RETRY),
            RefusalCause::NoCopy => self.give_up("no_copy", NO_COPY_RETRY),
            RefusalCause::Crowded(span) => self.give_up("crowded", span),
        }
    }

    /// Returns the final answer of a request that no endpoint will answer.
    fn give_up(&self, reason: &'static str, retry_after: TimeSpan) -> OwnAnswer {
        if self.may_have_run {
            return OwnAnswer::Lost(reason);
        }
        OwnAnswer::NotRun(reason, self.request.bounded_retry(retry_after))
    }

    fn request_id(&self) -> &str {
        self.request
            .profile
            .id
            .as_ref()
            .map_or("-", |id| id.as_str())
    }
}

/// Tells whether the endpoint states that the request has not run.
fn is_refusal(answer: &AttemptAnswer) -> bool {
    answer.mark.is_not_run || answer.response.status() == StatusCode::MISDIRECTED_REQUEST
}
