//! What each event of the world does.

use super::FakeKey;
use super::chance::{happens, up_to};
use super::engine::EngineStep;
use super::world::FakeWorld;
use super::world_event::{FlyingOrder, WorldEvent};
use clementinepond_decide::plan::{
    ModelState, OrderReply, PlanEffect, PlanEvent, PlanObject, reduce,
};
use clementinepond_decide::port::{ReadReply, StoreReply};
use clementinepond_types::ObjectVersion;
use rand::RngExt;

/// Longest time of a call to the platform, in microseconds.
const CALL_US: u64 = 20_000;
/// Time after which a call counts as unanswered, in microseconds.
const CALL_TIMEOUT_US: u64 = 1_000_000;
/// Longest flight of an order, in microseconds.
const FLIGHT_US: u64 = 400_000;
/// Longest delay of an order that leaves late, in microseconds.
const LATE_US: u64 = 40_000_000;
/// Longest time from an order's arrival to its effect, in microseconds.
const EFFECT_US: u64 = 400_000;
/// Time for which a crash excuses the loss of a last copy, in microseconds.
const CRASH_EXCUSE_US: u64 = 20_000_000;

impl FakeWorld {
    pub(super) fn happen(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick { vm, life } => self.tick(vm, life),
            WorldEvent::Deliver { vm, life, event } => self.deliver(vm, life, event),
            WorldEvent::Act { vm, life, effect } => {
                if self.is_current(vm, life) {
                    self.act(vm, effect);
                }
            }
            WorldEvent::ReadArrives { vm, life } => {
                let reply = self.platforms[self.vms[vm].centre].read();
                self.answer(vm, life, PlanEvent::ReadReplied { reply });
            }
            WorldEvent::StoreArrives {
                vm,
                life,
                object,
                if_version,
                is_answered,
            } => {
                let write = object.write_id();
                let centre = self.vms[vm].centre;
                let reply = self.platforms[centre].store(*object, if_version);
                if is_answered {
                    self.answer(vm, life, PlanEvent::StoreReplied { write, reply });
                }
            }
            WorldEvent::OrderActs { endpoint, order } => self.order_acts(endpoint, order),
            WorldEvent::Loaded {
                endpoint,
                incarnation,
                key,
            } => self.loaded(endpoint, incarnation, &key),
            WorldEvent::Unloaded {
                endpoint,
                incarnation,
                key,
            } => self.unloaded(endpoint, incarnation, &key),
            WorldEvent::Report { endpoint } => self.report(endpoint),
        }
    }

    fn is_current(&self, vm: usize, life: u32) -> bool {
        self.vms[vm].is_alive && self.vms[vm].life == life
    }

    fn tick(&mut self, vm: usize, life: u32) {
        if !self.is_current(vm, life) {
            return;
        }
        let seed = self.rng.random();
        self.deliver(vm, life, PlanEvent::Tick { seed });
        let next = self.now + self.setup.tick_us;
        self.push(next, WorldEvent::Tick { vm, life });
    }

    fn deliver(&mut self, vm: usize, life: u32, event: PlanEvent) {
        if !self.is_current(vm, life) {
            return;
        }
        let wakes_at = self.vms[vm].paused_until;
        if wakes_at > self.now {
            self.push(wakes_at, WorldEvent::Deliver { vm, life, event });
            return;
        }
        self.tell(vm, event);
    }

    /// Hands an event to a VM and carries out its effects, after a pause if
    /// one falls between.
    pub(super) fn tell(&mut self, vm: usize, event: PlanEvent) {
        let local = self.vms[vm].local(self.now);
        let effects = reduce(&mut self.vms[vm].state, event, local);
        if effects.is_empty() {
            return;
        }
        if happens(&mut self.rng, self.setup.rates.pause) {
            let pause = up_to(&mut self.rng, self.setup.rates.pause_us);
            self.vms[vm].paused_until = self.now + pause;
        }
        let act_at = self.vms[vm].paused_until.max(self.now);
        let life = self.vms[vm].life;
        for effect in effects {
            if act_at > self.now {
                self.push(act_at, WorldEvent::Act { vm, life, effect });
            } else {
                self.act(vm, effect);
            }
        }
    }

    fn answer(&mut self, vm: usize, life: u32, event: PlanEvent) {
        let at = self.now + up_to(&mut self.rng, CALL_US);
        self.push(at, WorldEvent::Deliver { vm, life, event });
    }

    fn act(&mut self, vm: usize, effect: PlanEffect) {
        match effect {
            PlanEffect::Read { .. } => self.act_read(vm),
            PlanEffect::Store {
                object, if_version, ..
            } => self.act_store(vm, object, if_version),
            PlanEffect::Order { .. } => self.act_order(vm, effect),
            PlanEffect::Publish { .. } => {}
        }
    }

    fn act_read(&mut self, vm: usize) {
        let life = self.vms[vm].life;
        if happens(&mut self.rng, self.setup.rates.answer_lost) {
            let event = PlanEvent::ReadReplied {
                reply: ReadReply::Unavailable,
            };
            let at = self.now + CALL_TIMEOUT_US;
            self.push(at, WorldEvent::Deliver { vm, life, event });
            return;
        }
        let at = self.now + up_to(&mut self.rng, CALL_US);
        self.push(at, WorldEvent::ReadArrives { vm, life });
    }

    fn act_store(&mut self, vm: usize, object: Box<PlanObject>, if_version: ObjectVersion) {
        let life = self.vms[vm].life;
        let is_lost = happens(&mut self.rng, self.setup.rates.answer_lost);
        if is_lost {
            let event = PlanEvent::StoreReplied {
                write: object.write_id(),
                reply: StoreReply::Unknown,
            };
            let at = self.now + CALL_TIMEOUT_US;
            self.push(at, WorldEvent::Deliver { vm, life, event });
            if self.rng.random_bool(0.5) {
                return;
            }
        }
        // A lost answer's update may land after its writer gave up waiting.
        let flight = if is_lost {
            3 * CALL_TIMEOUT_US
        } else {
            CALL_US
        };
        let at = self.now + up_to(&mut self.rng, flight);
        let arrival = WorldEvent::StoreArrives {
            vm,
            life,
            object,
            if_version,
            is_answered: !is_lost,
        };
        self.push(at, arrival);
    }

    fn act_order(&mut self, vm: usize, effect: PlanEffect) {
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
        let order = FlyingOrder {
            vm,
            number,
            fencing: fencing_number,
            action,
        };
        let copies = 1 + u32::from(happens(&mut self.rng, self.setup.rates.order_doubled));
        for _ in 0..copies {
            if happens(&mut self.rng, self.setup.rates.order_lost) {
                continue;
            }
            let is_late = happens(&mut self.rng, self.setup.rates.order_late);
            let delay = if is_late { LATE_US } else { 0 };
            let leaves_at = self.now + up_to(&mut self.rng, delay);
            // The edge reads the clock again and drops what is late.
            if self.vms[vm].local(leaves_at) >= deadline {
                continue;
            }
            let flight = up_to(&mut self.rng, FLIGHT_US) + up_to(&mut self.rng, EFFECT_US);
            let event = WorldEvent::OrderActs {
                endpoint: index,
                order: order.clone(),
            };
            self.push(leaves_at + flight, event);
        }
    }

    fn order_acts(&mut self, endpoint: usize, order: FlyingOrder) {
        let engine = &mut self.engines[endpoint];
        let is_old = order.fencing < engine.largest_fencing && !engine.checks_fencing;
        let step = engine.apply(order.number, order.fencing, &order.action);
        let incarnation = engine.incarnation;
        self.checks.orders += u64::from(step != EngineStep::Refused);
        self.checks.old_orders += u64::from(is_old);
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
        let life = self.vms[order.vm].life;
        self.answer(order.vm, life, event);
    }

    fn begin_load(&mut self, endpoint: usize, incarnation: u64, key: FakeKey) {
        self.loading += 1;
        self.checks.moves += 1;
        self.checks.most_loads = self.checks.most_loads.max(self.loading);
        let crowd = u64::try_from(self.loading.div_ceil(self.setup.store_at_once)).unwrap_or(1);
        let at = self.now + self.setup.load_us * crowd;
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
        let is_excused = self
            .crashed_at
            .get(model)
            .is_some_and(|&at| self.now < at + CRASH_EXCUSE_US);
        if is_hosted && !is_served && !is_excused {
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

    fn loaded(&mut self, endpoint: usize, incarnation: u64, key: &FakeKey) {
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

    fn unloaded(&mut self, endpoint: usize, incarnation: u64, key: &FakeKey) {
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
        for vm in self.living(centre) {
            if happens(&mut self.rng, self.setup.rates.report_lost) {
                continue;
            }
            let at = self.now + up_to(&mut self.rng, self.setup.rates.report_lag_us);
            let event = WorldEvent::Deliver {
                vm,
                life: self.vms[vm].life,
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
