//! Discrete-event simulator of VMs, platforms and engines, with fault injection.

use super::faults::random_up_to;
use super::platform::FakePlatform;
use super::vm::FakeVm;
use super::world_event::{TimedEvent, WorldEvent};
use super::{FakeEngine, FaultRates, WorldSetup};
use clementinepond_decide::plan::{
    ComputeLoad, EndpointEntry, EndpointRole, EndpointSpec, LeasePhase, ModelState,
    PlacementCatalogue, PlanEvent, PlanState,
};
use clementinepond_types::{DataCentreId, ModelId, VmId};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// Counts of invariant violations, moves and orders.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorldChecks {
    /// Number of orders that would have exceeded an endpoint's memory.
    pub overcommitted: u64,
    /// Number of unloads that left a hosted model without a ready copy, except
    /// shortly after a crash of an endpoint that held it.
    pub last_copies_unloaded: u64,
    /// Number of orders that reached an endpoint without fencing after one with
    /// a larger fencing number.
    pub stale_orders: u64,
    /// Maximum number of concurrent model loads, over all data centres.
    pub max_concurrent_loads: usize,
    /// Number of model loads and unloads that began.
    pub moves: u64,
    /// Number of orders that reached an endpoint and were not refused by fencing,
    /// duplicates included.
    pub orders: u64,
}

/// Discrete-event simulator of VMs, platforms and engines, with fault injection.
pub struct FakeWorld {
    /// Engine of each endpoint.
    pub engines: Vec<FakeEngine>,
    /// Index of the data centre of each engine.
    pub engine_centres: Vec<usize>,
    /// Counts of invariant violations, moves and orders.
    pub checks: WorldChecks,
    pub(super) now: u64,
    sequence: u64,
    pub(super) setup: WorldSetup,
    pub(super) queue: BinaryHeap<TimedEvent>,
    pub(super) rng: ChaCha8Rng,
    pub(super) platforms: Vec<FakePlatform>,
    pub(super) vms: Vec<FakeVm>,
    pub(super) catalogues: Vec<PlacementCatalogue>,
    pub(super) crashed_at: BTreeMap<ModelId, u64>,
    pub(super) loading: usize,
}

impl FakeWorld {
    /// Creates a simulator at time zero.
    #[must_use]
    pub fn new(setup: WorldSetup, seed: u64) -> Self {
        let mut world = Self {
            engines: Vec::new(),
            engine_centres: Vec::new(),
            checks: WorldChecks::default(),
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            platforms: Vec::new(),
            vms: Vec::new(),
            catalogues: Vec::new(),
            crashed_at: BTreeMap::new(),
            loading: 0,
            setup,
        };
        for centre in 0..world.setup.centres.len() {
            world.add_centre(centre);
        }
        world
    }

    fn add_centre(&mut self, centre: usize) {
        let setup = self.setup.centres[centre].clone();
        self.platforms.push(FakePlatform::default());
        self.catalogues.push(setup.catalogue);
        for endpoint in setup.endpoints {
            let mut engine = FakeEngine::new(
                endpoint.id,
                endpoint.memory,
                endpoint.accelerators,
                endpoint.checks_fencing,
            );
            for (key, memory) in endpoint.preloaded {
                engine.preload(key, memory);
            }
            let first = random_up_to(&mut self.rng, self.setup.report_us);
            let index = self.engines.len();
            self.engines.push(engine);
            self.engine_centres.push(centre);
            self.push(first, WorldEvent::Report { endpoint: index });
        }
        for _ in 0..setup.vms {
            self.add_vm(centre);
        }
    }

    fn add_vm(&mut self, centre: usize) {
        let index = self.vms.len();
        let offset = random_up_to(&mut self.rng, 1_000_000_000);
        let drift = self.rng.random_range(-1_000..=1_000);
        let state = self.new_state(centre, index);
        self.vms.push(FakeVm::new(centre, state, offset, drift));
        self.send_initial_events(index);
        let first = self.now + random_up_to(&mut self.rng, self.setup.tick_us);
        self.push(
            first,
            WorldEvent::Tick {
                vm: index,
                vm_incarnation: 0,
            },
        );
    }

    fn new_state(&self, centre: usize, index: usize) -> PlanState {
        let data_centre = self.setup.centres[centre].id.clone();
        PlanState::new(self.setup.settings.clone(), vm_name(index), data_centre)
    }

    /// Sends a new VM the events that its daemon would send at start-up.
    fn send_initial_events(&mut self, vm: usize) {
        let centre = self.vms[vm].centre;
        let mut events = vec![PlanEvent::CatalogueChanged {
            catalogue: Box::new(self.catalogues[centre].clone()),
        }];
        for (engine, held_in) in self.engines.iter().zip(&self.engine_centres) {
            if *held_in == centre {
                events.push(PlanEvent::EndpointListed {
                    endpoint: engine.id.clone(),
                    spec: EndpointSpec {
                        accelerators: engine.accelerators,
                        checks_fencing: engine.checks_fencing,
                        role: EndpointRole::Both,
                    },
                });
            }
        }
        for event in events {
            self.apply_event(vm, event);
        }
        self.announce_roster(centre);
    }

