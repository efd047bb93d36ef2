//! State of the roster on one VM.

use super::last_seen::LastSeenTable;
use super::share::ShareCall;
use super::store::TableCall;
use super::{
    JoinRequest, OwnIdentity, RosterMember, RosterMutation, RosterSettings, RosterTable,
    ShareTable, UpdateNonce, UsableParts,
};
use crate::configuration::ConfigurationDigest;
use crate::port::VersionedObject;
use clementinepond_types::{DataCentreId, LocalTime, ObjectVersion, PartCount, VmId};
use std::collections::{BTreeMap, BTreeSet};

/// Stage of this VM's membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipStage {
    /// The newest known table does not list this process; it requests to join.
    Joining,
    /// The newest known table lists this process.
    Member,
    /// A graceful shutdown waits for the release of the parts.
    Releasing,
    /// The table no longer lists this process, or it shut down before it was a member.
    Released,
}

/// Release of a portion of this VM's parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PartRelease {
    /// Parts that the VM keeps.
    pub(super) keep: PartCount,
    /// Table version that the latest update since the start of the release was
    /// conditional on; `None` before the first one.
    pub(super) written_on: Option<ObjectVersion>,
}

/// Probe that waits for its acknowledgement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SentProbe {
    /// Receiver.
    pub(super) to: VmId,
    /// Send time.
    pub(super) sent: LocalTime,
}

/// Latest request for a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestedTable {
    /// Table version that the peer announced.
    pub(super) version: ObjectVersion,
    /// Earliest time of another request for this version.
    pub(super) retry: LocalTime,
}

/// Watch of all tables by a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WatchStage {
    /// No call is in progress.
    Idle {
        /// Earliest time of the next call.
        retry: LocalTime,
    },
    /// A call is in progress.
    Waiting {
        /// Time after which it counts as lost.
        until: LocalTime,
    },
}

/// Live members of the own data centre and members of the others.
pub(super) type AnnouncedMembers = (Vec<VmId>, BTreeMap<DataCentreId, Vec<VmId>>);

/// State of the roster on one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterState {
    pub(super) settings: RosterSettings,
    pub(super) own: OwnIdentity,
    pub(super) started: LocalTime,
    pub(super) last_run: LocalTime,
    /// Time since which parts are unused because their use expired during a pause or
    /// without contact; `None` when they may be used.
    pub(super) suspended: Option<LocalTime>,
    pub(super) stage: MembershipStage,
    pub(super) rosters: BTreeMap<DataCentreId, VersionedObject<RosterTable>>,
    pub(super) shares: Option<VersionedObject<ShareTable>>,
    pub(super) shares_missing: bool,
    /// Fleet share that the configuration assigns to the data centre.
    pub(super) share_target: Option<PartCount>,
    /// Members in the order of preference as relay.
    pub(super) relay_order: Vec<VmId>,
    /// Other members in the order in which they are probed.
    pub(super) probe_order: Vec<VmId>,
    pub(super) last_seen: LastSeenTable,
    /// Members known to use no more than the own table's fleet share.
    pub(super) complying: BTreeSet<VmId>,
    /// Time of each relay's latest answer from the platform.
    pub(super) relay_contacts: BTreeMap<VmId, LocalTime>,
    /// Send time of the latest probe that each member acknowledged without a
    /// newer table.
    pub(super) contacts: BTreeMap<VmId, LocalTime>,
    /// Send time of this VM's latest update of the table that took effect, or the time
    /// at which it learned that it is a member.
    pub(super) platform_contact: Option<LocalTime>,
    pub(super) probes: BTreeMap<u64, SentProbe>,
    pub(super) probe_number: u64,
    pub(super) round: usize,
    pub(super) next_round: LocalTime,
    pub(super) requested: BTreeMap<DataCentreId, RequestedTable>,
    /// Members missing from the platform's list, with the time since when.
    pub(super) absent: BTreeMap<VmId, LocalTime>,
    /// VMs that the platform's list marks as leaving.
    pub(super) leaving: BTreeSet<VmId>,
    /// Latest join request of each VM that is not yet a member, with its time of receipt.
    pub(super) joiners: BTreeMap<VmId, (JoinRequest, LocalTime)>,
    pub(super) release: Option<PartRelease>,
    pub(super) next_balance: LocalTime,
    pub(super) table_call: TableCall,
    pub(super) table_missing: bool,
    pub(super) update_number: u64,
    pub(super) share_call: ShareCall,
    pub(super) watch: WatchStage,
    pub(super) watch_from: ObjectVersion,
    pub(super) watch_too_old: bool,
    pub(super) next_list: LocalTime,
    /// Time of the platform's latest list.
    pub(super) listed_at: Option<LocalTime>,
    pub(super) joining_since: LocalTime,
    pub(super) relay: bool,
    pub(super) digest: Option<ConfigurationDigest>,
    pub(super) announced: Option<UsableParts>,
    /// Upper bound of the parts on which grants may still exist.
    pub(super) outstanding_parts: PartCount,
    /// Upper bound of the fleet share on which grants may still exist.
    pub(super) outstanding_share: PartCount,
    pub(super) announced_members: Option<AnnouncedMembers>,
}

