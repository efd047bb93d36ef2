//! Adapters that requests wait for.

use super::{AdapterWait, PlacementPlanner, PlannerEffect, PlannerInput, adapter_key};
use crate::fleet::EnginePolicy;
use crate::ledger::EndpointKey;
use crate::peer::AdapterPlace;
use crate::place::order::EndpointOrder;
use crate::place::order_book::AdapterPhase;
use clementinepond_types::{LocalTime, TimeSpan};

/// Time after its last request for which an adapter is not displaced: an adapter
/// that a stream still uses blocks all further orders until the stream ends.
const ADAPTER_REST: TimeSpan = TimeSpan::from_millis(2_500);

enum AdapterStep {
    Ready,
    Wait,
    Order(EndpointOrder),
}

impl PlacementPlanner {
    pub(super) fn carry_adapters(
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
                    let place = AdapterPlace {
                        endpoint: EndpointKey::of(wait.endpoint.as_str()),
                        adapter: adapter_key(&wait.model, &wait.adapter),
                    };
                    for vm in wait.vms {
                        let place = place.clone();
                        effects.push(PlannerEffect::AdapterReady { vm, place });
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
        let Some(book) = self.books.get_mut(&wait.endpoint) else {
            return AdapterStep::Wait;
        };
        let key = (wait.model.clone(), wait.adapter.clone());
        match book.adapters.get_mut(&key) {
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
        let is_busy = book.loading.is_some() || book.unloading.is_some();
        if !book.is_idle(now) || book.order_count.is_none() || is_busy {
            return AdapterStep::Wait;
        }
        if book.adapter_slots_taken() < policy.adapter_slots as usize {
            return AdapterStep::Order(EndpointOrder::LoadAdapter(key.0, key.1));
        }
        let victim = book
            .adapters
            .iter()
            .filter(|(_, held)| held.phase != AdapterPhase::Unloading && now >= held.ready_at)
            .filter(|(_, held)| now.since(held.used_at) > ADAPTER_REST)
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
