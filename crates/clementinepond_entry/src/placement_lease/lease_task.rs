//! Task that acquires and renews the placement lease in the store.

use crate::clock::BootClock;
use crate::node::{EntryNode, increment};
use crate::settings::CapacitySettings;
use crate::store::{StoreClient, WriteOutcome};
use clementinepond_dispatch::lease::{
    LeaseEffect, LeaseEvent, LeaseRecord, PlacementLease, StoredLease,
};
use clementinepond_dispatch::select::rendezvous_weight;
use clementinepond_platform::{LEASE_KIND, StoreObject, era_of};
use clementinepond_types::{LocalTime, TimeSpan};
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Name of the lease object in the store.
const LEASE_NAME: &str = "placement";
/// Interval between steps of the lease state machine.
const TICK_INTERVAL: TimeSpan = TimeSpan::from_millis(100);
/// Range over which the VMs' first attempts are spread.
const STAGGER_RANGE_MS: u64 = 900;
/// Bandwidth that is enough for the lease holder of a large fleet.
const FULL_LINK_MBPS: f64 = 100.0;
/// Processor cores that are enough for the lease holder of a large fleet.
const FULL_CPU_SHARE: f64 = 0.25;
/// Maximum delay of a small VM's attempts, so that larger VMs acquire the lease first.
const MAX_CAPACITY_DELAY_MS: f64 = 900.0;
/// Number of peers up to which attempts are spread over [`STAGGER_RANGE_MS`]; with more
/// peers the range grows in proportion, since each attempt is a call of the store.
const STAGGER_FLEET_VMS: u64 = 20;

/// Acquires and renews the lease until the VM stops.
pub(crate) async fn run_lease(node: Rc<EntryNode>, stop: CancellationToken) {
    let settings = node.settings();
    let stagger = rendezvous_weight(0, settings.vm.as_str()) % STAGGER_RANGE_MS;
    let first_delay = TimeSpan::from_millis(stagger + capacity_delay_ms(&settings.capacity));
    let lease = PlacementLease::new(
        settings.vm.clone(),
        node.incarnation,
        settings.orders.holder_gap(),
        first_delay,
        BootClock::now(),
    );
    node.state.borrow_mut().lease = Some(lease);
    let mut client = StoreClient::new(settings.store.address);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(TICK_INTERVAL.duration()) => {}
        }
        let now = BootClock::now();
        let (holder_live, peers, can_order) = {
            let state = node.state.borrow();
            (
                state.has_live_holder(now),
                state.peers.peer_counts(now).1 as u64,
                !state.paths.is_cut(),
            )
        };
        let takeover_delay = first_delay.fraction(peers.max(STAGGER_FLEET_VMS), STAGGER_FLEET_VMS);
        let tick = LeaseEvent::Tick {
            holder_live,
            takeover_delay,
            can_order,
        };
        let effects = reduce(&node, tick, now);
        perform(&node, &mut client, effects).await;
    }
}

/// Returns the delay in milliseconds by which a small VM's attempts follow those of larger
/// VMs.
fn capacity_delay_ms(capacity: &CapacitySettings) -> u64 {
    let shortfall = |value: Option<f64>, full: f64| {
        value.map_or(0.0, |value| (1.0 - value / full).clamp(0.0, 1.0))
    };
    let largest_shortfall = shortfall(capacity.link_mbps, FULL_LINK_MBPS)
        .max(shortfall(capacity.cpu_share, FULL_CPU_SHARE));
    (largest_shortfall * MAX_CAPACITY_DELAY_MS) as u64
}

/// Releases the lease before the VM stops.
pub(crate) async fn release_lease(node: &Rc<EntryNode>) {
    let mut client = StoreClient::new(node.settings().store.address);
    let effects = reduce(node, LeaseEvent::Release, BootClock::now());
    perform(node, &mut client, effects).await;
}

fn reduce(node: &EntryNode, event: LeaseEvent, now: LocalTime) -> Vec<LeaseEffect> {
    let mut state = node.state.borrow_mut();
    match &mut state.lease {
        Some(lease) => lease.reduce(event, now),
        None => Vec::new(),
    }
}

/// Performs effects of the state machine, including those that their results lead to.
async fn perform(node: &Rc<EntryNode>, client: &mut StoreClient, effects: Vec<LeaseEffect>) {
    let mut queue: std::collections::VecDeque<LeaseEffect> = effects.into();
    while let Some(effect) = queue.pop_front() {
        let event = match effect {
            LeaseEffect::Read => read(node, client).await,
            LeaseEffect::Write { expected, record } => write(node, client, expected, &record).await,
            LeaseEffect::Acquired {
                fence,
                orders_allowed_from,
                is_resumed,
            } => {
                let wait = BootClock::now().until(orders_allowed_from);
                log::info!("event=duty_acquired fence={fence} orders_in={wait}");
                node.start_orders(is_resumed, BootClock::now());
                continue;
            }
            LeaseEffect::Lost => {
                log::info!("event=duty_lost");
                continue;
            }
        };
        queue.extend(reduce(node, event, BootClock::now()));
    }
}

async fn read(node: &EntryNode, client: &mut StoreClient) -> LeaseEvent {
    increment(&node.stats.store_calls);
    match client.read(LEASE_KIND, LEASE_NAME).await {
        Ok(Some(object)) => LeaseEvent::Read(parse_lease(object)),
        Ok(None) => LeaseEvent::Read(StoredLease {
            revision: 0,
            record: None,
            may_lack_holder: client.era() > 0,
        }),
        Err(error) => {
            log::debug!("event=lease_unread error=\"{error}\"");
            LeaseEvent::Unknown
        }
    }
}

async fn write(
    node: &EntryNode,
    client: &mut StoreClient,
    expected: u64,
    record: &LeaseRecord,
) -> LeaseEvent {
    increment(&node.stats.store_calls);
    let spec = match serde_json::to_value(record) {
        Ok(spec) => spec,
        Err(error) => {
            log::error!("event=lease_unwritable error=\"{error}\"");
            return LeaseEvent::Unknown;
        }
    };
    let revision = (expected > 0).then_some(expected);
    match client.write(LEASE_KIND, LEASE_NAME, revision, &spec).await {
        WriteOutcome::Written(object) => LeaseEvent::Written {
            revision: object.revision,
        },
        WriteOutcome::Conflict(Some(object)) => LeaseEvent::Conflict(parse_lease(object)),
        WriteOutcome::Conflict(None) => LeaseEvent::Unknown,
        WriteOutcome::Refused(status) => {
            log::debug!("event=lease_refused status={}", status.as_u16());
            LeaseEvent::Unknown
        }
        WriteOutcome::Unknown(failure) => {
            log::debug!("event=lease_unknown error=\"{failure}\"");
            LeaseEvent::Unknown
        }
    }
}

fn parse_lease(object: StoreObject) -> StoredLease {
    let record = match serde_json::from_value(object.spec) {
        Ok(record) => Some(record),
        Err(error) => {
            log::warn!("event=object_malformed kind={LEASE_KIND} error=\"{error}\"");
            None
        }
    };
    StoredLease {
        revision: object.revision,
        record,
        may_lack_holder: era_of(object.revision) > 0,
    }
}
