//! Fake of the platform: versioned objects with conditional updates.

use clementinepond_decide::configuration::WithdrawalRecord;
use clementinepond_decide::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_decide::roster::{RosterTable, ShareTable, WatchAnswer, WatchChange};
use clementinepond_types::ObjectVersion;
use std::collections::BTreeMap;

/// Content of an object.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ObjectContent {
    /// Roster table of a data centre.
    Roster(RosterTable),
    /// Fleet shares.
    Shares(ShareTable),
    /// Configuration text.
    Configuration(Box<str>),
    /// Withdrawn keys.
    Withdrawals(WithdrawalRecord),
}

/// Kind of an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ObjectKind {
    /// Roster tables, one per data centre.
    Roster,
    /// Fleet shares.
    Shares,
    /// Configuration text.
    Configuration,
    /// Withdrawn keys.
    Withdrawals,
}

/// Type that the objects of one kind contain.
pub(crate) trait Stored: Clone {
    /// Kind of object that contains this type.
    const KIND: ObjectKind;
    /// Converts a value to object content.
    fn wrap(self) -> ObjectContent;
    /// Returns the value if the content is of this kind.
    fn unwrap(content: &ObjectContent) -> Option<Self>;
}

macro_rules! stored {
    ($($kind:ident: $type:ty),+ $(,)?) => {$(
        impl Stored for $type {
            const KIND: ObjectKind = ObjectKind::$kind;

            fn wrap(self) -> ObjectContent {
                ObjectContent::$kind(self)
            }

            fn unwrap(content: &ObjectContent) -> Option<Self> {
                match content {
                    ObjectContent::$kind(value) => Some(value.clone()),
                    _ => None,
                }
            }
        }
    )+};
}

stored! {
    Roster: RosterTable,
    Shares: ShareTable,
    Configuration: Box<str>,
    Withdrawals: WithdrawalRecord,
}

type ObjectKey = (ObjectKind, Box<str>);

/// In-memory object store with a counter of calls.
#[derive(Debug, Default)]
pub(crate) struct FakePlatform {
    objects: BTreeMap<ObjectKey, (u64, ObjectContent)>,
    version: u64,
    /// Number of calls received.
    pub(crate) calls: u64,
}

impl FakePlatform {
    /// Returns the version of the latest update.
    pub(crate) const fn version(&self) -> u64 {
        self.version
    }

    /// Returns an object with its version.
    pub(crate) fn get<T: Stored>(&self, name: &str) -> Option<VersionedObject<T>> {
        let (version, content) = self.objects.get(&(T::KIND, name.into()))?;
        Some(VersionedObject {
            version: ObjectVersion::new(*version),
            value: T::unwrap(content)?,
        })
    }

    /// Answers a read.
    pub(crate) fn read<T: Stored>(&self, name: &str) -> ReadReply<T> {
        self.get(name).map_or(ReadReply::Missing, ReadReply::Found)
    }

    /// Answers an update that applies only if the version matches.
    pub(crate) fn store<T: Stored>(
        &mut self,
        name: &str,
        if_version: ObjectVersion,
        value: T,
    ) -> StoreReply<T> {
        let found = self.get::<T>(name);
        let version = found
            .as_ref()
            .map_or_else(ObjectVersion::default, |object| object.version);
        if version != if_version {
            return StoreReply::Conflict(found);
        }
        self.version += 1;
        let key = (T::KIND, name.into());
        self.objects.insert(key, (self.version, value.wrap()));
        StoreReply::Stored {
            version: ObjectVersion::new(self.version),
        }
    }

    /// Answers a watch with all newer objects, or a list if no version is given.
    pub(crate) fn changes<T: Stored>(&self, from: Option<ObjectVersion>) -> WatchAnswer<T> {
        let from = from.map_or(0, ObjectVersion::get);
        let mut changes: Vec<WatchChange<T>> = self
            .objects
            .iter()
            .filter(|((kind, _), (version, _))| *kind == T::KIND && *version > from)
            .map(|((_, name), _)| WatchChange {
                name: name.clone(),
                object: self.get(name),
            })
            .collect();
        changes.sort_by_key(|change| change.object.as_ref().map(|object| object.version));
        WatchAnswer::Changes {
            version: ObjectVersion::new(self.version),
            changes,
        }
    }

    /// Returns whether an object of a kind changed after a version.
    pub(crate) fn is_changed(&self, kind: ObjectKind, from: ObjectVersion) -> bool {
        self.objects
            .iter()
            .any(|((found, _), (version, _))| *found == kind && *version > from.get())
    }
}
