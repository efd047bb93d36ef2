//! Choice of an endpoint for a request, and tracking of the request in flight.

use super::EntryNode;
use super::rejection::with_room;
use super::send_permit::{permitted, without_limited_orders};
use crate::clock::BootClock;
use clementinepond_dispatch::directory::{KnownEndpoint, Presence};
use clementinepond_dispatch::fleet::{
    EnginePolicy, ModelTarget, RequestProfile, ServiceId, SoftwareVersion, TokenDemand,
};
use clementinepond_dispatch::load::{EndpointLoad, NameHash};
use clementinepond_dispatch::peer::{AdapterLocation, SentRun};
use clementinepond_dispatch::placement::adapter_hash;
use clementinepond_dispatch::select::{
    AdapterReadiness, EngineCandidate, EngineRequest, EngineVerdict, ServiceCandidate,
    ServiceVerdict, choose_engine, choose_service_endpoint, rendezvous_weight,
};
use clementinepond_types::{AccountId, EndpointId, LocalTime, TimeSpan};
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Assumed shares of a request's shared prompt blocks in the prefix caches of the first
/// and the second owner of its session. Two owners allow load balancing without cache
/// misses.
const OWNER_CACHE_SHARES: [f64; 2] = [0.85, 0.7];
/// Service time assumed before the first measurement.
pub(super) const DEFAULT_SERVICE_TIME_MS: f64 = 60.0;

/// Reason for which a request is refused without having been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RefusalCause {
    /// The service has no usable endpoint.
    NoEndpoint,
    /// No usable endpoint holds the model.
    NoCopy,
    /// No endpoint holds the adapter, and there is no lease holder to have it loaded.
    NoAdapter,
    /// No endpoint can serve the request in time; holds the delay before a retry.
    Overloaded(TimeSpan),
    /// All endpoints state limits that leave no room; holds the delay until one may have a
    /// permit.
    Limited(TimeSpan),
    /// All endpoints are brittle and have no free slot; holds the delay before a retry.
    Full(TimeSpan),
}

/// Endpoint chosen for a request.
#[derive(Debug)]
pub(crate) struct PickedEndpoint {
    pub(crate) id: EndpointId,
    pub(crate) address: SocketAddrV4,
    /// Start of the endpoint's incarnation, as a Unix time in milliseconds.
    pub(crate) started_ms: u64,
    /// Version of the endpoint's software.
    pub(crate) software: SoftwareVersion,
    /// Predicted time to the first token; zero for services without an engine.
    pub(crate) predicted: TimeSpan,
    /// Adapter that the endpoint has to load first, if any.
    pub(crate) missing_adapter: Option<AdapterLocation>,
    pub(crate) guard: InFlightGuard,
}

/// Incarnation of an endpoint, which answers at an address.
#[derive(Debug, Clone)]
pub(crate) struct EndpointIncarnation {
    pub(crate) id: EndpointId,
    pub(crate) address: SocketAddrV4,
    /// Start, as a Unix time in milliseconds.
    pub(crate) started_ms: u64,
}

impl PickedEndpoint {
    pub(crate) fn incarnation(&self) -> EndpointIncarnation {
        EndpointIncarnation {
            id: self.id.clone(),
            address: self.address,
            started_ms: self.started_ms,
        }
    }
}

/// Counts a request as in flight at its endpoint until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    node: Rc<EntryNode>,
    id: EndpointId,
    key: NameHash,
    run_load: EndpointLoad,
    /// Prompt tokens counted as pending prefill; zero after the first token.
    pending_prefill: Cell<u32>,
}

impl InFlightGuard {
    /// Records that the first token arrived, which ends the prefill.
    pub(crate) fn record_first_token(&self) {
        let tokens = self.pending_prefill.take();
        let mut state = self.node.state.borrow_mut();
        state.loads.finish_prefill(self.key, tokens);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        state
            .loads
            .finish_prefill(self.key, self.pending_prefill.get());
        state.loads.finish(self.key, self.run_load);
        state.health.end_run(&self.id);
    }
}