    fn announce_roster(&mut self, centre: usize) {
        let members: BTreeSet<VmId> = (0..self.vms.len())
            .filter(|&vm| self.vms[vm].centre == centre && self.vms[vm].is_alive)
            .map(vm_name)
            .collect();
        for vm in self.live_vms(centre) {
            let members = members.clone();
            self.apply_event(vm, PlanEvent::RosterChanged { members });
        }
    }

    pub(super) fn live_vms(&self, centre: usize) -> Vec<usize> {
        (0..self.vms.len())
            .filter(|&vm| self.vms[vm].centre == centre && self.vms[vm].is_alive)
            .collect()
    }

    /// Returns the simulator's time, in microseconds.
    #[must_use]
    pub const fn now(&self) -> u64 {
        self.now
    }

    /// Returns the index of the VM that holds a data centre's lease, if any.
    #[must_use]
    pub fn holder(&self, centre: usize) -> Option<usize> {
        self.live_vms(centre).into_iter().find(|&vm| {
            let local = self.vms[vm].local(self.now);
            self.vms[vm].state.holds(local)
        })
    }

    /// Returns the planner state of a VM.
    #[must_use]
    pub fn state(&self, vm: usize) -> &PlanState {
        &self.vms[vm].state
    }

    /// Returns whether a data centre has a lease holder without goals, open orders
    /// or drains, and with every endpoint confirmed.
    #[must_use]
    pub fn is_settled(&self, centre: usize) -> bool {
        self.holder(centre).is_some_and(|vm| {
            let state = &self.vms[vm].state;
            let is_idle = |entry: &EndpointEntry| {
                entry.confirmed && entry.ledger.is_empty() && entry.draining.is_empty()
            };
            matches!(state.phase(), LeasePhase::Holding(_))
                && state.goals().is_empty()
                && state.endpoints().values().all(is_idle)
        })
    }

    /// Kills a live VM and starts a new one in the same data centre.
    pub fn kill(&mut self, vm: usize) {
        let centre = self.vms[vm].centre;
        if self.vms[vm].is_alive {
            self.vms[vm].is_alive = false;
            self.add_vm(centre);
        }
    }

    /// Replaces the fault probabilities and delay bounds.
    pub const fn set_rates(&mut self, rates: FaultRates) {
        self.setup.rates = rates;
    }

    /// Releases a VM's lease, as a graceful shutdown does.
    pub fn release(&mut self, vm: usize) {
        self.apply_event(vm, PlanEvent::Release);
    }

    /// Restarts an engine, which loses its copies.
    pub fn restart(&mut self, endpoint: usize) {
        let engine = &mut self.engines[endpoint];
        for ((model, _), copy) in &engine.copies {
            self.crashed_at.insert(model.clone(), self.now);
            self.loading -= usize::from(copy.state == ModelState::Loading);
        }
        engine.restart();
    }

    /// Replaces the placement catalogue of a data centre.
    pub fn set_catalogue(&mut self, centre: usize, catalogue: PlacementCatalogue) {
        self.catalogues[centre] = catalogue;
        for vm in self.live_vms(centre) {
            let catalogue = Box::new(self.catalogues[centre].clone());
            self.apply_event(vm, PlanEvent::CatalogueChanged { catalogue });
        }
    }

    /// Reports the load of a model, in thousandths of an accelerator, to a data
    /// centre's VMs.
    pub fn observe_demand(&mut self, centre: usize, model: &ModelId, load: u64) {
        for vm in self.live_vms(centre) {
            let model = model.clone();
            let load = ComputeLoad::from_milli(load);
            self.apply_event(vm, PlanEvent::DemandObserved { model, load });
        }
    }

    /// Announces to each data centre which models are ready in the others.
    pub fn announce_ready_models(&mut self) {
        let ready: Vec<BTreeSet<ModelId>> = (0..self.setup.centres.len())
            .map(|centre| self.ready_models(centre))
            .collect();
        for centre in 0..self.setup.centres.len() {
            let peers: BTreeMap<DataCentreId, BTreeSet<ModelId>> = ready
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != centre)
                .map(|(other, models)| (self.setup.centres[other].id.clone(), models.clone()))
                .collect();
            for vm in self.live_vms(centre) {
                let ready = peers.clone();
                self.apply_event(vm, PlanEvent::PeersObserved { ready });
            }
        }
    }

    fn ready_models(&self, centre: usize) -> BTreeSet<ModelId> {
        self.engines
            .iter()
            .zip(&self.engine_centres)
            .filter(|(_, held_in)| **held_in == centre)
            .flat_map(|(engine, _)| &engine.copies)
            .filter(|(_, copy)| copy.state == ModelState::Ready)
            .map(|((model, _), _)| model.clone())
            .collect()
    }

    /// Processes events up to a simulator time, in microseconds.
    pub fn run_until(&mut self, end: u64) {
        while let Some(next) = self.queue.peek() {
            if next.at > end {
                break;
            }
            let Some(timed) = self.queue.pop() else {
                break;
            };
            self.now = timed.at;
            self.handle_event(timed.event);
        }
        self.now = end;
    }

    pub(super) fn push(&mut self, at: u64, event: WorldEvent) {
        self.sequence += 1;
        self.queue.push(TimedEvent {
            at,
            sequence: self.sequence,
            event,
        });
    }
}

fn vm_name(index: usize) -> VmId {
    VmId::try_from(format!("vm-{index}").into_boxed_str()).unwrap_or_else(|_| unreachable!())
}
