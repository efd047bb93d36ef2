//! Task of the lease holder: runs the planners, sends orders and announces placement.

use crate::clock::BootClock;
use crate::http::{CallFailure, CallReply, HttpClient};
use crate::node::{EntryNode, increment};
use clementinepond_dispatch::fleet::{EndpointEntry, ServiceId};
use clementinepond_dispatch::health::HealthGrade;
use clementinepond_dispatch::peer::{
    AdapterLocation, PeerMessage, PlacementUpdate, SMALL_FLEET_MAX_VMS,
};
use clementinepond_dispatch::placement::{
    OrderReply, PlacementPlanner, PlannerEffect, PlannerInput, SentOrder,
};
use clementinepond_platform::{
    STATUS_PATH, order_body, order_path, read_limit, read_order_reply, read_report,
    write_expected_instance,
};
use clementinepond_types::{EndpointId, LocalTime, TimeSpan};
use fnv::{FnvHashMap, FnvHashSet};
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Interval between planner steps unless a notification wakes the task.
const STEP_INTERVAL: TimeSpan = TimeSpan::from_millis(60);
/// Interval between planner steps while requests wait for adapters.
const ADAPTER_WAIT_STEP_INTERVAL: TimeSpan = TimeSpan::from_millis(4);
/// Timeout of an order or a status read.
const ORDER_TIMEOUT: TimeSpan = TimeSpan::from_millis(400);
/// Interval between placement updates, which contain the changes since the last one.
const UPDATE_INTERVAL: TimeSpan = TimeSpan::from_millis(300);
/// Interval between complete placement updates in a small fleet; grows with larger fleets.
const FULL_UPDATE_INTERVAL: TimeSpan = TimeSpan::from_millis(600);
/// Idle time after which a client's connection is not reused.
const CLIENT_MAX_IDLE: TimeSpan = TimeSpan::from_millis(400);

/// Clients for orders and status reads, with the time of their last use.
type OrderClients = Rc<RefCell<FnvHashMap<EndpointId, (HttpClient, LocalTime)>>>;

/// Runs the planners and performs their effects while this VM holds the placement lease.
pub(crate) async fn run_orders(node: Rc<EntryNode>, stop: CancellationToken) {
    let clients: OrderClients = Rc::default();
    let mut sent = SentUpdate::default();
    loop {
        let has_waits = node
            .state
            .borrow()
            .planners
            .values()
            .any(|planner| planner.has_adapter_waits());
        let pause = if has_waits {
            ADAPTER_WAIT_STEP_INTERVAL
        } else {
            STEP_INTERVAL
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = node.orders_due.notified() => {}
            () = tokio::time::sleep(pause.duration()) => {}
        }
        let now = BootClock::now();
        let Some(fence) = node.order_fence(now) else {
            continue;
        };
        let (effects, has_urgent_change) = step(&node, fence, now);
        for effect in effects {
            perform(&node, &clients, effect);
        }
        sent.broadcast(&node, fence, has_urgent_change, now);
    }
}

/// Steps the planner of each service; returns the effects and whether a move started.
fn step(node: &Rc<EntryNode>, fence: u64, now: LocalTime) -> (Vec<PlannerEffect>, bool) {
    let demand = node.fleet_demand(now);
    let Some(table) = node.table() else {
        return (Vec::new(), false);
    };
    let mut guard = node.state.borrow_mut();
    let state = &mut *guard;
    let mut effects = Vec::new();
    for service in &table.policy().services {
        let Some(policy) = &service.engine else {
            continue;
        };
        let endpoints: Vec<(&EndpointEntry, bool)> = state
            .directory
            .all()
            .filter(|known| known.entry.service == service.id)
            .map(|known| {
                let grade = state.health.grade(&known.entry.id, now);
                let is_usable = known.is_usable(now) && grade != HealthGrade::Ejected;
                (&known.entry, is_usable)
            })
            .collect();
        let input = PlannerInput {
            policy,
            endpoints,
            demand: &demand,
            fence,
        };
        let planner = state
            .planners
            .entry(service.id.clone())
            .or_insert_with(|| PlacementPlanner::new(now));
        effects.extend(planner.step(&input, now));
    }
    let is_urgent = |effect: &PlannerEffect| matches!(effect, PlannerEffect::MoveStarted { .. });
    let has_urgent_change = effects.iter().any(is_urgent);
    (effects, has_urgent_change)
}

