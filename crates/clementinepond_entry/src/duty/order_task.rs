//! Steps of the planners and the orders that follow.

use crate::clock::BootClock;
use crate::http::{CallFailure, HttpLine};
use crate::node::{EntryNode, increment};
use clementinepond_dispatch::fleet::{EndpointEntry, ServiceId};
use clementinepond_dispatch::health::HealthGrade;
use clementinepond_dispatch::peer::{
    AdapterLocation, PeerMessage, PlacementUpdate, SMALL_FLEET_MAX_VMS,
};
use clementinepond_dispatch::place::{
    OrderReply, PlacementPlanner, PlannerEffect, PlannerInput, SentOrder,
};
use clementinepond_platform::{
    STATUS_PATH, order_body, order_path, read_order_reply, read_status, write_instance,
};
use clementinepond_types::{EndpointId, LocalTime, TimeSpan};
use fnv::{FnvHashMap, FnvHashSet};
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Time between two steps while nothing wakes the task.
const STEP_INTERVAL: TimeSpan = TimeSpan::from_millis(60);
/// Time between two steps while requests wait for adapters.
const WAITING_INTERVAL: TimeSpan = TimeSpan::from_millis(4);
/// Longest time for an endpoint's answer to an order.
const ORDER_LIMIT: TimeSpan = TimeSpan::from_millis(400);
/// Time between two news of placement, which hold the changes since.
const NEWS_INTERVAL: TimeSpan = TimeSpan::from_millis(300);
/// Time between two news of all adapters in a small fleet.
const WHOLE_INTERVAL: TimeSpan = TimeSpan::from_millis(600);
/// Idle time after which a connection for orders is not used again.
const LINE_REUSE: TimeSpan = TimeSpan::from_millis(400);

/// Connections for orders, by endpoint.
type OrderLines = Rc<RefCell<FnvHashMap<EndpointId, (HttpLine, LocalTime)>>>;

/// Plans and orders while the VM holds the duty.
pub(crate) async fn run_orders(node: Rc<EntryNode>, stop: CancellationToken) {
    let lines: OrderLines = Rc::default();
    let mut sent = SentNews::default();
    loop {
        let has_waits = node
            .state
            .borrow()
            .planners
            .values()
            .any(|one| one.has_adapter_waits());
        let pause = if has_waits {
            WAITING_INTERVAL
        } else {
            STEP_INTERVAL
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = node.duty_due.notified() => {}
            () = tokio::time::sleep(pause.duration()) => {}
        }
        let now = BootClock::now();
        let Some(fence) = node.duty_fence(now) else {
            continue;
        };
        let (effects, has_orders) = step(&node, fence, now);
        for effect in effects {
            carry_out(&node, &lines, effect);
        }
        sent.spread(&node, fence, has_orders, now);
    }
}

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
    let is_news = |effect: &PlannerEffect| matches!(effect, PlannerEffect::MoveStarted { .. });
    let has_news = effects.iter().any(is_news);
    (effects, has_news)
}

