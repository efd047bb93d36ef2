//! Moments at which members were last heard.
//!
//! Between VMs the time since then travels, in quarter seconds rounded up, so
//! that a member that stopped does not look younger at each hop.

use super::{HeardList, RosterTable};
use clementinepond_types::{LocalTime, ObjectVersion, TimeSpan, VmId};
use std::collections::{BTreeMap, BTreeSet};

/// Unit of an age, in microseconds.
const AGE_UNIT_MICROS: u64 = 250_000;
/// Age that stands for unknown.
const AGE_UNKNOWN: u8 = u8::MAX;

/// Converts a time since a moment to units.
pub(super) fn age_of(moment: LocalTime, now: LocalTime) -> u8 {
    let units = now.since(moment).micros().div_ceil(AGE_UNIT_MICROS);
    u8::try_from(units).unwrap_or(AGE_UNKNOWN)
}

/// Converts units to the moment, unless unknown.
pub(super) fn moment_of(age: u8, now: LocalTime) -> Option<LocalTime> {
    if age == AGE_UNKNOWN {
        return None;
    }
    let micros = u64::from(age) * AGE_UNIT_MICROS;
    Some(LocalTime::from_micros(now.micros().saturating_sub(micros)))
}

/// When each VM of the data centre was last heard.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct HeardLog {
    moments: BTreeMap<VmId, LocalTime>,
}

impl HeardLog {
    /// Notes that a VM was heard.
    pub(super) fn note(&mut self, vm: &VmId, moment: LocalTime) {
        match self.moments.get_mut(vm) {
            Some(known) => *known = moment.max(*known),
            None => {
                self.moments.insert(vm.clone(), moment);
            }
        }
    }

    /// Returns when a VM was last heard.
    pub(super) fn moment(&self, vm: &VmId) -> Option<LocalTime> {
        self.moments.get(vm).copied()
    }

    /// Returns whether a VM was heard within a time.
    pub(super) fn is_fresh(&self, vm: &VmId, limit: TimeSpan, now: LocalTime) -> bool {
        self.moment(vm)
            .is_some_and(|moment| now.since(moment) <= limit)
    }

    /// Forgets VMs that are no member and were not heard for a time.
    pub(super) fn prune(&mut self, table: &RosterTable, limit: TimeSpan, now: LocalTime) {
        self.moments
            .retain(|vm, moment| table.members.contains_key(vm) || now.since(*moment) <= limit);
    }

    /// Builds the list that a heartbeat carries.
    pub(super) fn list(
        &self,
        version: ObjectVersion,
        table: &RosterTable,
        keeping: &BTreeSet<VmId>,
        now: LocalTime,
    ) -> HeardList {
        let ages = paired(table.members.keys(), self.moments.iter())
            .map(|moment| moment.map_or(AGE_UNKNOWN, |&at| age_of(at, now)))
            .collect();
        let mut bits = vec![0_u8; table.members.len().div_ceil(8)];
        for (index, vm) in table.members.keys().enumerate() {
            if keeping.contains(vm)
                && let Some(byte) = bits.get_mut(index / 8)
            {
                *byte |= 1 << (index % 8);
            }
        }
        HeardList {
            version,
            ages,
            keeping: bits,
        }
    }

    /// Takes in the list of a peer that has the same table.
    pub(super) fn merge(
        &mut self,
        list: &HeardList,
        table: &RosterTable,
        keeping: &mut BTreeSet<VmId>,
        now: LocalTime,
    ) {
        let mut unheard = Vec::new();
        let moments = paired(table.members.keys(), self.moments.iter_mut());
        for ((vm, known), &age) in table.members.keys().zip(moments).zip(&list.ages) {
            match (moment_of(age, now), known) {
                (Some(moment), Some(known)) => *known = moment.max(*known),
                (Some(moment), None) => unheard.push((vm, moment)),
                (None, _) => {}
            }
        }
        for (vm, moment) in unheard {
            self.note(vm, moment);
        }
        for (index, vm) in table.members.keys().enumerate() {
            let byte = list.keeping.get(index / 8).copied().unwrap_or_default();
            if byte & (1 << (index % 8)) != 0 && !keeping.contains(vm) {
                keeping.insert(vm.clone());
            }
        }
    }
}

/// Looks sorted names up in sorted entries, in one pass over both.
fn paired<'a, T>(
    names: impl Iterator<Item = &'a VmId>,
    entries: impl Iterator<Item = (&'a VmId, T)>,
) -> impl Iterator<Item = Option<T>> {
    let mut entries = entries.peekable();
    names.map(move |name| {
        while entries.next_if(|(found, _)| *found < name).is_some() {}
        let entry = entries.next_if(|(found, _)| *found == name);
        entry.map(|(_, value)| value)
    })
}
