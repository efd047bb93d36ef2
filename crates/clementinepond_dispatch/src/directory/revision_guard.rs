//! Rejects outdated changes that arrive by several channels.

use std::collections::BTreeMap;

/// Newest revision seen of each entry, including deletions.
///
/// Changes reach a VM from the store, by datagram and in snapshots, so an older one may
/// arrive after a newer one. Without the record of deletions, it would restore an
/// endpoint that has left.
#[derive(Debug, Default)]
pub struct RevisionGuard {
    seen: BTreeMap<Box<str>, u64>,
}

impl RevisionGuard {
    /// Accepts a change; returns false if the same or a newer one was seen before.
    pub fn accept(&mut self, name: &str, revision: u64) -> bool {
        match self.seen.get_mut(name) {
            Some(seen) if *seen >= revision => false,
            Some(seen) => {
                *seen = revision;
                true
            }
            None => {
                self.seen.insert(name.into(), revision);
                true
            }
        }
    }

    /// Returns whether a newer change of the entry was seen.
    #[must_use]
    pub fn is_outdated(&self, name: &str, revision: u64) -> bool {
        self.seen.get(name).is_some_and(|seen| *seen > revision)
    }
}
