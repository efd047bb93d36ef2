//! Stand-in for the platform: versioned objects, watches and a lagging list.

use clementinepond_decide::configuration::WithdrawalRecord;
use clementinepond_decide::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_decide::roster::{RosterTable, ShareTable, WatchAnswer, WatchChange};
use clementinepond_types::ObjectVersion;
use std::collections::BTreeMap;

/// Content of one object.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ObjectContent {
    /// Table of a data centre.
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
    /// Tables of data centres.
    Roster,
    /// Fleet shares.
    Shares,
    /// The configuration.
    Configuration,
    /// Withdrawn keys.
    Withdrawals,
}

/// Types that are the content of one kind.
pub(crate) trait Stored: Clone {
    /// Kind of the type.
    const KIND: ObjectKind;
    /// Wraps a value.
    fn wrap(self) -> ObjectContent;
    /// Unwraps a value of the kind.
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

/// Objects of the platform and the calls that it counted.
#[derive(Debug, Default)]
pub(crate) struct PlatformFake {
    objects: BTreeMap<ObjectKey, (u64, ObjectContent)>,
    version: u64,
    /// Calls counted so far.
    pub(crate) calls: u64,
}

impl PlatformFake {
    /// Returns the store's version.
    pub(crate) const fn version(&self) -> u64 {
        self.version
    }

    /// Returns an object.
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

    /// Answers a conditional update.
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

    /// Answers a watch, or a list with no version.
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

    /// Returns whether a kind changed after a version.
    pub(crate) fn is_changed(&self, kind: ObjectKind, from: ObjectVersion) -> bool {
        self.objects
            .iter()
            .any(|((found, _), (version, _))| *found == kind && *version > from.get())
    }
}
