//! Simulated model engine that applies orders and rejects those that do not fit
//! into memory or carry an old fencing number.

use clementinepond_decide::plan::{
    AdapterReport, EndpointAction, EndpointReport, Incarnation, ModelReport, ModelState,
    ModelVersion, OrderNumber, ReportNumber,
};
use clementinepond_types::{AdapterId, EndpointId, FencingNumber, MemorySize, ModelId};
use std::collections::{BTreeMap, BTreeSet};

/// Model version held by an engine.
pub type FakeKey = (ModelId, ModelVersion);

/// Copy of a model held by an engine.
#[derive(Debug, Clone)]
pub struct FakeCopy {
    /// Lifecycle state of the copy.
    pub state: ModelState,
    /// Accelerator memory in use, in MiB.
    pub memory: u64,
}

/// Outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum EngineStep {
    /// No load or unload began.
    Nothing,
    /// A load has begun.
    Loading(FakeKey),
    /// An unload has begun.
    Draining(FakeKey),
    /// The load would have exceeded the endpoint's memory.
    NoMemory,
    /// The fencing number was smaller than one already seen.
    Refused,
}

/// Simulated model engine of one endpoint.
#[derive(Debug, Clone)]
pub struct FakeEngine {
    /// Endpoint that the engine serves.
    pub id: EndpointId,
    /// Accelerator memory, in MiB.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether orders with old fencing numbers are refused.
    pub checks_fencing: bool,
    /// Number of the current run of the process, starting at 1.
    pub incarnation: u64,
    /// Copies held, by model version.
    pub copies: BTreeMap<FakeKey, FakeCopy>,
    /// Adapters held, with their model and memory in MiB.
    pub adapters: BTreeMap<AdapterId, (ModelId, u64)>,
    pub(super) largest_fencing: FencingNumber,
    last_order: OrderNumber,
    applied: BTreeSet<OrderNumber>,
    report_number: u64,
}

impl FakeEngine {
    pub(super) fn new(id: EndpointId, memory: u64, accelerators: u32, fencing: bool) -> Self {
        Self {
            id,
            memory,
            accelerators,
            checks_fencing: fencing,
            incarnation: 1,
            copies: BTreeMap::new(),
            adapters: BTreeMap::new(),
            largest_fencing: FencingNumber::default(),
            last_order: OrderNumber::default(),
            applied: BTreeSet::new(),
            report_number: 0,
        }
    }

    /// Returns the memory in use, in MiB.
    #[must_use]
    pub fn used(&self) -> u64 {
        let models: u64 = self.copies.values().map(|copy| copy.memory).sum();
        let adapters: u64 = self.adapters.values().map(|(_, memory)| memory).sum();
        models + adapters
    }

    /// Returns whether any version of a model is ready.
    #[must_use]
    pub fn serves(&self, model: &ModelId) -> bool {
        self.copies
            .iter()
            .any(|((held, _), copy)| held == model && copy.state == ModelState::Ready)
    }

    pub(super) fn apply(
        &mut self,
        number: OrderNumber,
        fencing: FencingNumber,
        action: &EndpointAction,
    ) -> EngineStep {
        if self.checks_fencing && fencing < self.largest_fencing {
            return EngineStep::Refused;
        }
        self.largest_fencing = self.largest_fencing.max(fencing);
        if !self.applied.insert(number) {
            return EngineStep::Nothing;
        }
        let step = self.perform(action);
        if step != EngineStep::NoMemory {
            self.last_order = self.last_order.max(number);
        }
        step
    }

    fn perform(&mut self, action: &EndpointAction) -> EngineStep {
        match action {
            EndpointAction::LoadModel {
                model,
                version,
                memory_mib,
            } => self.load((model.clone(), version.clone()), memory_mib.get()),
            EndpointAction::UnloadModel { model, version } => {
                let key = (model.clone(), version.clone());
                match self.copies.get_mut(&key) {
                    Some(copy) => {
                        copy.state = ModelState::Draining;
                        EngineStep::Draining(key)
                    }
                    None => EngineStep::Nothing,
                }
            }
            EndpointAction::LoadAdapter {
                adapter,
                model,
                memory_mib,
            } => {
                if self.adapters.contains_key(adapter) {
                    return EngineStep::Nothing;
                }
                if self.used() + memory_mib.get() > self.memory {
                    return EngineStep::NoMemory;
                }
                let held = (model.clone(), memory_mib.get());
                self.adapters.insert(adapter.clone(), held);
                EngineStep::Nothing
            }
            EndpointAction::UnloadAdapter { adapter } => {
                self.adapters.remove(adapter);
                EngineStep::Nothing
            }
            EndpointAction::SetRole { .. } => EngineStep::Nothing,
        }
    }

    fn load(&mut self, key: FakeKey, memory: u64) -> EngineStep {
        if self.copies.contains_key(&key) {
            return EngineStep::Nothing;
        }
        if self.used() + memory > self.memory {
            return EngineStep::NoMemory;
        }
        let copy = FakeCopy {
            state: ModelState::Loading,
            memory,
        };
        self.copies.insert(key.clone(), copy);
        EngineStep::Loading(key)
    }

    /// Adds a ready copy without an order.
    pub(super) fn preload(&mut self, key: FakeKey, memory: u64) {
        let copy = FakeCopy {
            state: ModelState::Ready,
            memory,
        };
        self.copies.insert(key, copy);
    }

    /// Starts a new incarnation without copies, adapters or order history.
    pub(super) fn restart(&mut self) {
        self.incarnation += 1;
        self.copies.clear();
        self.adapters.clear();
        self.applied.clear();
        self.last_order = OrderNumber::default();
        self.largest_fencing = FencingNumber::default();
        self.report_number = 0;
    }

    pub(super) fn report(&mut self) -> EndpointReport {
        self.report_number += 1;
        EndpointReport {
            endpoint: self.id.clone(),
            incarnation: Incarnation::new(self.incarnation),
            report_number: ReportNumber::new(self.report_number),
            last_order: self.last_order,
            memory_mib: MemorySize::new(self.memory),
            used_mib: MemorySize::new(self.used()),
            draining: false,
            fencing_number: self.largest_fencing,
            models: self.model_reports(),
            adapters: self
                .adapters
                .iter()
                .map(|(adapter, (model, _))| AdapterReport {
                    adapter: adapter.clone(),
                    model: model.clone(),
                })
                .collect(),
        }
    }

    fn model_reports(&self) -> Vec<ModelReport> {
        self.copies
            .iter()
            .map(|((model, version), copy)| ModelReport {
                model: model.clone(),
                version: version.clone(),
                state: copy.state,
                memory_mib: MemorySize::new(copy.memory),
            })
            .collect()
    }
}