/// Performs an effect of a planner; orders and status reads run in tasks of their own.
fn perform(node: &Rc<EntryNode>, clients: &OrderClients, effect: PlannerEffect) {
    match effect {
        PlannerEffect::Send(sent) => {
            let node = Rc::clone(node);
            let clients = Rc::clone(clients);
            tokio::task::spawn_local(async move { send(&node, &clients, sent).await });
        }
        PlannerEffect::ReadStatus { endpoint, address } => {
            let node = Rc::clone(node);
            let clients = Rc::clone(clients);
            tokio::task::spawn_local(async move {
                read_endpoint_status(&node, &clients, endpoint, address).await;
            });
        }
        PlannerEffect::AdapterReady { vm, location } => {
            if vm == node.settings().vm {
                node.apply_adapter_ready(location);
                return;
            }
            let address = node.state.borrow().peers.address(&vm);
            if let Some(address) = address {
                node.send_to(PeerMessage::AdapterReady(location), address);
            }
        }
        PlannerEffect::MoveStarted {
            endpoint,
            unload,
            load,
            utilization_milli,
            from_store,
        } => log::info!(
            "event=move_started endpoint={endpoint} load={load} unload={unload:?} work_milli={utilization_milli} from_store={from_store}"
        ),
    }
}

/// Last placement update that was sent.
#[derive(Debug, Default)]
struct SentUpdate {
    number: u64,
    /// Adapters that were loaded at the time.
    adapters: FnvHashSet<AdapterLocation>,
    /// Time from which the next update is complete.
    full_update_due: LocalTime,
    next_update_at: LocalTime,
}

impl SentUpdate {
    /// Broadcasts the changes since the last update or, at longer intervals, the complete
    /// state.
    fn broadcast(&mut self, node: &EntryNode, fence: u64, is_urgent: bool, now: LocalTime) {
        if !is_urgent && now < self.next_update_at {
            return;
        }
        let mut update = full_update(node, fence, now);
        let current: FnvHashSet<AdapterLocation> = update.adapters.drain(..).collect();
        update.is_complete = now >= self.full_update_due;
        if update.is_complete {
            let peers = node
                .state
                .borrow()
                .peers
                .peer_counts(now)
                .1
                .max(SMALL_FLEET_MAX_VMS) as u64;
            self.full_update_due =
                now + FULL_UPDATE_INTERVAL.fraction(peers, SMALL_FLEET_MAX_VMS as u64);
            update.adapters = current.iter().cloned().collect();
        } else {
            update.adapters = current.difference(&self.adapters).cloned().collect();
            update.removed = self.adapters.difference(&current).cloned().collect();
        }
        self.adapters = current;
        self.number += 1;
        self.next_update_at = now + UPDATE_INTERVAL;
        update.number = self.number;
        node.apply_placement(update.clone(), None, now);
        let recipients = node.state.borrow().peers.recipients(None, now);
        node.send_through_relays(PeerMessage::Placement(Box::new(update)), recipients);
    }
}

/// Returns the adapters, closing copies and loads in progress of all services.
fn full_update(node: &EntryNode, fence: u64, now: LocalTime) -> PlacementUpdate {
    let state = node.state.borrow();
    let mut update = PlacementUpdate {
        fence,
        ..PlacementUpdate::default()
    };
    for planner in state.planners.values() {
        let more = planner.update(fence, now);
        update.adapters.extend(more.adapters);
        update.closing.extend(more.closing);
        update.loading.extend(more.loading);
    }
    update
}

/// Removes an endpoint's client from the map, or creates one if it was idle for too long.
fn take_client(clients: &OrderClients, endpoint: &EndpointId, address: SocketAddrV4) -> HttpClient {
    let kept = clients.borrow_mut().remove(endpoint);
    match kept {
        Some((client, used_at)) if BootClock::now().since(used_at) < CLIENT_MAX_IDLE => client,
        _ => HttpClient::new(address),
    }
}

