//! Harness for the plan reducer: one VM, one endpoint and scripted replies.

use clementinepond_decide::plan::{
    ComputeLoad, EndpointAction, EndpointReport, EndpointRole, EndpointSpec, Incarnation,
    LeasePhase, ModelReport, ModelSpec, ModelState, ModelVersion, OrderIntent, OrderNumber,
    PlacementCatalogue, PlanEffect, PlanEvent, PlanMutation, PlanObject, PlanSettings, PlanState,
    ReportNumber, StoreShare, reduce,
};
use clementinepond_decide::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_types::{
    DataCentreId, EndpointId, FencingNumber, LocalTime, MemorySize, ObjectVersion, PriorityClass,
    TimeSpan, VmId,
};
use std::collections::BTreeSet;

pub(crate) const SECOND: u64 = 1_000_000;

pub(crate) fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

pub(crate) fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(millis * 1_000)
}

/// Plan state of one VM with one endpoint of 100 MiB and models of 60 MiB.
///
/// `now` is in milliseconds.
pub(crate) struct PlanHarness {
    pub(crate) state: PlanState,
    pub(crate) version: u64,
    pub(crate) report_number: u64,
    pub(crate) incarnation: u64,
    pub(crate) now: u64,
    pub(crate) written: Option<PlanObject>,
}

impl PlanHarness {
    pub(crate) fn new(mutations: &[PlanMutation], models: &[&str]) -> Self {
        let settings = PlanSettings {
            mutations: mutations.iter().copied().collect(),
            ..PlanSettings::default()
        };
        let state = PlanState::new(settings, name("vm-1"), name("dc-1"));
        let mut harness = Self {
            state,
            version: 0,
            report_number: 0,
            incarnation: 1,
            now: 0,
            written: None,
        };
        harness.catalogue(models);
        harness.send(PlanEvent::EndpointListed {
            endpoint: name("runner-1"),
            spec: EndpointSpec {
                accelerators: 1,
                checks_fencing: false,
                role: EndpointRole::Both,
            },
        });
        harness
    }

    pub(crate) fn catalogue(&mut self, models: &[&str]) {
        let spec = ModelSpec {
            version: ModelVersion::from("v1"),
            memory_mib: MemorySize::new(60),
            priority: PriorityClass::new(0),
            replica_limit: ComputeLoad::accelerators(1),
            resident: true,
        };
        let catalogue = PlacementCatalogue {
            models: models
                .iter()
                .map(|model| (name(model), spec.clone()))
                .collect(),
            share: StoreShare {
                loads_an_hour: 3_600,
                loads_at_once: 4,
                adapters_at_once: 4,
            },
            data_centres: BTreeSet::from([name::<DataCentreId>("dc-1")]),
            ..PlacementCatalogue::default()
        };
        self.send(PlanEvent::CatalogueChanged {
            catalogue: Box::new(catalogue),
        });
    }

    pub(crate) fn send(&mut self, event: PlanEvent) -> Vec<PlanEffect> {
        let effects = reduce(&mut self.state, event, at(self.now));
        for effect in &effects {
            if let PlanEffect::Store { object, .. } = effect {
                self.written = Some((**object).clone());
            }
        }
        effects
    }

    pub(crate) fn tick(&mut self, millis: u64) -> Vec<PlanEffect> {
        self.now += millis;
        self.send(PlanEvent::Tick { seed: 7 })
    }

    pub(crate) fn read(&mut self, value: Option<PlanObject>) {
        let reply = match value {
            Some(value) => ReadReply::Found(VersionedObject {
                version: ObjectVersion::new(self.version),
                value,
            }),
            None => ReadReply::Missing,
        };
        self.send(PlanEvent::ReadReplied { reply });
    }

    /// Replies to the last write that it was stored.
    pub(crate) fn stored(&mut self) -> Vec<PlanEffect> {
        self.version += 1;
        let write = self.written.as_ref().unwrap().write_id();
        let version = ObjectVersion::new(self.version);
        self.send(PlanEvent::StoreReplied {
            write,
            reply: StoreReply::Stored { version },
        })
    }