fn carry_out(node: &Rc<EntryNode>, lines: &OrderLines, effect: PlannerEffect) {
    match effect {
        PlannerEffect::Send(sent) => {
            let node = Rc::clone(node);
            let lines = Rc::clone(lines);
            tokio::task::spawn_local(async move { send(&node, &lines, sent).await });
        }
        PlannerEffect::ReadStatus { endpoint, address } => {
            let node = Rc::clone(node);
            let lines = Rc::clone(lines);
            tokio::task::spawn_local(async move {
                read_endpoint_status(&node, &lines, endpoint, address).await;
            });
        }
        PlannerEffect::AdapterReady { vm, place } => {
            if vm == node.settings().vm {
                node.take_adapter_ready(place);
                return;
            }
            let address = node.state.borrow().peers.address(&vm);
            if let Some(address) = address {
                node.send_to(PeerMessage::AdapterReady(place), address);
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

/// News of placement as they were last sent.
#[derive(Debug, Default)]
struct SentNews {
    number: u64,
    adapters: FnvHashSet<AdapterLocation>,
    whole_due: LocalTime,
    next: LocalTime,
}

impl SentNews {
    /// Broadcasts the changes; at longer intervals, the whole state.
    fn spread(&mut self, node: &EntryNode, fence: u64, is_urgent: bool, now: LocalTime) {
        if !is_urgent && now < self.next {
            return;
        }
        let mut news = whole_news(node, fence, now);
        let current: FnvHashSet<AdapterLocation> = news.adapters.drain(..).collect();
        news.is_complete = now >= self.whole_due;
        if news.is_complete {
            let peers = node
                .state
                .borrow()
                .peers
                .peer_counts(now)
                .1
                .max(SMALL_FLEET_MAX_VMS) as u64;
            self.whole_due = now + WHOLE_INTERVAL.fraction(peers, SMALL_FLEET_MAX_VMS as u64);
            news.adapters = current.iter().cloned().collect();
        } else {
            news.adapters = current.difference(&self.adapters).cloned().collect();
            news.removed = self.adapters.difference(&current).cloned().collect();
        }
        self.adapters = current;
        self.number += 1;
        self.next = now + NEWS_INTERVAL;
        news.number = self.number;
        node.take_placement(news.clone(), None, now);
        node.broadcast(PeerMessage::Placement(Box::new(news)));
    }
}

fn whole_news(node: &EntryNode, fence: u64, now: LocalTime) -> PlacementUpdate {
    let state = node.state.borrow();
    let mut news = PlacementUpdate {
        fence,
        ..PlacementUpdate::default()
    };
    for planner in state.planners.values() {
        let more = planner.update(fence, now);
        news.adapters.extend(more.adapters);
        news.closing.extend(more.closing);
        news.loading.extend(more.loading);
    }
    news
}

fn take_line(lines: &OrderLines, endpoint: &EndpointId, address: SocketAddrV4) -> HttpLine {
    let kept = lines.borrow_mut().remove(endpoint);
    match kept {
        Some((line, used_at)) if BootClock::now().since(used_at) < LINE_REUSE => line,
        _ => HttpLine::new(address),
    }
}

async fn send(node: &Rc<EntryNode>, lines: &OrderLines, sent: SentOrder) {
    let mut headers = HeaderMap::new();
    write_instance(&mut headers, &sent.endpoint);
    let body = order_body(&sent, &node.settings().vm);
    let mut line = take_line(lines, &sent.endpoint, sent.address);
    // A paused process may find its authority gone here.
    let reply = if node.duty_fence(BootClock::now()) == Some(sent.fence) {
        increment(&node.stats.orders);
        node.state.borrow_mut().last_order = Some(BootClock::now());
        let call = line.call(Method::POST, order_path(), headers, body, ORDER_LIMIT);
        match call.await {
            Ok(answer) => read_order_reply(answer.status),
            Err(CallFailure::NotSent) => OrderReply::NotSent,
            Err(_) => {
                line.reset();
                OrderReply::Unknown
            }
        }
    } else {
        OrderReply::NotSent
    };
    let now = BootClock::now();
    lines
        .borrow_mut()
        .insert(sent.endpoint.clone(), (line, now));
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
    node.duty_due.notify_one();
}

async fn read_endpoint_status(
    node: &Rc<EntryNode>,
    lines: &OrderLines,
    endpoint: EndpointId,
    address: SocketAddrV4,
) {
    let asked_at = BootClock::now();
    let mut headers = HeaderMap::new();
    write_instance(&mut headers, &endpoint);
    let mut line = take_line(lines, &endpoint, address);
    let call = line.call(Method::GET, STATUS_PATH, headers, Vec::new(), ORDER_LIMIT);
    let answer = call.await;
    let now = BootClock::now();
    match answer {
        Ok(answer) if answer.status == StatusCode::OK => match read_status(&answer.body) {
            Ok(status) => with_planner(node, &endpoint, |planner| {
                planner.record_status(&endpoint, &status, asked_at, now);
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
            line.reset();
            log::info!("event=status_failed endpoint={endpoint} error=\"{error}\"");
        }
    }
    lines.borrow_mut().insert(endpoint, (line, now));
    node.duty_due.notify_one();
}

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
    /// Returns the fencing number if this VM may give orders now.
    pub(crate) fn duty_fence(&self, now: LocalTime) -> Option<u64> {
        self.state.borrow().lease.as_ref()?.fence(now)
    }

    /// Starts the duty anew, or goes on with it after a lapse.
    pub(crate) fn start_duty(&self, is_resumed: bool, now: LocalTime) {
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
