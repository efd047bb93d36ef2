//! Models and adapters in accelerator memory.

use super::endpoint_report::{ReportedAdapter, ReportedModel};
use super::engine_order::{EngineRole, OrderAction};
use clementinepond_types::{AdapterId, MemorySize, ModelId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// State of a version of a model in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// The weights are being loaded.
    Loading,
    /// The model accepts requests.
    Ready,
    /// The model accepts no new requests and is unloaded once the running ones
    /// end.
    Draining,
}

/// Model and its version.
pub(super) type ModelKey = (ModelId, Box<str>);

#[derive(Debug)]
struct LoadedModel {
    state: ModelState,
    memory: MemorySize,
    running: u64,
    ready_number: u64,
}

#[derive(Debug)]
struct LoadedAdapter {
    model: ModelId,
    memory: MemorySize,
    ready: bool,
}

/// Asynchronous step that remains after an order was applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum FollowUp {
    /// No step remains.
    Nothing,
    /// The model becomes ready after the load time.
    FinishModel(ModelKey),
    /// The adapter becomes ready after the adapter load time.
    FinishAdapter(AdapterId),
    /// The model is removed once no request runs on it and the unload time has
    /// passed.
    RemoveModel(ModelKey),
}

/// Contents of the memory, and reservations of accepted orders that are not
/// yet applied.
#[derive(Debug)]
pub(super) struct EngineMemory {
    total: MemorySize,
    reserved: MemorySize,
    models: BTreeMap<ModelKey, LoadedModel>,
    adapters: BTreeMap<AdapterId, LoadedAdapter>,
    ready_count: u64,
    role: EngineRole,
}

impl EngineMemory {
    pub(super) fn new(total: MemorySize) -> Self {
        Self {
            total,
            reserved: MemorySize::default(),
            models: BTreeMap::new(),
            adapters: BTreeMap::new(),
            ready_count: 0,
            role: EngineRole::Both,
        }
    }

    /// Reserves the memory that an order needs; `None` if there is not enough.
    pub(super) fn reserve(&mut self, action: &OrderAction) -> Option<MemorySize> {
        let required_memory = self.required_memory(action);
        let after = self.used() + self.reserved + required_memory;
        if required_memory > MemorySize::default() && after > self.total {
            return None;
        }
        self.reserved += required_memory;
        Some(required_memory)
    }

    /// Applies an order and releases the memory reserved for it.
    pub(super) fn apply(&mut self, action: OrderAction, reserved: MemorySize) -> FollowUp {
        self.reserved = self.reserved.saturating_sub(reserved);
        match action {
            OrderAction::LoadModel {
                model,
                version,
                memory_mib,
            } => self.load_model((model, version), memory_mib),
            OrderAction::UnloadModel { model, version } => self.unload_model((model, version)),
            OrderAction::LoadAdapter {
                adapter,
                model,
                memory_mib,
            } => self.load_adapter(adapter, model, memory_mib),
            OrderAction::UnloadAdapter { adapter } => {
                self.adapters.remove(&adapter);
                FollowUp::Nothing
            }
            OrderAction::SetRole { role } => {
                self.role = role;
                FollowUp::Nothing
            }
        }
    }

    /// Marks a loading model as ready.
    pub(super) fn finish_model(&mut self, key: &ModelKey) {
        self.ready_count += 1;
        if let Some(model) = self.models.get_mut(key)
            && model.state == ModelState::Loading
        {
            model.state = ModelState::Ready;
            model.ready_number = self.ready_count;
        }
    }

    /// Marks an adapter as ready.
    pub(super) fn finish_adapter(&mut self, adapter: &AdapterId) {
        if let Some(adapter) = self.adapters.get_mut(adapter) {
            adapter.ready = true;
        }
    }

    /// Returns whether no request runs on a model.
    pub(super) fn is_idle(&self, key: &ModelKey) -> bool {
        self.models.get(key).is_none_or(|model| model.running == 0)
    }

    /// Removes a model if it is draining, and its adapters if no other version of
    /// the model remains.
    pub(super) fn remove_model(&mut self, key: &ModelKey) {
        let draining = |model: &LoadedModel| model.state == ModelState::Draining;
        if !self.models.get(key).is_some_and(draining) {
            return;
        }
        self.models.remove(key);
        let name = &key.0;
        if !self.models.keys().any(|(model, _)| model == name) {
            self.adapters.retain(|_, adapter| adapter.model != *name);
        }
    }

