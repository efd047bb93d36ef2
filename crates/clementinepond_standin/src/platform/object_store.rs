//! Versioned objects and the latest changes, kept for watches.

use super::stored_object::StoredObject;
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};

/// Outcome of a write or deletion.
#[derive(Debug)]
pub(super) enum ChangeOutcome {
    /// The change was applied; holds the object as changed.
    Applied(StoredObject),
    /// The object has another version than expected; holds the current object.
    Conflict(Option<StoredObject>),
    /// The object to delete does not exist.
    Missing,
}

/// Outcome of a request for changes.
#[derive(Debug)]
pub(super) enum ChangeList {
    /// Version of the store, and the changes between the requested version and it.
    Changes(u64, Vec<StoredObject>),
    /// The requested version is older than the kept changes, or newer than the
    /// store.
    TooOld,
}

/// Objects by kind and name, with one version counter for all.
#[derive(Debug)]
pub(super) struct ObjectStore {
    version: u64,
    objects: BTreeMap<Box<str>, BTreeMap<Box<str>, StoredObject>>,
    changes: VecDeque<StoredObject>,
    kept_changes: usize,
    dropped_version: u64,
}

impl ObjectStore {
    pub(super) fn new(kept_changes: usize) -> Self {
        Self {
            version: 0,
            objects: BTreeMap::new(),
            changes: VecDeque::new(),
            kept_changes,
            dropped_version: 0,
        }
    }

    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Option<&StoredObject> {
        self.objects.get(kind)?.get(name)
    }

    pub(super) fn list(&self, kind: &str) -> Vec<StoredObject> {
        let objects = self.objects.get(kind);
        objects
            .into_iter()
            .flat_map(BTreeMap::values)
            .cloned()
            .collect()
    }

    pub(super) fn put(
        &mut self,
        kind: &str,
        name: &str,
        if_version: Option<u64>,
        value: Value,
    ) -> ChangeOutcome {
        if let Some(conflict) = self.conflict(kind, name, if_version) {
            return conflict;
        }
        let object = self.next_object(kind, name, value);
        let objects = self.objects.entry(kind.into()).or_default();
        objects.insert(name.into(), object.clone());
        self.record_change(object.clone());
        ChangeOutcome::Applied(object)
    }

    pub(super) fn delete(
        &mut self,
        kind: &str,
        name: &str,
        if_version: Option<u64>,
    ) -> ChangeOutcome {
        if self.get(kind, name).is_none() {
            return ChangeOutcome::Missing;
        }
        if let Some(conflict) = self.conflict(kind, name, if_version) {
            return conflict;
        }
        let object = self.next_object(kind, name, Value::Null);
        if let Some(objects) = self.objects.get_mut(kind) {
            objects.remove(name);
        }
        self.record_change(object.clone());
        ChangeOutcome::Applied(object)
    }

    /// Returns the changes of a kind after version `from`.
    pub(super) fn changes(&self, kind: &str, from: u64) -> ChangeList {
        if from < self.dropped_version || from > self.version {
            return ChangeList::TooOld;
        }
        let first = self
            .changes
            .partition_point(|change| change.version <= from);
        let later = self.changes.range(first..);
        let matching = later.filter(|change| change.kind.as_ref() == kind);
        ChangeList::Changes(self.version, matching.cloned().collect())
    }

    fn conflict(&self, kind: &str, name: &str, if_version: Option<u64>) -> Option<ChangeOutcome> {
        let current = self.get(kind, name);
        let version = current.map_or(0, |object| object.version);
        let differs = if_version.is_some_and(|expected| expected != version);
        differs.then(|| ChangeOutcome::Conflict(current.cloned()))
    }

    fn next_object(&mut self, kind: &str, name: &str, value: Value) -> StoredObject {
        self.version += 1;
        StoredObject {
            kind: kind.into(),
            name: name.into(),
            version: self.version,
            value,
        }
    }

    fn record_change(&mut self, change: StoredObject) {
        self.changes.push_back(change);
        while self.changes.len() > self.kept_changes {
            if let Some(dropped) = self.changes.pop_front() {
                self.dropped_version = dropped.version;
            }
        }
    }
}
