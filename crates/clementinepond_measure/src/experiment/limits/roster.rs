//! Rosters of a simulated fleet and the changes that the platform makes to them.

use clementinepond_decide::limit::{RemoteDataCentre, RosterView};
use clementinepond_types::{DataCentreId, Epoch, PartCount, VmId};
use std::collections::BTreeMap;

/// Parts into which a data centre's limits, and the whole fleet, are divided.
const TOTAL_PARTS: u32 = 1_024;

#[derive(Debug)]
struct RosterEntry {
    name: VmId,
    centre: usize,
    parts: u32,
    is_member: bool,
}

/// Rosters of every data centre.
#[derive(Debug)]
pub(super) struct FleetRoster {
    entries: Vec<RosterEntry>,
    indexes: BTreeMap<VmId, usize>,
    shares: Vec<u32>,
    epoch: u64,
}

impl FleetRoster {
    pub(super) fn new(centres: &[usize]) -> Self {
        let total: usize = centres.iter().sum();
        let mut entries = Vec::new();
        for (centre, &count) in centres.iter().enumerate() {
            let parts = split(TOTAL_PARTS, count);
            for parts in parts {
                if let Ok(name) = format!("vm-{}", entries.len()).parse() {
                    entries.push(RosterEntry {
                        name,
                        centre,
                        parts,
                        is_member: true,
                    });
                }
            }
        }
        let mut shares: Vec<u32> = centres
            .iter()
            .map(|&count| (TOTAL_PARTS as usize * count / total.max(1)) as u32)
            .collect();
        let rest = TOTAL_PARTS - shares.iter().sum::<u32>();
        if let Some(last) = shares.last_mut() {
            *last += rest;
        }
        let indexes = entries
            .iter()
            .enumerate()
            .map(|(index, entry)| (entry.name.clone(), index))
            .collect();
        Self {
            entries,
            indexes,
            shares,
            epoch: 0,
        }
    }

    pub(super) fn name(&self, vm: usize) -> VmId {
        self.entries[vm].name.clone()
    }

    pub(super) fn index(&self, name: &VmId) -> Option<usize> {
        self.indexes.get(name).copied()
    }

    pub(super) fn advance(&mut self) {
        self.epoch += 1;
    }

    /// Returns the share of the fleet that a data centre holds, in parts of 1,024.
    pub(super) fn share(&self, centre: usize) -> u64 {
        u64::from(self.shares[centre])
    }

    /// Removes a VM from the member list without moving its parts.
    pub(super) fn remove_member(&mut self, vm: usize) {
        self.entries[vm].is_member = false;
    }

    /// Moves the parts of a VM to the member of its data centre with the fewest parts.
    pub(super) fn move_parts(&mut self, vm: usize) {
        let centre = self.entries[vm].centre;
        let recipient = self
            .entries
            .iter()
            .enumerate()
            .filter(|(index, entry)| *index != vm && entry.centre == centre && entry.is_member)
            .min_by_key(|(_, entry)| entry.parts)
            .map(|(index, _)| index);
        if let Some(recipient) = recipient {
            let parts = std::mem::take(&mut self.entries[vm].parts);
            self.entries[recipient].parts += parts;
        }
    }

    pub(super) fn view(&self, vm: usize, centre: usize) -> RosterView {
        RosterView {
            epoch: Epoch::new(self.epoch),
            parts: PartCount::new(self.entries[vm].parts),
            share: PartCount::new(self.shares[centre]),
            members: self.members(centre),
            remote: (0..self.shares.len())
                .filter(|other| *other != centre)
                .filter_map(|other| {
                    let data_centre: DataCentreId = format!("dc-{other}").parse().ok()?;
                    Some(RemoteDataCentre {
                        data_centre,
                        members: self.members(other),
                    })
                })
                .collect(),
        }
    }

    fn members(&self, centre: usize) -> Vec<VmId> {
        self.entries
            .iter()
            .filter(|entry| entry.centre == centre && entry.is_member)
            .map(|entry| entry.name.clone())
            .collect()
    }
}

fn split(total: u32, count: usize) -> Vec<u32> {
    let count = u32::try_from(count).unwrap_or(1).max(1);
    let mut parts = vec![total / count; count as usize];
    for part in parts.iter_mut().take((total % count) as usize) {
        *part += 1;
    }
    parts
}
