//! What a VM remembers about the configuration.

use super::watch::PlatformCall;
use super::withdrawal::PendingWithdrawal;
use super::{
    ConfigurationDigest, ConfigurationMutation, ConfigurationSettings, ContentDigest, CutOffPolicy,
    WithdrawalRecord, WithdrawnSet,
};
use crate::port::VersionedObject;
use clementinepond_types::{DataCentreId, LocalTime, ObjectVersion, TimeSpan, VmId};
use std::collections::{BTreeMap, VecDeque};

/// What an operator sees of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationStatus {
    /// Version in force.
    pub in_force: Option<ObjectVersion>,
    /// Newest version that this VM has.
    pub newest: Option<ObjectVersion>,
    /// Newest version that could not be used.
    pub refused: Option<ObjectVersion>,
    /// Time since the platform was known to hold no newer version.
    pub age: Option<TimeSpan>,
    /// Withdrawn keys that are kept.
    pub withdrawn: usize,
    /// Withdrawn keys that the platform's record lacks.
    pub unrecorded: usize,
}

/// Request to a peer that waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestedVersion {
    /// Version that was announced.
    pub(super) version: ObjectVersion,
    /// When another request may go out.
    pub(super) retry_at: LocalTime,
}

/// Everything that a VM knows about the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationState {
    pub(super) settings: ConfigurationSettings,
    pub(super) own_vm: VmId,
    pub(super) local: Vec<VmId>,
    pub(super) remote: BTreeMap<DataCentreId, Vec<VmId>>,
    pub(super) relay: bool,
    pub(super) newest: Option<VersionedObject<Box<str>>>,
    pub(super) newest_digest: Option<ContentDigest>,
    pub(super) history: VecDeque<VersionedObject<Box<str>>>,
    pub(super) offered: Option<ObjectVersion>,
    pub(super) in_force: Option<ObjectVersion>,
    pub(super) refused: Option<ObjectVersion>,
    pub(super) confirmed: Option<LocalTime>,
    pub(super) boot_until: LocalTime,
    pub(super) booting: bool,
    pub(super) requested: Option<RequestedVersion>,
    pub(super) next_withdrawals_request: LocalTime,
    pub(super) read: PlatformCall,
    pub(super) read_missing: bool,
    pub(super) content_watch: PlatformCall,
    pub(super) content_from: ObjectVersion,
    pub(super) content_too_old: bool,
    pub(super) record_watch: PlatformCall,
    pub(super) record_from: ObjectVersion,
    pub(super) record_too_old: bool,
    pub(super) record_call: PlatformCall,
    pub(super) record_uncertain: bool,
    pub(super) record: Option<VersionedObject<WithdrawalRecord>>,
    pub(super) record_sent: Option<WithdrawalRecord>,
    pub(super) last_nonce: u64,
    pub(super) withdrawn: WithdrawnSet,
    pub(super) pending_withdrawals: BTreeMap<u64, PendingWithdrawal>,
    pub(super) last_contact: LocalTime,
    pub(super) accepted_until: Option<LocalTime>,
    pub(super) announced: Option<ConfigurationDigest>,
}

impl ConfigurationState {
    /// Starts a process that has no configuration.
    #[must_use]
    pub fn new(own_vm: VmId, settings: ConfigurationSettings, now: LocalTime) -> Self {
        let boot_until = now + settings.boot_wait;
        let idle = PlatformCall::Idle { retry_at: now };
        Self {
            settings,
            own_vm,
            local: Vec::new(),
            remote: BTreeMap::new(),
            relay: false,
            newest: None,
            newest_digest: None,
            history: VecDeque::new(),
            offered: None,
            in_force: None,
            refused: None,
            confirmed: None,
            boot_until,
            booting: true,
            requested: None,
            next_withdrawals_request: LocalTime::ORIGIN,
            read: idle,
            read_missing: false,
            content_watch: idle,
            content_from: ObjectVersion::default(),
            content_too_old: true,
            record_watch: idle,
            record_from: ObjectVersion::default(),
            record_too_old: true,
            record_call: idle,
            record_uncertain: false,
            record: None,
            record_sent: None,
            last_nonce: 0,
            withdrawn: WithdrawnSet::default(),
            pending_withdrawals: BTreeMap::new(),
            last_contact: now,
            accepted_until: None,
            announced: None,
        }
    }

    /// Returns the withdrawn keys.
    #[must_use]
    pub const fn withdrawn(&self) -> &WithdrawnSet {
        &self.withdrawn
    }

    /// Returns the version in force.
    #[must_use]
    pub const fn in_force(&self) -> Option<ObjectVersion> {
        self.in_force
    }

    /// Returns what an operator sees.
    #[must_use]
    pub fn status(&self, now: LocalTime) -> ConfigurationStatus {
        ConfigurationStatus {
            in_force: self.in_force,
            newest: self.newest.as_ref().map(|object| object.version),
            refused: self.refused,
            age: self.confirmed.map(|at| now.since(at)),
            withdrawn: self.withdrawn.len(),
            unrecorded: self.withdrawn.unrecorded().len(),
        }
    }

    /// Returns the moment until which keys are accepted without news.
    #[must_use]
    pub fn keys_until(&self) -> LocalTime {
        match self.settings.cut_off {
            CutOffPolicy::KeepServing => LocalTime::NEVER,
            CutOffPolicy::RefuseAfter(limit) => self.last_contact + limit,
        }
    }

    /// Returns the digest that heartbeats carry.
    #[must_use]
    pub fn digest(&self, now: LocalTime) -> ConfigurationDigest {
        let age = self.confirmed.map(|at| now.since(at).millis() / 1_000);
        ConfigurationDigest {
            version: self.newest_version(),
            content: self.newest_digest,
            age_seconds: age.and_then(|age| u16::try_from(age).ok()),
            withdrawn: self.withdrawn.digest(),
        }
    }

    pub(super) fn newest_version(&self) -> ObjectVersion {
        self.newest
            .as_ref()
            .map_or_else(ObjectVersion::default, |object| object.version)
    }

    pub(super) fn mutated(&self, mutation: ConfigurationMutation) -> bool {
        self.settings.mutation == mutation
    }

    pub(super) fn record_contact(&mut self, now: LocalTime) {
        self.last_contact = self.last_contact.max(now);
    }
}