/// Properties of a request that determine the choice of its endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PickQuery<'a> {
    pub(crate) service: &'a ServiceId,
    pub(crate) profile: &'a RequestProfile,
    pub(crate) account: Option<&'a AccountId>,
    pub(crate) deadline: LocalTime,
    /// Time until which the caller waits for the first token.
    pub(crate) first_token_by: LocalTime,
    /// Endpoints already tried for this request, which are not chosen again.
    pub(crate) tried: &'a [EndpointId],
    /// Only software version that may serve the request; `None` for any.
    pub(crate) software: Option<&'a SoftwareVersion>,
}

impl PickQuery<'_> {
    fn allows(&self, known: &KnownEndpoint) -> bool {
        let entry = &known.entry;
        !self.tried.contains(&entry.id)
            && self
                .software
                .is_none_or(|software| *software == entry.software)
    }
}

impl EntryNode {
    /// Chooses an endpoint and counts the request as in flight there.
    pub(crate) fn pick(
        self: &Rc<Self>,
        query: &PickQuery<'_>,
        engine: Option<&EnginePolicy>,
    ) -> Result<PickedEndpoint, RefusalCause> {
        match (engine, &query.profile.target) {
            (Some(engine), Some(target)) => self.pick_engine(query, engine, target),
            _ => self.pick_service(query),
        }
    }

