//! Loads adapters that requests wait for.

use super::{AdapterWait, PlacementPlanner, PlannerEffect, PlannerInput, adapter_hash};
use crate::fleet::EnginePolicy;
use crate::load::NameHash;
use crate::peer::AdapterLocation;
use crate::placement::order::EndpointOrder;
use crate::placement::order_tracker::AdapterPhase;
use clementinepond_types::{LocalTime, TimeSpan};

/// Time since the last request for an adapter after which it may be evicted. An adapter
/// that a stream still uses blocks all further orders until the stream ends.
const ADAPTER_MIN_IDLE: TimeSpan = TimeSpan::from_millis(2_500);

/// Next step for a request that waits for an adapter.
enum AdapterStep {
    /// The adapter is loaded.
    Ready,
    /// Nothing can be done yet.
    Wait,
    /// Send an order that loads the adapter or frees a slot for it.
    Order(EndpointOrder),
}

impl PlacementPlanner {
    /// Sends the orders for adapters that requests wait for, and notifies the VMs of
    /// those that are loaded.
    pub(super) fn advance_adapters(
        &mut self,
        input: &PlannerInput<'_>,
        now: LocalTime,
        effects: &mut Vec<PlannerEffect>,
    ) {
        let waits = std::mem::take(&mut self.waits);
        for wait in waits {
            let Some((entry, _)) = input
                .endpoints
                .iter()
                .find(|(entry, is_usable)| entry.id == wait.endpoint && *is_usable)
            else {
                continue;
            };
            if entry.hosted(&wait.model).is_none() {
                continue;
            }
            let order = match self.adapter_step(input.policy, &wait, now) {
                AdapterStep::Ready => {
                    let location = AdapterLocation {
                        endpoint: NameHash::of(wait.endpoint.as_str()),
                        adapter: adapter_hash(&wait.model, &wait.adapter),
                    };
                    for vm in wait.vms {
                        let location = location.clone();
                        effects.push(PlannerEffect::AdapterReady { vm, location });
                    }
                    continue;
                }
                AdapterStep::Wait => {
                    self.waits.push(wait);
                    continue;
                }
                AdapterStep::Order(order) => order,
            };
            effects.extend(self.send(entry, order, input.fence, now));
            self.waits.push(wait);
        }
    }

    fn adapter_step(
        &mut self,
        policy: &EnginePolicy,
        wait: &AdapterWait,
        now: LocalTime,
    ) -> AdapterStep {
        let Some(tracker) = self.trackers.get_mut(&wait.endpoint) else {
            return AdapterStep::Wait;
        };
        let key = (wait.model.clone(), wait.adapter.clone());
        match tracker.adapters.get_mut(&key) {
            Some(held) if held.phase != AdapterPhase::Unloading => {
                held.used_at = now;
                if now < held.ready_at {
                    return AdapterStep::Wait;
                }
                held.phase = AdapterPhase::Loaded;
                return AdapterStep::Ready;
            }
            _ => {}
        }
        let is_busy = tracker.loading.is_some() || tracker.unloading.is_some();
        if !tracker.is_idle(now) || tracker.order_count.is_none() || is_busy {
            return AdapterStep::Wait;
        }
        if tracker.adapter_slots_taken() < policy.adapter_slots as usize {
            return AdapterStep::Order(EndpointOrder::LoadAdapter(key.0, key.1));
        }
        let victim = tracker
            .adapters
            .iter()
            .filter(|(_, held)| held.phase != AdapterPhase::Unloading && now >= held.ready_at)
            .filter(|(_, held)| now.since(held.used_at) > ADAPTER_MIN_IDLE)
            .min_by_key(|(_, held)| held.used_at)
            .map(|((model, adapter), _)| (model.clone(), adapter.clone()));
        match victim {
            Some((model, adapter)) => {
                AdapterStep::Order(EndpointOrder::UnloadAdapter(model, adapter))
            }
            None => AdapterStep::Wait,
        }
    }
}