    /// Finds the model that serves a name and increments its running requests.
    pub(super) fn begin_run(&mut self, name: &str) -> Option<ModelKey> {
        let key = self.find_serving_model(name)?;
        self.models.get_mut(&key)?.running += 1;
        Some(key)
    }

    /// Decrements the running requests of a model.
    pub(super) fn end_run(&mut self, key: &ModelKey) {
        if let Some(model) = self.models.get_mut(key) {
            model.running = model.running.saturating_sub(1);
        }
    }

    /// Returns the version that serves a model or adapter name: of the ready ones,
    /// the version that became ready last.
    pub(super) fn find_serving_model(&self, name: &str) -> Option<ModelKey> {
        let adapter = self.adapters.iter().find(|(key, _)| key.as_str() == name);
        let model = match adapter {
            Some((_, adapter)) if adapter.ready => adapter.model.as_str(),
            Some(_) => return None,
            None => name,
        };
        let named = self
            .models
            .iter()
            .filter(|((key, _), _)| key.as_str() == model);
        let ready = named.filter(|(_, model)| model.state == ModelState::Ready);
        let newest = ready.max_by_key(|(_, model)| model.ready_number);
        newest.map(|(key, _)| key.clone())
    }

    pub(super) fn total(&self) -> MemorySize {
        self.total
    }

    pub(super) fn used(&self) -> MemorySize {
        let models: MemorySize = self.models.values().map(|model| model.memory).sum();
        let adapters = self.adapters.values().map(|adapter| adapter.memory);
        models + adapters.sum()
    }

    pub(super) fn reported_models(&self) -> Vec<ReportedModel> {
        let report = |((model, version), loaded): (&ModelKey, &LoadedModel)| ReportedModel {
            model: model.clone(),
            version: version.clone(),
            state: loaded.state,
            memory_mib: loaded.memory,
        };
        self.models.iter().map(report).collect()
    }

    pub(super) fn reported_adapters(&self) -> Vec<ReportedAdapter> {
        let ready = self.adapters.iter().filter(|(_, adapter)| adapter.ready);
        let report = |(name, adapter): (&AdapterId, &LoadedAdapter)| ReportedAdapter {
            adapter: name.clone(),
            model: adapter.model.clone(),
        };
        ready.map(report).collect()
    }

    fn required_memory(&self, action: &OrderAction) -> MemorySize {
        match action {
            OrderAction::LoadModel {
                model,
                version,
                memory_mib,
            } => {
                let is_present = self.models.contains_key(&(model.clone(), version.clone()));
                if is_present {
                    MemorySize::default()
                } else {
                    *memory_mib
                }
            }
            OrderAction::LoadAdapter {
                adapter,
                memory_mib,
                ..
            } => {
                let is_present = self.adapters.contains_key(adapter);
                if is_present {
                    MemorySize::default()
                } else {
                    *memory_mib
                }
            }
            _ => MemorySize::default(),
        }
    }

    fn load_model(&mut self, key: ModelKey, memory: MemorySize) -> FollowUp {
        if let Some(model) = self.models.get_mut(&key) {
            if model.state == ModelState::Draining {
                model.state = ModelState::Loading;
            }
            return FollowUp::FinishModel(key);
        }
        let model = LoadedModel {
            state: ModelState::Loading,
            memory,
            running: 0,
            ready_number: 0,
        };
        self.models.insert(key.clone(), model);
        FollowUp::FinishModel(key)
    }

    fn unload_model(&mut self, key: ModelKey) -> FollowUp {
        match self.models.get_mut(&key) {
            Some(model) => {
                model.state = ModelState::Draining;
                FollowUp::RemoveModel(key)
            }
            None => FollowUp::Nothing,
        }
    }

    fn load_adapter(&mut self, name: AdapterId, model: ModelId, memory: MemorySize) -> FollowUp {
        let adapter = LoadedAdapter {
            model,
            memory,
            ready: false,
        };
        self.adapters.entry(name.clone()).or_insert(adapter);
        FollowUp::FinishAdapter(name)
    }
}
