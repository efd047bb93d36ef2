//! Handling of simulator events.

use super::FakeKey;
use super::engine::EngineStep;
use super::faults::{happens, random_up_to};
use super::world::FakeWorld;
use super::world_event::{InFlightOrder, WorldEvent};
use clementinepond_decide::plan::{
    ModelState, OrderReply, PlanEffect, PlanEvent, PlanObject, reduce,
};
use clementinepond_decide::port::{ReadReply, StoreReply};
use clementinepond_types::ObjectVersion;
use rand::RngExt;

/// Maximum one-way delay of a platform call, or of the reply to a call or an order, in microseconds.
const MAX_CALL_DELAY_US: u64 = 20_000;
/// Time after which a platform call counts as unanswered, in microseconds.
const CALL_TIMEOUT_US: u64 = 1_000_000;
/// Maximum delay of an order between VM and endpoint, in microseconds.
const MAX_DELIVERY_DELAY_US: u64 = 400_000;
/// Maximum delay before a delayed order is sent, in microseconds.
const MAX_SEND_DELAY_US: u64 = 40_000_000;
/// Maximum time from an order's arrival to its effect, in microseconds.
const MAX_EFFECT_DELAY_US: u64 = 400_000;
/// Time after an endpoint crash in which unloading the last ready copy of a
/// model that it held is no violation, in microseconds.
const CRASH_GRACE_US: u64 = 20_000_000;