impl RosterState {
    /// Creates the state of a process that knows no table.
    #[must_use]
    pub fn new(own: OwnIdentity, settings: RosterSettings, now: LocalTime) -> Self {
        Self {
            settings,
            own,
            started: now,
            last_run: now,
            suspended: None,
            stage: MembershipStage::Joining,
            rosters: BTreeMap::new(),
            shares: None,
            shares_missing: false,
            share_target: None,
            relay_order: Vec::new(),
            probe_order: Vec::new(),
            last_seen: LastSeenTable::default(),
            complying: BTreeSet::new(),
            relay_contacts: BTreeMap::new(),
            contacts: BTreeMap::new(),
            platform_contact: None,
            probes: BTreeMap::new(),
            probe_number: 0,
            round: 0,
            next_round: now,
            requested: BTreeMap::new(),
            absent: BTreeMap::new(),
            leaving: BTreeSet::new(),
            joiners: BTreeMap::new(),
            release: None,
            next_balance: now,
            table_call: TableCall::Idle { retry: now },
            table_missing: false,
            update_number: 0,
            share_call: ShareCall::Idle { retry: now },
            watch: WatchStage::Idle { retry: now },
            watch_from: ObjectVersion::default(),
            watch_too_old: true,
            next_list: now,
            listed_at: None,
            joining_since: now,
            relay: false,
            digest: None,
            announced: None,
            outstanding_parts: PartCount::default(),
            outstanding_share: PartCount::default(),
            announced_members: None,
        }
    }

    /// Returns the stage of this VM's membership.
    #[must_use]
    pub const fn stage(&self) -> MembershipStage {
        self.stage
    }

    /// Returns whether this VM is a relay.
    #[must_use]
    pub const fn is_relay(&self) -> bool {
        self.relay
    }

    /// Returns the newest known table of a data centre.
    #[must_use]
    pub fn table(&self, data_centre: &DataCentreId) -> Option<&VersionedObject<RosterTable>> {
        self.rosters.get(data_centre)
    }

    /// Returns the newest known tables of all data centres.
    #[must_use]
    pub const fn tables(&self) -> &BTreeMap<DataCentreId, VersionedObject<RosterTable>> {
        &self.rosters
    }

    /// Returns the newest known table of the own data centre.
    #[must_use]
    pub fn own_table(&self) -> Option<&VersionedObject<RosterTable>> {
        self.rosters.get(&self.own.data_centre)
    }

    /// Returns the newest known fleet shares.
    #[must_use]
    pub const fn shares(&self) -> Option<&VersionedObject<ShareTable>> {
        self.shares.as_ref()
    }

    /// Returns the parts and share last announced for use; `None` before the first
    /// announcement.
    #[must_use]
    pub const fn announced(&self) -> Option<&UsableParts> {
        self.announced.as_ref()
    }

    /// Returns upper bounds of the parts and of the fleet share on which grants
    /// may still exist.
    #[must_use]
    pub const fn outstanding(&self) -> (PartCount, PartCount) {
        (self.outstanding_parts, self.outstanding_share)
    }

    /// Returns whether a VM is this one or was seen within the suspicion time.
    #[must_use]
    pub fn is_live(&self, vm: &VmId, now: LocalTime) -> bool {
        *vm == self.own.vm || self.last_seen.is_fresh(vm, self.settings.suspicion, now)
    }

    /// Returns the live members of the own data centre, this VM included.
    #[must_use]
    pub fn live_members(&self, now: LocalTime) -> BTreeSet<VmId> {
        self.own_table().map_or_else(BTreeSet::new, |object| {
            object
                .value
                .members
                .keys()
                .filter(|vm| self.is_live(vm, now))
                .cloned()
                .collect()
        })
    }

    pub(super) fn own_version(&self) -> ObjectVersion {
        self.own_table()
            .map_or_else(ObjectVersion::default, |object| object.version)
    }

    pub(super) fn own_entry(&self) -> Option<&RosterMember> {
        self.own_table()
            .and_then(|object| object.value.entry(&self.own.vm, self.own.incarnation))
    }

    pub(super) fn mutated(&self, mutation: RosterMutation) -> bool {
        self.settings.mutation == mutation
    }

    pub(super) fn next_nonce(&mut self) -> UpdateNonce {
        self.update_number += 1;
        UpdateNonce {
            incarnation: self.own.incarnation,
            number: self.update_number,
        }
    }
}
