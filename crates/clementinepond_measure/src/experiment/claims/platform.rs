//! Simulated platform object API with conditional updates, a write limit and outages.

use clementinepond_decide::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_types::ObjectVersion;
use std::collections::BTreeMap;

/// Writes per second above which the platform refuses further writes.
const WRITES_PER_SECOND: u64 = 500;
/// Microseconds in one second.
const SECOND: u64 = 1_000_000;

/// Objects by numeric name; all versions come from one counter.
#[derive(Debug)]
pub(super) struct FakePlatform<T> {
    objects: BTreeMap<u64, VersionedObject<T>>,
    version: u64,
    pub(super) writes: u64,
    pub(super) reads: u64,
    pub(super) refused_writes: u64,
    /// Current second, and the number of writes attempted in it.
    window: (u64, u64),
    pub(super) is_down: bool,
}

impl<T: Clone> FakePlatform<T> {
    pub(super) fn new() -> Self {
        Self {
            objects: BTreeMap::new(),
            version: 0,
            writes: 0,
            reads: 0,
            refused_writes: 0,
            window: (0, 0),
            is_down: false,
        }
    }

    pub(super) fn read(&mut self, name: u64) -> ReadReply<T> {
        self.reads += 1;
        if self.is_down {
            return ReadReply::Unavailable;
        }
        match self.objects.get(&name) {
            Some(object) => ReadReply::Found(object.clone()),
            None => ReadReply::Missing,
        }
    }

    pub(super) fn store(
        &mut self,
        name: u64,
        expected: Option<ObjectVersion>,
        value: T,
        at: u64,
    ) -> StoreReply<T> {
        self.writes += 1;
        if self.is_down || !self.has_capacity(at) {
            return StoreReply::Unknown;
        }
        let found = self.objects.get(&name);
        if found.map(|object| object.version) != expected {
            return StoreReply::Conflict(found.cloned());
        }
        self.version += 1;
        let version = ObjectVersion::new(self.version);
        self.objects
            .insert(name, VersionedObject { version, value });
        StoreReply::Stored { version }
    }

    fn has_capacity(&mut self, at: u64) -> bool {
        let second = at / SECOND;
        if self.window.0 != second {
            self.window = (second, 0);
        }
        self.window.1 += 1;
        if self.window.1 > WRITES_PER_SECOND {
            self.refused_writes += 1;
            return false;
        }
        true
    }
}
