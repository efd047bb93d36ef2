//! Simulated object API of the platform, limited to one plan object.

use clementinepond_decide::plan::PlanObject;
use clementinepond_decide::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_types::ObjectVersion;

/// Store of one plan object with compare-and-swap on its version.
#[derive(Debug, Default)]
pub(super) struct FakePlatform {
    object: Option<VersionedObject<PlanObject>>,
    last_version: ObjectVersion,
    pub(super) writes: u64,
}

impl FakePlatform {
    pub(super) fn read(&self) -> ReadReply<PlanObject> {
        match &self.object {
            Some(object) => ReadReply::Found(object.clone()),
            None => ReadReply::Missing,
        }
    }

    pub(super) fn store(
        &mut self,
        value: PlanObject,
        if_version: ObjectVersion,
    ) -> StoreReply<PlanObject> {
        self.writes += 1;
        let current = self.object.as_ref().map(|object| object.version);
        if current.unwrap_or_default() != if_version {
            return StoreReply::Conflict(self.object.clone());
        }
        let version = self.last_version.next();
        self.last_version = version;
        self.object = Some(VersionedObject { version, value });
        StoreReply::Stored { version }
    }
}
