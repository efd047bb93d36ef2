//! Times at which members were last seen.
//!
//! VMs exchange the time since then as an age in quarter seconds. It is rounded up,
//! so that a stopped member does not seem to have been seen later with each VM that
//! forwards its age.

use super::{LastSeenList, RosterTable};
use clementinepond_types::{LocalTime, ObjectVersion, TimeSpan, VmId};
use std::collections::{BTreeMap, BTreeSet};

/// Unit of an age, in microseconds.
const AGE_UNIT_MICROS: u64 = 250_000;
/// Age that stands for unknown or for more than 63.5 s.
const AGE_UNKNOWN: u8 = u8::MAX;

/// Converts the time since `time` to an age in quarter seconds, rounded up.
pub(super) fn age_of(time: LocalTime, now: LocalTime) -> u8 {
    let units = now.since(time).micros().div_ceil(AGE_UNIT_MICROS);
    u8::try_from(units).unwrap_or(AGE_UNKNOWN)
}

/// Converts an age to a time, at the earliest the clock's origin; `None` when the age
/// is unknown.
pub(super) fn time_of(age: u8, now: LocalTime) -> Option<LocalTime> {
    if age == AGE_UNKNOWN {
        return None;
    }
    let micros = u64::from(age) * AGE_UNIT_MICROS;
    Some(LocalTime::from_micros(now.micros().saturating_sub(micros)))
}

/// Time at which each VM of the data centre was last seen.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct LastSeenTable {
    times: BTreeMap<VmId, LocalTime>,
}

impl LastSeenTable {
    /// Records that a VM was seen; an earlier time than the known one has no
    /// effect.
    pub(super) fn record(&mut self, vm: &VmId, time: LocalTime) {
        match self.times.get_mut(vm) {
            Some(known) => *known = time.max(*known),
            None => {
                self.times.insert(vm.clone(), time);
            }
        }
    }

    /// Returns when a VM was last seen.
    pub(super) fn get(&self, vm: &VmId) -> Option<LocalTime> {
        self.times.get(vm).copied()
    }

    /// Returns whether a VM was seen within `limit`.
    pub(super) fn is_fresh(&self, vm: &VmId, limit: TimeSpan, now: LocalTime) -> bool {
        self.get(vm).is_some_and(|time| now.since(time) <= limit)
    }

    /// Removes VMs that are not members and were not seen within `limit`.
    pub(super) fn prune(&mut self, table: &RosterTable, limit: TimeSpan, now: LocalTime) {
        self.times
            .retain(|vm, time| table.members.contains_key(vm) || now.since(*time) <= limit);
    }

    /// Builds the list that a heartbeat carries.
    pub(super) fn list(
        &self,
        version: ObjectVersion,
        table: &RosterTable,
        complying: &BTreeSet<VmId>,
        now: LocalTime,
    ) -> LastSeenList {
        let ages = paired(table.members.keys(), self.times.iter())
            .map(|time| time.map_or(AGE_UNKNOWN, |&at| age_of(at, now)))
            .collect();
        let mut bits = vec![0_u8; table.members.len().div_ceil(8)];
        for (index, vm) in table.members.keys().enumerate() {
            if complying.contains(vm)
                && let Some(byte) = bits.get_mut(index / 8)
            {
                *byte |= 1 << (index % 8);
            }
        }
        LastSeenList {
            version,
            ages,
            complying: bits,
        }
    }

    /// Merges the list of a peer that has the same version of the table.
    pub(super) fn merge(
        &mut self,
        list: &LastSeenList,
        table: &RosterTable,
        complying: &mut BTreeSet<VmId>,
        now: LocalTime,
    ) {
        let mut unseen = Vec::new();
        let times = paired(table.members.keys(), self.times.iter_mut());
        for ((vm, known), &age) in table.members.keys().zip(times).zip(&list.ages) {
            match (time_of(age, now), known) {
                (Some(time), Some(known)) => *known = time.max(*known),
                (Some(time), None) => unseen.push((vm, time)),
                (None, _) => {}
            }
        }
        for (vm, time) in unseen {
            self.record(vm, time);
        }
        for (index, vm) in table.members.keys().enumerate() {
            let byte = list.complying.get(index / 8).copied().unwrap_or_default();
            if byte & (1 << (index % 8)) != 0 && !complying.contains(vm) {
                complying.insert(vm.clone());
            }
        }
    }
}

/// Returns the value of each name in `entries`; names and entries must be sorted by
/// name, and are read in one pass.
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
