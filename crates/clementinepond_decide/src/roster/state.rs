//! What a VM remembers about the rosters.

use super::heard::HeardLog;
use super::share::ShareWork;
use super::store::TableWork;
use super::{
    JoinRequest, OwnIdentity, RosterMember, RosterMutation, RosterSettings, RosterTable,
    ShareTable, UpdateNonce, UsableParts,
};
use crate::configuration::ConfigurationDigest;
use crate::port::VersionedObject;
use clementinepond_types::{DataCentreId, LocalTime, ObjectVersion, PartCount, VmId};
use std::collections::{BTreeMap, BTreeSet};

/// Life cycle of this VM's membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipStage {
    /// Not a member yet, or not any more.
    Joining,
    /// The newest known table lists this process.
    Member,
    /// A graceful shutdown waits for the release.
    Releasing,
    /// The release is known to have taken effect.
    Released,
}

/// Release of a portion of the own parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PartRelease {
    /// Parts that are kept.
    pub(super) keep: PartCount,
    /// Version that the last update of the release was conditional on.
    pub(super) written_on: Option<ObjectVersion>,
}

/// Probe that waits for its acknowledgement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SentProbe {
    /// Receiver.
    pub(super) to: VmId,
    /// When it was sent.
    pub(super) sent: LocalTime,
}

/// Request for a table that waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AskedTable {
    /// Version that was announced.
    pub(super) version: ObjectVersion,
    /// When another request may go out.
    pub(super) retry: LocalTime,
}

/// Watch of all tables by a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WatchStage {
    /// No call is out.
    Idle {
        /// When the next call may go out.
        retry: LocalTime,
    },
    /// A call is out.
    Waiting {
        /// When it counts as lost.
        lapse: LocalTime,
    },
}

/// Live members of the own data centre and members of the others.
pub(super) type AnnouncedMembers = (Vec<VmId>, BTreeMap<DataCentreId, Vec<VmId>>);

/// Everything that a VM knows about the rosters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterState {
    pub(super) settings: RosterSettings,
    pub(super) own: OwnIdentity,
    pub(super) started: LocalTime,
    pub(super) last_run: LocalTime,
    pub(super) suspended: Option<LocalTime>,
    pub(super) stage: MembershipStage,
    pub(super) rosters: BTreeMap<DataCentreId, VersionedObject<RosterTable>>,
    pub(super) shares: Option<VersionedObject<ShareTable>>,
    pub(super) shares_missing: bool,
    pub(super) share_target: Option<PartCount>,
    pub(super) relay_order: Vec<VmId>,
    pub(super) probe_order: Vec<VmId>,
    pub(super) heard: HeardLog,
    pub(super) keeping: BTreeSet<VmId>,
    pub(super) sightings: BTreeMap<VmId, LocalTime>,
    pub(super) contacts: BTreeMap<VmId, LocalTime>,
    pub(super) platform_contact: Option<LocalTime>,
    pub(super) probes: BTreeMap<u64, SentProbe>,
    pub(super) probe_number: u64,
    pub(super) round: usize,
    pub(super) next_round: LocalTime,
    pub(super) asked: BTreeMap<DataCentreId, AskedTable>,
    pub(super) absent: BTreeMap<VmId, LocalTime>,
    pub(super) leaving: BTreeSet<VmId>,
    pub(super) joiners: BTreeMap<VmId, (JoinRequest, LocalTime)>,
    pub(super) release: Option<PartRelease>,
    pub(super) next_balance: LocalTime,
    pub(super) table_work: TableWork,
    pub(super) table_missing: bool,
    pub(super) update_number: u64,
    pub(super) share_work: ShareWork,
    pub(super) watch: WatchStage,
    pub(super) watch_from: ObjectVersion,
    pub(super) watch_too_old: bool,
    pub(super) next_list: LocalTime,
    pub(super) listed: Option<LocalTime>,
    pub(super) joining_since: LocalTime,
    pub(super) relay: bool,
    pub(super) digest: Option<ConfigurationDigest>,
    pub(super) announced: Option<UsableParts>,
    pub(super) outstanding_parts: PartCount,
    pub(super) outstanding_share: PartCount,
    pub(super) announced_members: Option<AnnouncedMembers>,
}

impl RosterState {
    /// Starts a process that knows no table.
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
            heard: HeardLog::default(),
            keeping: BTreeSet::new(),
            sightings: BTreeMap::new(),
            contacts: BTreeMap::new(),
            platform_contact: None,
            probes: BTreeMap::new(),
            probe_number: 0,
            round: 0,
            next_round: now,
            asked: BTreeMap::new(),
            absent: BTreeMap::new(),
            leaving: BTreeSet::new(),
            joiners: BTreeMap::new(),
            release: None,
            next_balance: now,
            table_work: TableWork::Idle { retry: now },
            table_missing: false,
            update_number: 0,
            share_work: ShareWork::Idle { retry: now },
            watch: WatchStage::Idle { retry: now },
            watch_from: ObjectVersion::default(),
            watch_too_old: true,
            next_list: now,
            listed: None,
            joining_since: now,
            relay: false,
            digest: None,
            announced: None,
            outstanding_parts: PartCount::default(),
            outstanding_share: PartCount::default(),
            announced_members: None,
        }
    }

    /// Returns the life cycle of this VM's membership.
    #[must_use]
    pub const fn stage(&self) -> MembershipStage {
        self.stage
    }

    /// Returns whether this VM has relay duty.
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

    /// Returns the parts and share that were last announced for use.
    #[must_use]
    pub const fn announced(&self) -> Option<&UsableParts> {
        self.announced.as_ref()
    }

    /// Returns the most parts on which grants may still exist.
    #[must_use]
    pub const fn outstanding(&self) -> (PartCount, PartCount) {
        (self.outstanding_parts, self.outstanding_share)
    }

    /// Returns whether a member was heard within the suspicion time.
    #[must_use]
    pub fn is_live(&self, vm: &VmId, now: LocalTime) -> bool {
        *vm == self.own.vm || self.heard.is_fresh(vm, self.settings.suspicion, now)
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