    fn pick_engine(
        self: &Rc<Self>,
        query: &PickQuery<'_>,
        engine: &EnginePolicy,
        target: &ModelTarget,
    ) -> Result<PickedEndpoint, RefusalCause> {
        let now = BootClock::now();
        let tokens = query.profile.tokens.unwrap_or_default();
        let request = EngineRequest {
            tokens,
            slots: engine.slots,
            kv_capacity: engine.kv_capacity,
            time_left: now.until(query.deadline),
            first_token_wait: now.until(query.first_token_by),
        };
        let own_data_centre = self.settings().data_centre.clone();
        let model_key = NameHash::of(target.model.as_str());
        let weights = weights_key(target);
        let guard = self.state.borrow();
        let state = &*guard;
        let hosting: Vec<&KnownEndpoint> = state
            .directory
            .usable(query.service, now)
            .filter(|known| known.entry.hosted(&target.model).is_some())
            .filter(|known| query.allows(known))
            .filter(|known| {
                let key = NameHash::of(known.entry.id.as_str());
                !state.placement.is_absent(key, model_key, now)
            })
            .collect();
        let has_lease_holder = state.has_lease_holder(now);
        let open: Vec<&KnownEndpoint> = hosting
            .iter()
            .copied()
            .filter(|known| {
                let key = NameHash::of(known.entry.id.as_str());
                !state.placement.is_closing(key, model_key, now)
            })
            .collect();
        let hosting = if open.is_empty() { hosting } else { open };
        let hosting = permitted(state, hosting, now)?;
        let hosting = with_room(state, hosting, Some(engine.slots), now)?;
        let owners = session_owners(query.profile, &hosting);
        let shared_tokens = shared_tokens(query.profile);
        let candidates: Vec<EngineCandidate<'_>> = hosting
            .iter()
            .enumerate()
            .map(|(index, known)| {
                let entry = &known.entry;
                let key = NameHash::of(entry.id.as_str());
                let recorded =
                    state
                        .prefix_cache
                        .cached_tokens(key, weights, &query.profile.blocks);
                let share = owners
                    .iter()
                    .zip(OWNER_CACHE_SHARES)
                    .find(|(owner, _)| **owner == index)
                    .map_or(0.0, |(_, share)| share);
                let assumed = (shared_tokens as f64 * share) as u64;
                let adapter = match &target.adapter {
                    Some(adapter) => {
                        let location = AdapterLocation {
                            endpoint: key,
                            adapter: adapter_hash(&target.model, adapter),
                        };
                        let held = state.placement.adapters_at(key);
                        if state.placement.has_adapter(&location) {
                            AdapterReadiness::Ready
                        } else if held < engine.adapter_slots as usize {
                            AdapterReadiness::Missing
                        } else {
                            AdapterReadiness::NeedsEviction
                        }
                    }
                    None => AdapterReadiness::Ready,
                };
                EngineCandidate {
                    endpoint: entry,
                    load: state.loads.total(key),
                    prefill_tokens: state.loads.pending_prefill(key, now),
                    cached_tokens: recorded.max(assumed),
                    grade: state.health.grade(&entry.id, now),
                    adapter,
                    is_local: entry.data_centre == own_data_centre,
                    is_unlisted: known.presence != Presence::Listed,
                    slowdown: state.slowdowns.get(&entry.id).copied().unwrap_or(1.0),
                }
            })
            .collect();
        let candidates = without_limited_orders(state, candidates);
        // Without a lease holder no adapter gets loaded, so engines that have it are
        // preferred.
        let ready: Vec<EngineCandidate<'_>> = candidates
            .iter()
            .filter(|candidate| candidate.adapter == AdapterReadiness::Ready)
            .cloned()
            .collect();
        let candidates = if has_lease_holder || ready.is_empty() {
            candidates
        } else {
            ready
        };
        let (index, predicted) = match choose_engine(&candidates, &request) {
            EngineVerdict::Send { index, first_token } => (index, first_token),
            EngineVerdict::Refuse { retry_after } => {
                return Err(RefusalCause::Overloaded(retry_after));
            }
            EngineVerdict::NoCopy => return Err(RefusalCause::NoCopy),
        };
        let chosen = &candidates[index];
        if chosen.adapter != AdapterReadiness::Ready && !has_lease_holder {
            return Err(RefusalCause::NoAdapter);
        }
        let prefill = tokens.prompt.saturating_sub(chosen.cached_tokens);
        let missing_adapter = match (&target.adapter, chosen.adapter) {
            (Some(adapter), AdapterReadiness::Missing | AdapterReadiness::NeedsEviction) => {
                Some(AdapterLocation {
                    endpoint: NameHash::of(chosen.endpoint.id.as_str()),
                    adapter: adapter_hash(&target.model, adapter),
                })
            }
            _ => None,
        };
        let id = chosen.endpoint.id.clone();
        let address = chosen.endpoint.address;
        let started_ms = chosen.endpoint.started_ms;
        let software = chosen.endpoint.software.clone();
        let account = query
            .account
            .map(|id| (id.clone(), state.limiter.admitted(id) as u64));
        drop(guard);
        let run = SentRun {
            endpoint: id.clone(),
            prefill_tokens: saturating_u32(prefill),
            context_tokens: context_tokens(tokens, query.profile),
            weights,
            blocks: query.profile.blocks.clone(),
            account,
        };
        let guard = self.start_engine_run(run, engine.kv_capacity, now);
        Ok(PickedEndpoint {
            id,
            address,
            started_ms,
            software,
            predicted,
            missing_adapter,
            guard,
        })
    }

    fn pick_service(
        self: &Rc<Self>,
        query: &PickQuery<'_>,
    ) -> Result<PickedEndpoint, RefusalCause> {
        let now = BootClock::now();
        let own_data_centre = self.settings().data_centre.clone();
        let guard = self.state.borrow();
        let state = &*guard;
        let allowed: Vec<&KnownEndpoint> = state
            .directory
            .usable(query.service, now)
            .filter(|known| query.allows(known))
            .collect();
        let allowed = permitted(state, allowed, now)?;
        let candidates: Vec<ServiceCandidate<'_>> = with_room(state, allowed, None, now)?
            .into_iter()
            .map(|known| {
                let entry = &known.entry;
                let key = NameHash::of(entry.id.as_str());
                ServiceCandidate {
                    endpoint: entry,
                    load: state.loads.total(key),
                    grade: state.health.grade(&entry.id, now),
                    is_local: entry.data_centre == own_data_centre,
                    is_unlisted: known.presence != Presence::Listed,
                    service_time_ms: state
                        .service_ms
                        .get(&entry.id)
                        .copied()
                        .unwrap_or(DEFAULT_SERVICE_TIME_MS),
                }
            })
            .collect();
        let index = match choose_service_endpoint(&candidates, now.until(query.deadline)) {
            ServiceVerdict::Send { index } => index,
            ServiceVerdict::Refuse { retry_after } => {
                return Err(RefusalCause::Overloaded(retry_after));
            }
            ServiceVerdict::NoEndpoint => return Err(RefusalCause::NoEndpoint),
        };
        let id = candidates[index].endpoint.id.clone();
        let address = candidates[index].endpoint.address;
        let started_ms = candidates[index].endpoint.started_ms;
        let software = candidates[index].endpoint.software.clone();
        drop(guard);
        let run_load = EndpointLoad {
            runs: 1,
            context_tokens: 0,
        };
        let guard = self.start_run(&id, run_load, 0);
        Ok(PickedEndpoint {
            id,
            address,
            started_ms,
            software,
            predicted: TimeSpan::ZERO,
            missing_adapter: None,
            guard,
        })
    }