    pub(crate) fn report(&mut self, last_order: OrderNumber, models: &[(&str, ModelState)]) {
        self.report_number += 1;
        let report = EndpointReport {
            endpoint: name("runner-1"),
            incarnation: Incarnation::new(self.incarnation),
            report_number: ReportNumber::new(self.report_number),
            last_order,
            memory_mib: MemorySize::new(100),
            used_mib: MemorySize::new(60 * u64::try_from(models.len()).unwrap()),
            draining: false,
            fencing_number: FencingNumber::default(),
            models: models
                .iter()
                .map(|(model, state)| ModelReport {
                    model: name(model),
                    version: ModelVersion::from("v1"),
                    state: *state,
                    memory_mib: MemorySize::new(60),
                })
                .collect(),
            adapters: Vec::new(),
        };
        self.send(PlanEvent::ReportReceived { report });
    }

    pub(crate) fn possible(&self) -> u64 {
        let endpoint: EndpointId = name("runner-1");
        self.state.possible_memory(&endpoint).unwrap().get()
    }

    /// Acquires the lease on a platform without a plan object and confirms the
    /// endpoint's state.
    pub(crate) fn hold(&mut self) {
        self.report(OrderNumber::default(), &[]);
        self.tick(0);
        self.read(None);
        self.acquire();
        self.confirm(&[]);
    }

    pub(crate) fn acquire(&mut self) {
        while !matches!(self.state.phase(), LeasePhase::Acquiring(_)) {
            self.tick(100);
        }
        self.stored();
    }

    /// Ticks until a barrier is sent and reports it as applied.
    pub(crate) fn confirm(&mut self, models: &[(&str, ModelState)]) {
        let barrier = self.next_order("set_role");
        self.report(barrier, models);
    }

    /// Ticks until an order of the given kind is sent, and returns its number.
    ///
    /// Writes are stored at once. Panics after 60 s without such an order.
    pub(crate) fn next_order(&mut self, kind: &str) -> OrderNumber {
        for _ in 0..600 {
            let mut effects = self.tick(100);
            if has_store(&effects) {
                effects.extend(self.stored());
            }
            for effect in effects {
                if let PlanEffect::Order { number, action, .. } = effect
                    && kind_of(&action) == kind
                {
                    return number;
                }
            }
        }
        panic!("no {kind} order within 60 s");
    }
}

pub(crate) fn has_store(effects: &[PlanEffect]) -> bool {
    effects
        .iter()
        .any(|effect| matches!(effect, PlanEffect::Store { .. }))
}

pub(crate) fn loads(effects: &[PlanEffect]) -> usize {
    effects
        .iter()
        .filter(|effect| {
            matches!(effect, PlanEffect::Order { action, .. } if kind_of(action) == "load_model")
        })
        .count()
}

pub(crate) fn kind_of(action: &EndpointAction) -> &'static str {
    match action {
        EndpointAction::LoadModel { .. } => "load_model",
        EndpointAction::UnloadModel { .. } => "unload_model",
        EndpointAction::LoadAdapter { .. } => "load_adapter",
        EndpointAction::UnloadAdapter { .. } => "unload_adapter",
        EndpointAction::SetRole { .. } => "set_role",
    }
}

/// Returns a plan object of another VM with one load that may still take effect.
pub(crate) fn foreign_object() -> PlanObject {
    PlanObject {
        holder: Some(name::<VmId>("vm-2")),
        nonce: 1,
        fencing: FencingNumber::new(1),
        renewals: 5,
        lease: TimeSpan::from_secs(15),
        arrival_margin: TimeSpan::from_secs(1),
        order_span: TimeSpan::from_secs(2),
        orders: vec![OrderIntent {
            endpoint: name("runner-1"),
            number: OrderNumber::first_of(FencingNumber::new(1)).next(),
            action: EndpointAction::LoadModel {
                model: name("a"),
                version: ModelVersion::from("v1"),
                memory_mib: MemorySize::new(60),
            },
            reason: "required".into(),
        }],
        goals: Vec::new(),
    }
}
