//! State of the configuration part of one VM.

use super::watch::PlatformCall;
use super::withdrawal::PendingWithdrawal;
use super::{
    ConfigurationDigest, ConfigurationMutation, ConfigurationSettings, ContentDigest, CutOffPolicy,
    WithdrawalRecord, WithdrawnSet,
};
use crate::port::VersionedObject;
use clementinepond_types::{DataCentreId, LocalTime, ObjectVersion, TimeSpan, VmId};
use std::collections::{BTreeMap, VecDeque};

/// Status of the configuration on one VM, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationStatus {
    /// Version in force; `None` before the first one.
    pub in_force: Option<ObjectVersion>,
    /// Newest version that this VM holds.
    pub newest: Option<ObjectVersion>,
    /// Newest version that could not be applied.
    pub refused: Option<ObjectVersion>,
    /// Time since the platform was last known to hold no newer version.
    pub age: Option<TimeSpan>,
    /// Number of withdrawn keys.
    pub withdrawn: usize,
    /// Number of withdrawn keys not known to be in the platform's record.
    pub unrecorded: usize,
}

/// Request for a version that was sent to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RequestedVersion {
    /// Version that the peer announced.
    pub(super) version: ObjectVersion,
    /// When another request for this or an older version may be sent.
    pub(super) retry_at: LocalTime,
}

/// State of the configuration part of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigurationState {
    pub(super) settings: ConfigurationSettings,
    pub(super) own_vm: VmId,
    /// Live members of the data centre.
    pub(super) local: Vec<VmId>,
    /// Members of the other data centres.
    pub(super) remote: BTreeMap<DataCentreId, Vec<VmId>>,
    /// Whether this VM is a relay of its data centre.
    pub(super) relay: bool,
    pub(super) newest: Option<VersionedObject<Box<str>>>,
    pub(super) newest_digest: Option<ContentDigest>,
    /// Versions before the newest, latest first.
    pub(super) history: VecDeque<VersionedObject<Box<str>>>,
    /// Version of the last `Apply` effect.
    pub(super) offered: Option<ObjectVersion>,
    pub(super) in_force: Option<ObjectVersion>,
    pub(super) refused: Option<ObjectVersion>,
    /// When the platform was last known to hold no version newer than `newest`.
    pub(super) confirmed_at: Option<LocalTime>,
    /// Until when the first `Apply` waits for the platform's version.
    pub(super) boot_until: LocalTime,
    /// Whether no `Apply` effect was emitted since the start.
    pub(super) booting: bool,
    pub(super) requested: Option<RequestedVersion>,
    /// When peers may be sent another request for withdrawn keys.
    pub(super) next_withdrawals_request: LocalTime,
    /// Read of the configuration after the start.
    pub(super) read: PlatformCall,
    /// Whether the read after the start found no configuration; the read is then
    /// not repeated.
    pub(super) read_missing: bool,
    pub(super) content_watch: PlatformCall,
    /// Version after which the configuration is watched.
    pub(super) content_from: ObjectVersion,
    /// Whether a list must come before the next watch: at first, and after the platform
    /// no longer had the changes since `content_from`.
    pub(super) content_too_old: bool,
    pub(super) record_watch: PlatformCall,
    /// Version after which the withdrawal record is watched.
    pub(super) record_from: ObjectVersion,
    /// Same as `content_too_old`, for the withdrawal record.
    pub(super) record_too_old: bool,
    /// Read or update of the withdrawal record.
    pub(super) record_call: PlatformCall,
    /// Whether the record must be read because an update had an unknown outcome.
    pub(super) record_uncertain: bool,
    pub(super) record: Option<VersionedObject<WithdrawalRecord>>,
    /// Content of the outstanding update.
    pub(super) record_sent: Option<WithdrawalRecord>,
    /// Nonce of the last update by this process.
    pub(super) last_nonce: u64,
    pub(super) withdrawn: WithdrawnSet,
    /// Unanswered operator requests, by request number.
    pub(super) pending_withdrawals: BTreeMap<u64, PendingWithdrawal>,
    /// When a message or digest of a peer, or an answer of the platform to a read of the
    /// configuration, a list or a watch last arrived.
    pub(super) last_contact: LocalTime,
    /// Deadline of the last `AcceptKeys` effect.
    pub(super) accepted_until: Option<LocalTime>,
    /// Digest of the last `DigestChanged` effect.
    pub(super) announced: Option<ConfigurationDigest>,
}

impl ConfigurationState {
    /// Creates the state of a process without a configuration.
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
            confirmed_at: None,
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

    /// Returns the set of withdrawn keys.
    #[must_use]
    pub const fn withdrawn(&self) -> &WithdrawnSet {
        &self.withdrawn
    }

    /// Returns the version in force; `None` before the first one.
    #[must_use]
    pub const fn in_force(&self) -> Option<ObjectVersion> {
        self.in_force
    }

    /// Returns the status for operators.
    #[must_use]
    pub fn status(&self, now: LocalTime) -> ConfigurationStatus {
        ConfigurationStatus {
            in_force: self.in_force,
            newest: self.newest.as_ref().map(|object| object.version),
            refused: self.refused,
            age: self.confirmed_at.map(|at| now.since(at)),
            withdrawn: self.withdrawn.len(),
            unrecorded: self.withdrawn.unrecorded().len(),
        }
    }

    /// Returns the time until which keys are accepted without further contact.
    #[must_use]
    pub fn keys_until(&self) -> LocalTime {
        match self.settings.cut_off {
            CutOffPolicy::KeepServing => LocalTime::NEVER,
            CutOffPolicy::RefuseAfter(limit) => self.last_contact + limit,
        }
    }

    /// Returns the digest for heartbeats.
    #[must_use]
    pub fn digest(&self, now: LocalTime) -> ConfigurationDigest {
        let age = self.confirmed_at.map(|at| now.since(at).millis() / 1_000);
        ConfigurationDigest {
            version: self.newest_version(),
            content: self.newest_digest,
            age_seconds: age.and_then(|age| u16::try_from(age).ok()),
            withdrawn: self.withdrawn.digest(),
        }
    }

    /// Returns the newest version; zero for none.
    pub(super) fn newest_version(&self) -> ObjectVersion {
        self.newest
            .as_ref()
            .map_or_else(ObjectVersion::default, |object| object.version)
    }

    /// Returns whether a test disables the given guard.
    pub(super) fn mutated(&self, mutation: ConfigurationMutation) -> bool {
        self.settings.mutation == mutation
    }

    pub(super) fn record_contact(&mut self, now: LocalTime) {
        self.last_contact = self.last_contact.max(now);
    }
}
