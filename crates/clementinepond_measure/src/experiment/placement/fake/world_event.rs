//! Simulator events and their order in the queue.

use super::FakeKey;
use clementinepond_decide::plan::{EndpointAction, OrderNumber, PlanEffect, PlanEvent, PlanObject};
use clementinepond_types::{FencingNumber, ObjectVersion};
use std::cmp::Ordering;

/// Order in transit to an engine.
#[derive(Debug, Clone)]
pub(super) struct InFlightOrder {
    pub(super) vm: usize,
    pub(super) number: OrderNumber,
    pub(super) fencing: FencingNumber,
    pub(super) action: EndpointAction,
}

/// Simulator event.
#[derive(Debug)]
pub(super) enum WorldEvent {
    Tick {
        vm: usize,
        vm_incarnation: u32,
    },
    Deliver {
        vm: usize,
        vm_incarnation: u32,
        event: PlanEvent,
    },
    PerformEffect {
        vm: usize,
        vm_incarnation: u32,
        effect: PlanEffect,
    },
    ReadArrives {
        vm: usize,
        vm_incarnation: u32,
    },
    StoreArrives {
        vm: usize,
        vm_incarnation: u32,
        object: Box<PlanObject>,
        if_version: ObjectVersion,
        is_answered: bool,
    },
    OrderArrives {
        endpoint: usize,
        order: InFlightOrder,
    },
    Loaded {
        endpoint: usize,
        incarnation: u64,
        key: FakeKey,
    },
    Unloaded {
        endpoint: usize,
        incarnation: u64,
        key: FakeKey,
    },
    Report {
        endpoint: usize,
    },
}

/// Event with its time in microseconds; the earliest compares greatest, since
/// `BinaryHeap` pops the greatest.
#[derive(Debug)]
pub(super) struct TimedEvent {
    pub(super) at: u64,
    pub(super) sequence: u64,
    pub(super) event: WorldEvent,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}
