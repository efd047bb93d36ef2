//! State of the claim part of one VM.

use super::key::ShardNumber;
use super::owner::ShardEntry;
use super::placement::{rank_members, shard_data_centre};
use super::record::{ClaimTicket, RunHolder, VmIncarnation};
use super::replica::ReplicaShard;
use super::settings::ClaimSettings;
use super::ticket::TicketEntry;
use clementinepond_types::{DataCentreId, Epoch, VmId};
use std::collections::BTreeMap;

/// Latest known roster of one data centre.
#[derive(Debug, Clone)]
pub(crate) struct RosterView {
    pub(crate) epoch: Epoch,
    pub(crate) members: Vec<VmId>,
}

/// Counts of calls, shards and records on one VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimCounts {
    /// Number of calls that wait for the owner's answer.
    pub requesting: usize,
    /// Number of calls that hold a grant and have not ended.
    pub granted: usize,
    /// Number of ended runs whose report is not acknowledged.
    pub reporting: usize,
    /// Number of shards that this VM serves as owner.
    pub held_shards: usize,
    /// Number of shards that this VM is taking over.
    pub takeover_shards: usize,
    /// Number of claims in the held shards.
    pub records: usize,
    /// Number of claims that this VM holds as a replica.
    pub copies: usize,
}

/// State of the claim part of one VM: its calls, owned shards and replicas.
#[derive(Debug, Clone)]
pub struct ClaimState {
    pub(crate) settings: ClaimSettings,
    pub(crate) vm: VmId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) incarnation: VmIncarnation,
    /// Number of the last write of a shard object by this process.
    pub(crate) writes: u64,
    pub(crate) rosters: BTreeMap<DataCentreId, RosterView>,
    pub(crate) tickets: BTreeMap<ClaimTicket, TicketEntry>,
    /// Shards that this VM owns or takes over.
    pub(crate) shards: BTreeMap<ShardNumber, ShardEntry>,
    /// Copies held for other owners.
    pub(crate) replicas: BTreeMap<ShardNumber, ReplicaShard>,
    /// Whether this VM hands over its shards and takes no new ones.
    pub(crate) releasing: bool,
}

impl ClaimState {
    /// Creates an empty state; `incarnation` must be drawn at random for each process.
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

    /// Returns the counts of calls, shards and records.
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

    /// Returns the identity under which a call of this process requests its claim.
    pub(crate) fn holder(&self, ticket: ClaimTicket) -> RunHolder {
        RunHolder {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            ticket,
        }
    }

    /// Returns the owner of a shard according to the latest known roster.
    pub(crate) fn owner(&self, shard: ShardNumber) -> Option<VmId> {
        let data_centre = shard_data_centre(shard, &self.settings.data_centres)?;
        let roster = self.rosters.get(data_centre)?;
        rank_members(shard, &roster.members).into_iter().next()
    }

    /// Returns the roster of this VM's data centre.
    pub(crate) fn local_roster(&self) -> Option<&RosterView> {
        self.rosters.get(&self.data_centre)
    }

    /// Returns the shards that this VM owns by the latest roster; none while releasing.
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
