//! Order of changes that arrive by several ways.

use std::collections::BTreeMap;

/// Newest revision seen of each entry, deletions included.
///
/// Changes reach a VM from the store, by datagram and in snapshots, so an older
/// one may come after a newer one; without the memory of deletions it would
/// bring an endpoint back that has left.
#[derive(Debug, Default)]
pub struct RevisionGuard {
    seen: BTreeMap<Box<str>, u64>,
}

impl RevisionGuard {
    /// Takes a change; false when it, or a newer one, was seen before.
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

    /// Tells whether a newer change of the entry was seen.
    #[must_use]
    pub fn is_outdated(&self, name: &str, revision: u64) -> bool {
        self.seen.get(name).is_some_and(|seen| *seen > revision)
    }
}