/// Sends an order if this VM still holds the lease, and records the reply.
async fn send(node: &Rc<EntryNode>, clients: &OrderClients, sent: SentOrder) {
    let mut headers = HeaderMap::new();
    write_expected_instance(&mut headers, &sent.endpoint);
    let body = order_body(&sent, &node.settings().vm);
    let mut client = take_client(clients, &sent.endpoint, sent.address);
    let is_permitted = node.take_send_permit(&sent.endpoint).await;
    // The lease may have expired if the process was paused since the order was planned.
    let reply = if is_permitted && node.order_fence(BootClock::now()) == Some(sent.fence) {
        increment(&node.stats.orders);
        node.state.borrow_mut().last_order = Some(BootClock::now());
        let sent_at = BootClock::now();
        let call = client.call(Method::POST, order_path(), headers, body, ORDER_TIMEOUT);
        match call.await {
            Ok(answer) => {
                record_limit(node, &sent.endpoint, &answer, sent_at);
                read_order_reply(answer.status)
            }
            Err(CallFailure::NotSent) => OrderReply::NotSent,
            Err(_) => {
                client.reset();
                OrderReply::Unknown
            }
        }
    } else {
        OrderReply::NotSent
    };
    let now = BootClock::now();
    clients
        .borrow_mut()
        .insert(sent.endpoint.clone(), (client, now));
    log::info!(
        "event=order_answered endpoint={} order={:?} after={} fence={} reply={reply:?}",
        sent.endpoint,
        sent.order,
        sent.after,
        sent.fence
    );
    with_planner(node, &sent.endpoint, |planner| {
        planner.record_reply(&sent.endpoint, &sent.order, reply, now);
    });
    node.orders_due.notify_one();
}

/// Reads an endpoint's status and records it in the planner.
async fn read_endpoint_status(
    node: &Rc<EntryNode>,
    clients: &OrderClients,
    endpoint: EndpointId,
    address: SocketAddrV4,
) {
    // The planner asks again at its next step.
    if !node.take_send_permit(&endpoint).await {
        return;
    }
    let requested_at = BootClock::now();
    let mut headers = HeaderMap::new();
    write_expected_instance(&mut headers, &endpoint);
    let mut client = take_client(clients, &endpoint, address);
    let call = client.call(Method::GET, STATUS_PATH, headers, Vec::new(), ORDER_TIMEOUT);
    let answer = call.await;
    let now = BootClock::now();
    if let Ok(answer) = &answer {
        record_limit(node, &endpoint, answer, requested_at);
    }
    match answer {
        Ok(answer) if answer.status == StatusCode::OK => match read_report(&answer.body) {
            Ok(status) => with_planner(node, &endpoint, |planner| {
                planner.record_status(&endpoint, &status, requested_at, now);
            }),
            Err(error) => {
                log::warn!("event=status_unreadable endpoint={endpoint} error=\"{error}\"");
            }
        },
        Ok(answer) => log::info!(
            "event=status_refused endpoint={endpoint} status={}",
            answer.status.as_u16()
        ),
        Err(error) => {
            client.reset();
            log::info!("event=status_failed endpoint={endpoint} error=\"{error}\"");
        }
    }
    clients.borrow_mut().insert(endpoint, (client, now));
    node.orders_due.notify_one();
}

/// Records the limit that an endpoint states in its answer to an order or a status read.
fn record_limit(node: &EntryNode, endpoint: &EndpointId, answer: &CallReply, sent_at: LocalTime) {
    // Another endpoint may have taken over the address.
    if answer.status != StatusCode::MISDIRECTED_REQUEST {
        node.record_limit(endpoint, read_limit(&answer.headers), sent_at);
    }
}

/// Calls a function on the planner of an endpoint's service, if there is one.
fn with_planner(node: &EntryNode, endpoint: &EndpointId, act: impl FnOnce(&mut PlacementPlanner)) {
    let mut guard = node.state.borrow_mut();
    let state = &mut *guard;
    let service: Option<ServiceId> = state
        .directory
        .get(endpoint)
        .map(|known| known.entry.service.clone());
    if let Some(planner) = service.and_then(|id| state.planners.get_mut(&id)) {
        act(planner);
    }
}

impl EntryNode {
    /// Returns the fencing number if this VM may send orders now and reaches endpoints.
    pub(crate) fn order_fence(&self, now: LocalTime) -> Option<u64> {
        let state = self.state.borrow();
        let fence = state.lease.as_ref()?.fence(now);
        fence.filter(|_| !state.paths.is_cut())
    }

    /// Prepares the planners after the lease was acquired: they keep their state if no other
    /// VM held the lease in between, and start anew otherwise.
    pub(crate) fn start_orders(&self, is_resumed: bool, now: LocalTime) {
        let mut state = self.state.borrow_mut();
        for planner in state.planners.values_mut() {
            if is_resumed {
                planner.resume();
            } else {
                planner.reset(now);
            }
        }
    }
}
