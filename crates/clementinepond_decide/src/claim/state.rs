//! What one VM remembers about claims.

use super::key::ShardNumber;
use super::owner::ShardEntry;
use super::placement::{rank_members, shard_data_centre};
use super::record::{ClaimTicket, RunHolder, VmIncarnation};
use super::replica::ReplicaShard;
use super::settings::ClaimSettings;
use super::ticket::TicketEntry;
use clementinepond_types::{DataCentreId, Epoch, VmId};
use std::collections::BTreeMap;

/// Members of one data centre's roster.
#[derive(Debug, Clone)]
pub(crate) struct RosterView {
    pub(crate) epoch: Epoch,
    pub(crate) members: Vec<VmId>,
}

/// Numbers for metrics and the operator's view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Calls that wait for an answer of an owner.
    pub requesting: usize,
    /// Calls that hold a grant.
    pub granted: usize,
    /// Reports that are not confirmed.
    pub reporting: usize,
    /// Shards that this VM owns and answers for.
    pub held_shards: usize,
    /// Shards that this VM is taking over.
    pub takeover_shards: usize,
    /// Claims in the held shards.
    pub records: usize,
    /// Claims that are copied here for other owners.
    pub copies: usize,
}

/// Claims of one VM.
#[derive(Debug, Clone)]
pub struct ClaimState {
    pub(crate) settings: ClaimSettings,
    pub(crate) vm: VmId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) incarnation: VmIncarnation,
    pub(crate) writes: u64,
    pub(crate) rosters: BTreeMap<DataCentreId, RosterView>,
    pub(crate) tickets: BTreeMap<ClaimTicket, TicketEntry>,
    pub(crate) shards: BTreeMap<ShardNumber, ShardEntry>,
    pub(crate) replicas: BTreeMap<ShardNumber, ReplicaShard>,
    pub(crate) releasing: bool,
}

impl ClaimState {
    /// Starts without any claim; `incarnation` is drawn at random.
    #[must_use]
    pub fn new(
        settings: ClaimSettings,
        vm: VmId,
        data_centre: DataCentreId,
        incarnation: VmIncarnation,
    ) -> Self {
        Self {
            settings,
            vm,
            data_centre,
            incarnation,
            writes: 0,
            rosters: BTreeMap::new(),
            tickets: BTreeMap::new(),
            shards: BTreeMap::new(),
            replicas: BTreeMap::new(),
            releasing: false,
        }
    }

    /// Returns numbers for metrics.
    #[must_use]
    pub fn counts(&self) -> ClaimCounts {
        let mut counts = ClaimCounts {
            requesting: 0,
            granted: 0,
            reporting: 0,
            held_shards: 0,
            takeover_shards: 0,
            records: 0,
            copies: self
                .replicas
                .values()
                .map(|shard| shard.records.len())
                .sum(),
        };
        for ticket in self.tickets.values() {
            match ticket {
                TicketEntry::Requesting(_) => counts.requesting += 1,
                TicketEntry::Granted(_) => counts.granted += 1,
                TicketEntry::Reporting(_) => counts.reporting += 1,
                TicketEntry::Closed(_) => {}
            }
        }
        for entry in self.shards.values() {
            if let ShardEntry::Holding(tenure) = entry {
                counts.held_shards += 1;
                counts.records += tenure.stage.active.len() + tenure.stage.settled.len();
            } else {
                counts.takeover_shards += 1;
            }
        }
        counts
    }

    pub(crate) fn holder(&self, ticket: ClaimTicket) -> RunHolder {
        RunHolder {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            ticket,
        }
    }

    /// Returns the owner of a shard, as far as this VM knows.
    pub(crate) fn owner(&self, shard: ShardNumber) -> Option<VmId> {
        let data_centre = shard_data_centre(shard, &self.settings.data_centres)?;
        let roster = self.rosters.get(data_centre)?;
        rank_members(shard, &roster.members).into_iter().next()
    }

    /// Returns the roster of this VM's data centre.
    pub(crate) fn local_roster(&self) -> Option<&RosterView> {
        self.rosters.get(&self.data_centre)
    }

    /// Returns the shards that this VM's roster gives to it.
    pub(crate) fn assigned_shards(&self) -> Vec<ShardNumber> {
        if self.releasing {
            return Vec::new();
        }
        (0..self.settings.shard_count)
            .map(ShardNumber::new)
            .filter(|&shard| {
                shard_data_centre(shard, &self.settings.data_centres) == Some(&self.data_centre)
            })
            .filter(|&shard| self.owner(shard).as_ref() == Some(&self.vm))
            .collect()
    }
}