    /// Counts a request as in flight at an engine and announces it to the peers.
    fn start_engine_run(
        self: &Rc<Self>,
        run: SentRun,
        capacity: u64,
        now: LocalTime,
    ) -> InFlightGuard {
        let key = NameHash::of(run.endpoint.as_str());
        let run_load = EndpointLoad {
            runs: 1,
            context_tokens: run.context_tokens,
        };
        let guard = self.start_run(&run.endpoint, run_load, run.prefill_tokens);
        let mut state = self.state.borrow_mut();
        state.loads.start_prefill(key, run.prefill_tokens, now);
        state
            .prefix_cache
            .record_prefill(key, run.weights, &run.blocks, capacity, now);
        drop(state);
        self.announce_run(run, now);
        guard
    }

    fn start_run(
        self: &Rc<Self>,
        id: &EndpointId,
        run_load: EndpointLoad,
        pending_prefill: u32,
    ) -> InFlightGuard {
        let key = NameHash::of(id.as_str());
        let mut state = self.state.borrow_mut();
        state.loads.start(key, run_load);
        state.health.start_run(id);
        InFlightGuard {
            node: Rc::clone(self),
            id: id.clone(),
            key,
            run_load,
            pending_prefill: Cell::new(pending_prefill),
        }
    }
}

/// Returns the hash of the model or adapter whose weights determine the prefix cache.
fn weights_key(target: &ModelTarget) -> NameHash {
    match &target.adapter {
        Some(adapter) => adapter_hash(&target.model, adapter),
        None => NameHash::of(target.model.as_str()),
    }
}

/// Returns the tokens of all prompt blocks but the last, which is rarely shared.
fn shared_tokens(profile: &RequestProfile) -> u64 {
    let count = profile.blocks.len().saturating_sub(1);
    profile
        .blocks
        .iter()
        .take(count)
        .map(|block| block.tokens)
        .sum()
}

/// Returns the indices of the endpoints that own the request's adapter or session.
///
/// Rendezvous hashing gives the same owners on every VM with the same endpoints.
fn session_owners(profile: &RequestProfile, hosting: &[&KnownEndpoint]) -> Vec<usize> {
    let adapter = profile
        .target
        .as_ref()
        .and_then(|target| Some(adapter_hash(&target.model, target.adapter.as_ref()?)));
    let session = match adapter {
        Some(key) => key.number(),
        None => match profile.blocks.get(profile.blocks.len().saturating_sub(2)) {
            Some(block) => block.id,
            None => return Vec::new(),
        },
    };
    let weight = |index: usize| rendezvous_weight(session, hosting[index].entry.id.as_str());
    let mut order: Vec<usize> = (0..hosting.len()).collect();
    order.sort_by_key(|&index| std::cmp::Reverse(weight(index)));
    order.truncate(OWNER_CACHE_SHARES.len());
    order
}

/// Returns the expected context size of a request: its prompt and expected output.
fn context_tokens(tokens: TokenDemand, profile: &RequestProfile) -> u32 {
    let output = profile
        .output_hint
        .unwrap_or(tokens.output)
        .min(tokens.output);
    saturating_u32(tokens.prompt + output)
}

fn saturating_u32(tokens: u64) -> u32 {
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