impl FakeWorld {
    pub(super) fn handle_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick { vm, vm_incarnation } => self.tick(vm, vm_incarnation),
            WorldEvent::Deliver {
                vm,
                vm_incarnation,
                event,
            } => self.deliver(vm, vm_incarnation, event),
            WorldEvent::PerformEffect {
                vm,
                vm_incarnation,
                effect,
            } => {
                if self.is_current(vm, vm_incarnation) {
                    self.perform_effect(vm, effect);
                }
            }
            WorldEvent::ReadArrives { vm, vm_incarnation } => {
                let reply = self.platforms[self.vms[vm].centre].read();
                self.schedule_reply(vm, vm_incarnation, PlanEvent::ReadReplied { reply });
            }
            WorldEvent::StoreArrives {
                vm,
                vm_incarnation,
                object,
                if_version,
                is_answered,
            } => {
                let write = object.write_id();
                let centre = self.vms[vm].centre;
                let reply = self.platforms[centre].store(*object, if_version);
                if is_answered {
                    self.schedule_reply(
                        vm,
                        vm_incarnation,
                        PlanEvent::StoreReplied { write, reply },
                    );
                }
            }
            WorldEvent::OrderArrives { endpoint, order } => self.apply_order(endpoint, order),
            WorldEvent::Loaded {
                endpoint,
                incarnation,
                key,
            } => self.finish_load(endpoint, incarnation, &key),
            WorldEvent::Unloaded {
                endpoint,
                incarnation,
                key,
            } => self.finish_unload(endpoint, incarnation, &key),
            WorldEvent::Report { endpoint } => self.report(endpoint),
        }
    }

    fn is_current(&self, vm: usize, vm_incarnation: u32) -> bool {
        self.vms[vm].is_alive && self.vms[vm].vm_incarnation == vm_incarnation
    }

    fn tick(&mut self, vm: usize, vm_incarnation: u32) {
        if !self.is_current(vm, vm_incarnation) {
            return;
        }
        let seed = self.rng.random();
        self.deliver(vm, vm_incarnation, PlanEvent::Tick { seed });
        let next = self.now + self.setup.tick_us;
        self.push(next, WorldEvent::Tick { vm, vm_incarnation });
    }

    fn deliver(&mut self, vm: usize, vm_incarnation: u32, event: PlanEvent) {
        if !self.is_current(vm, vm_incarnation) {
            return;
        }
        let wakes_at = self.vms[vm].paused_until;
        if wakes_at > self.now {
            self.push(
                wakes_at,
                WorldEvent::Deliver {
                    vm,
                    vm_incarnation,
                    event,
                },
            );
            return;
        }
        self.apply_event(vm, event);
    }

    /// Applies an event to a VM and performs its effects, after an injected pause if any.
    pub(super) fn apply_event(&mut self, vm: usize, event: PlanEvent) {
        let local = self.vms[vm].local(self.now);
        let effects = reduce(&mut self.vms[vm].state, event, local);
        if effects.is_empty() {
            return;
        }
        if happens(&mut self.rng, self.setup.rates.pause) {
            let pause = random_up_to(&mut self.rng, self.setup.rates.pause_us);
            self.vms[vm].paused_until = self.now + pause;
        }
        let perform_at = self.vms[vm].paused_until.max(self.now);
        let vm_incarnation = self.vms[vm].vm_incarnation;
        for effect in effects {
            if perform_at > self.now {
                self.push(
                    perform_at,
                    WorldEvent::PerformEffect {
                        vm,
                        vm_incarnation,
                        effect,
                    },
                );
            } else {
                self.perform_effect(vm, effect);
            }
        }
    }

    fn schedule_reply(&mut self, vm: usize, vm_incarnation: u32, event: PlanEvent) {
        let at = self.now + random_up_to(&mut self.rng, MAX_CALL_DELAY_US);
        self.push(
            at,
            WorldEvent::Deliver {
                vm,
                vm_incarnation,
                event,
            },
        );
    }

    fn perform_effect(&mut self, vm: usize, effect: PlanEffect) {
        match effect {
            PlanEffect::Read { .. } => self.perform_read(vm),
            PlanEffect::Store {
                object, if_version, ..
            } => self.perform_store(vm, object, if_version),
            PlanEffect::Order { .. } => self.perform_order(vm, effect),
            PlanEffect::Publish { .. } => {}
        }
    }

    fn perform_read(&mut self, vm: usize) {
        let vm_incarnation = self.vms[vm].vm_incarnation;
        if happens(&mut self.rng, self.setup.rates.answer_lost) {
            let event = PlanEvent::ReadReplied {
                reply: ReadReply::Unavailable,
            };
            let at = self.now + CALL_TIMEOUT_US;
            self.push(
                at,
                WorldEvent::Deliver {
                    vm,
                    vm_incarnation,
                    event,
                },
            );
            return;
        }
        let at = self.now + random_up_to(&mut self.rng, MAX_CALL_DELAY_US);
        self.push(at, WorldEvent::ReadArrives { vm, vm_incarnation });
    }

    fn perform_store(&mut self, vm: usize, object: Box<PlanObject>, if_version: ObjectVersion) {
        let vm_incarnation = self.vms[vm].vm_incarnation;
        let is_lost = happens(&mut self.rng, self.setup.rates.answer_lost);
        if is_lost {
            let event = PlanEvent::StoreReplied {
                write: object.write_id(),
                reply: StoreReply::Unknown,
            };
            let at = self.now + CALL_TIMEOUT_US;
            self.push(
                at,
                WorldEvent::Deliver {
                    vm,
                    vm_incarnation,
                    event,
                },
            );
            if self.rng.random_bool(0.5) {
                return;
            }
        }
        // A write whose answer is lost may take effect after the writer timed out.
        let delay_limit = if is_lost {
            3 * CALL_TIMEOUT_US
        } else {
            MAX_CALL_DELAY_US
        };
        let at = self.now + random_up_to(&mut self.rng, delay_limit);
        let arrival = WorldEvent::StoreArrives {
            vm,
            vm_incarnation,
            object,
            if_version,
            is_answered: !is_lost,
        };
        self.push(at, arrival);
    }

    fn perform_order(&mut self, vm: usize, effect: PlanEffect) {
        let PlanEffect::Order {
            endpoint,
            number,
            fencing_number,
            action,
            deadline,
        } = effect
        else {
            return;
        };
        let Some(index) = self.engines.iter().position(|engine| engine.id == endpoint) else {
            return;
        };
        let order = InFlightOrder {
            vm,
            number,
            fencing: fencing_number,
            action,
        };
        let copies = 1 + u32::from(happens(&mut self.rng, self.setup.rates.order_duplicated));
        for _ in 0..copies {
            if happens(&mut self.rng, self.setup.rates.order_lost) {
                continue;
            }
            let is_late = happens(&mut self.rng, self.setup.rates.order_delayed);
            let max_delay = if is_late { MAX_SEND_DELAY_US } else { 0 };
            let sent_at = self.now + random_up_to(&mut self.rng, max_delay);
            // The I/O layer reads the clock again and drops orders past their deadline.
            if self.vms[vm].local(sent_at) >= deadline {
                continue;
            }
            let delay = random_up_to(&mut self.rng, MAX_DELIVERY_DELAY_US)
                + random_up_to(&mut self.rng, MAX_EFFECT_DELAY_US);
            let event = WorldEvent::OrderArrives {
                endpoint: index,
                order: order.clone(),
            };
            self.push(sent_at + delay, event);
        }
    }

    fn apply_order(&mut self, endpoint: usize, order: InFlightOrder) {
        let engine = &mut self.engines[endpoint];
        let is_stale = order.fencing < engine.largest_fencing && !engine.checks_fencing;
        let step = engine.apply(order.number, order.fencing, &order.action);
        let incarnation = engine.incarnation;
        self.checks.orders += u64::from(step != EngineStep::Refused);
        self.checks.stale_orders += u64::from(is_stale);
        let reply = match &step {
            EngineStep::NoMemory => OrderReply::NoMemory,
            EngineStep::Refused => OrderReply::Refused,
            _ => OrderReply::Accepted,
        };
        match step {
            EngineStep::Loading(key) => self.begin_load(endpoint, incarnation, key),
            EngineStep::Draining(key) => self.begin_unload(endpoint, incarnation, key),
            EngineStep::NoMemory => self.checks.overcommitted += 1,
            EngineStep::Nothing | EngineStep::Refused => {}
        }
        let event = PlanEvent::OrderReplied {
            endpoint: self.engines[endpoint].id.clone(),
            number: order.number,
            reply,
        };
        let vm_incarnation = self.vms[order.vm].vm_incarnation;
        self.schedule_reply(order.vm, vm_incarnation, event);
    }

    fn begin_load(&mut self, endpoint: usize, incarnation: u64, key: FakeKey) {
        self.loading += 1;
        self.checks.moves += 1;
        self.checks.max_concurrent_loads = self.checks.max_concurrent_loads.max(self.loading);
        let slowdown = u64::try_from(self.loading.div_ceil(self.setup.store_at_once)).unwrap_or(1);
        let at = self.now + self.setup.load_us * slowdown;
        let event = WorldEvent::Loaded {
            endpoint,
            incarnation,
            key,
        };
        self.push(at, event);
    }

    fn begin_unload(&mut self, endpoint: usize, incarnation: u64, key: FakeKey) {
        self.checks.moves += 1;
        let model = &key.0;
        let is_hosted = self
            .catalogues
            .iter()
            .any(|catalogue| catalogue.models.contains_key(model));
        let is_served = self.engines.iter().any(|engine| engine.serves(model));
        let is_in_crash_grace = self
            .crashed_at
            .get(model)
            .is_some_and(|&at| self.now < at + CRASH_GRACE_US);
        if is_hosted && !is_served && !is_in_crash_grace {
            self.checks.last_copies_unloaded += 1;
        }
        let at = self.now + self.setup.drain_us;
        let event = WorldEvent::Unloaded {
            endpoint,
            incarnation,
            key,
        };
        self.push(at, event);
    }

    fn finish_load(&mut self, endpoint: usize, incarnation: u64, key: &FakeKey) {
        let engine = &mut self.engines[endpoint];
        if engine.incarnation != incarnation {
            return;
        }
        self.loading -= 1;
        if let Some(copy) = engine.copies.get_mut(key)
            && copy.state == ModelState::Loading
        {
            copy.state = ModelState::Ready;
        }
    }

    fn finish_unload(&mut self, endpoint: usize, incarnation: u64, key: &FakeKey) {
        let engine = &mut self.engines[endpoint];
        if engine.incarnation == incarnation
            && engine
                .copies
                .get(key)
                .is_some_and(|copy| copy.state == ModelState::Draining)
        {
            engine.copies.remove(key);
        }
    }

    fn report(&mut self, endpoint: usize) {
        if happens(&mut self.rng, self.setup.rates.restart) {
            self.restart(endpoint);
        }
        let report = self.engines[endpoint].report();
        let centre = self.engine_centres[endpoint];
        for vm in self.live_vms(centre) {
            if happens(&mut self.rng, self.setup.rates.report_lost) {
                continue;
            }
            let at = self.now + random_up_to(&mut self.rng, self.setup.rates.report_lag_us);
            let event = WorldEvent::Deliver {
                vm,
                vm_incarnation: self.vms[vm].vm_incarnation,
                event: PlanEvent::ReportReceived {
                    report: report.clone(),
                },
            };
            self.push(at, event);
        }
        let next = self.now + self.setup.report_us;
        self.push(next, WorldEvent::Report { endpoint });
    }
}
