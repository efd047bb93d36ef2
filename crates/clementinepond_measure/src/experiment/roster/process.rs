//! One VM process: the real reducers and the clock that they see.

use super::platform::{ObjectKind, Stored};
use clementinepond_decide::configuration::{
    ConfigurationEffect, ConfigurationEvent, ConfigurationMessage, ConfigurationSettings,
    ConfigurationState, WithdrawalRecord,
};
use clementinepond_decide::port::{ReadReply, StoreReply};
use clementinepond_decide::roster::{
    IncarnationId, OwnIdentity, RosterEffect, RosterEvent, RosterMessage, RosterSettings,
    RosterState, RosterTable, ShareTable, UpdateNonce, WatchAnswer,
};
use clementinepond_types::{KeyDigest, LocalTime, ObjectVersion, VmId};
use serde::Serialize;
use std::collections::VecDeque;

/// Message between two processes.
#[derive(Debug, Clone, Serialize)]
pub(crate) enum PeerMessage {
    /// About the roster.
    Roster(RosterMessage),
    /// About the configuration.
    Configuration(ConfigurationMessage),
}

/// Call to the platform.
#[derive(Debug, Clone)]
pub(crate) enum PlatformCall {
    /// Reads the own table.
    ReadTable(Box<str>),
    /// Updates the own table.
    StoreTable(ObjectVersion, Box<RosterTable>),
    /// Reads the fleet shares.
    ReadShares,
    /// Updates the fleet shares.
    StoreShares(ObjectVersion, ShareTable),
    /// Reads the list of VMs.
    ListVms,
    /// Watches a kind; lists it without a version.
    Watch(ObjectKind, Option<ObjectVersion>),
    /// Reads the configuration.
    ReadContent,
    /// Reads the withdrawal record.
    ReadRecord,
    /// Updates the withdrawal record.
    StoreRecord(ObjectVersion, WithdrawalRecord),
}

impl PlatformCall {
    /// Returns the event that tells that no answer came.
    pub(crate) fn no_answer(&self) -> PartEvent {
        match self {
            Self::ReadTable(_) => RosterEvent::TableRead(ReadReply::Unavailable).into(),
            Self::StoreTable(_, table) => table_stored(table.nonce, StoreReply::Unknown),
            Self::ReadShares => RosterEvent::SharesRead(ReadReply::Unavailable).into(),
            Self::StoreShares(..) => RosterEvent::SharesStored(StoreReply::Unknown).into(),
            Self::ListVms => RosterEvent::VmsListed(None).into(),
            Self::ReadContent => ConfigurationEvent::ContentRead(ReadReply::Unavailable).into(),
            Self::ReadRecord => ConfigurationEvent::RecordRead(ReadReply::Unavailable).into(),
            Self::StoreRecord(..) => ConfigurationEvent::RecordStored(StoreReply::Unknown).into(),
            Self::Watch(kind, _) => match kind {
                ObjectKind::Configuration => watched::<Box<str>>(WatchAnswer::Unavailable),
                ObjectKind::Withdrawals => watched::<WithdrawalRecord>(WatchAnswer::Unavailable),
                ObjectKind::Roster | ObjectKind::Shares => {
                    watched::<RosterTable>(WatchAnswer::Unavailable)
                }
            },
        }
    }
}

/// Types whose watch answers become events.
pub(crate) trait Watched: Stored {
    /// Wraps a watch answer.
    fn event(answer: WatchAnswer<Self>) -> PartEvent;
}

impl Watched for RosterTable {
    fn event(answer: WatchAnswer<Self>) -> PartEvent {
        RosterEvent::TablesWatched(answer).into()
    }
}

impl Watched for Box<str> {
    fn event(answer: WatchAnswer<Self>) -> PartEvent {
        ConfigurationEvent::ContentWatched(answer).into()
    }
}

impl Watched for WithdrawalRecord {
    fn event(answer: WatchAnswer<Self>) -> PartEvent {
        ConfigurationEvent::RecordWatched(answer).into()
    }
}

/// Wraps a watch answer.
pub(crate) fn watched<T: Watched>(answer: WatchAnswer<T>) -> PartEvent {
    T::event(answer)
}

/// Wraps the answer to an update of a table.
pub(crate) fn table_stored(nonce: UpdateNonce, reply: StoreReply<RosterTable>) -> PartEvent {
    RosterEvent::TableStored { nonce, reply }.into()
}

/// Event of either part.
#[derive(Debug, Clone)]
pub(crate) enum PartEvent {
    /// Of the roster.
    Roster(Box<RosterEvent>),
    /// Of the configuration.
    Configuration(Box<ConfigurationEvent>),
}

impl From<RosterEvent> for PartEvent {
    fn from(event: RosterEvent) -> Self {
        Self::Roster(Box::new(event))
    }
}

impl From<ConfigurationEvent> for PartEvent {
    fn from(event: ConfigurationEvent) -> Self {
        Self::Configuration(Box::new(event))
    }
}

/// What the surroundings of a process must carry out.
#[derive(Debug, Clone)]
pub(crate) enum ProcessOutput {
    /// Send a message to a VM.
    Send(VmId, PeerMessage),
    /// Send a message to an address.
    SendAddress(Box<str>, PeerMessage),
    /// Call the platform, unless the deadline passed.
    Call(PlatformCall, LocalTime),
    /// Use parts.
    Use(clementinepond_decide::roster::UsableParts),
    /// The shutdown may end.
    Released,
}

/// Clock of a process, which runs faster or slower than true time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SkewedClock {
    /// Reading at true time zero, in microseconds.
    pub(crate) offset: u64,
    /// Rate, in parts per million of true time.
    pub(crate) rate_ppm: u64,
}

impl SkewedClock {
    /// Reads the clock at a true time.
    pub(crate) fn read(&self, now: u64) -> LocalTime {
        let scaled = u128::from(now) * u128::from(self.rate_ppm) / 1_000_000;
        let micros = u64::try_from(scaled).unwrap_or(u64::MAX);
        LocalTime::from_micros(self.offset + micros)
    }

    /// Returns the true time of a reading.
    pub(crate) fn true_time(&self, local: LocalTime) -> u64 {
        if local == LocalTime::NEVER {
            return u64::MAX / 2;
        }
        let elapsed = u128::from(local.micros().saturating_sub(self.offset));
        let scaled = elapsed * 1_000_000 / u128::from(self.rate_ppm);
        u64::try_from(scaled).unwrap_or(u64::MAX / 2)
    }
}

/// One VM process.
#[derive(Debug)]
pub(crate) struct VmProcess {
    /// Name of the VM.
    pub(crate) vm: VmId,
    /// Data centre, by number.
    pub(crate) data_centre: usize,
    /// Number of the process.
    pub(crate) incarnation: u64,
    /// Clock.
    pub(crate) clock: SkewedClock,
    /// True time until which the process is paused.
    pub(crate) paused_until: u64,
    /// Roster part.
    pub(crate) roster: RosterState,
    /// Configuration part.
    pub(crate) configuration: ConfigurationState,
    /// Times that an older version was put in force.
    pub(crate) reverts: u64,
    in_force: ObjectVersion,
    key_text: Box<str>,
}

impl VmProcess {
    /// Starts a process.
    pub(crate) fn new(
        own: OwnIdentity,
        data_centre: usize,
        clock: SkewedClock,
        (roster, configuration): (RosterSettings, ConfigurationSettings),
        now: u64,
    ) -> Self {
        let local = clock.read(now);
        Self {
            vm: own.vm.clone(),
            data_centre,
            incarnation: own.incarnation.get(),
            clock,
            paused_until: 0,
            configuration: ConfigurationState::new(own.vm.clone(), configuration, local),
            roster: RosterState::new(own, roster, local),
            reverts: 0,
            in_force: ObjectVersion::default(),
            key_text: "".into(),
        }
    }

    /// Returns the number of the process.
    pub(crate) fn key(&self) -> (VmId, u64) {
        (self.vm.clone(), self.incarnation)
    }

    /// Returns whether the edge accepts a key.
    pub(crate) fn accepts(&self, key: &KeyDigest) -> bool {
        !self.configuration.withdrawn().contains(key) && self.key_text.contains(&key.to_string())
    }

    /// Runs one event through both reducers.
    pub(crate) fn handle(&mut self, event: PartEvent, now: u64) -> Vec<ProcessOutput> {
        let local = self.clock.read(now);
        let mut outputs = Vec::new();
        let mut queue = VecDeque::from([event]);
        while let Some(event) = queue.pop_front() {
            match event {
                PartEvent::Roster(event) => {
                    let effects =
                        clementinepond_decide::roster::reduce(&mut self.roster, *event, local);
                    for effect in effects {
                        roster_effect(effect, &mut queue, &mut outputs);
                    }
                }
                PartEvent::Configuration(event) => {
                    let effects = clementinepond_decide::configuration::reduce(
                        &mut self.configuration,
                        *event,
                        local,
                    );
                    for effect in effects {
                        self.configuration_effect(effect, &mut queue, &mut outputs);
                    }
                }
            }
        }
        outputs
    }

    fn configuration_effect(
        &mut self,
        effect: ConfigurationEffect,
        queue: &mut VecDeque<PartEvent>,
        outputs: &mut Vec<ProcessOutput>,
    ) {
        let call = match effect {
            ConfigurationEffect::Send { to, message } => {
                let message = PeerMessage::Configuration(message);
                outputs.push(ProcessOutput::Send(to, message));
                return;
            }
            ConfigurationEffect::Apply { version, text } => {
                self.reverts += u64::from(version < self.in_force);
                self.in_force = version;
                self.key_text = text;
                queue.push_back(ConfigurationEvent::Applied { version }.into());
                return;
            }
            ConfigurationEffect::CheckKeys { keys } => {
                let present = keys
                    .iter()
                    .filter(|key| self.key_text.contains(&key.to_string()))
                    .copied()
                    .collect();
                let event = ConfigurationEvent::KeysChecked {
                    version: self.in_force,
                    checked: keys,
                    present,
                };
                queue.push_back(event.into());
                return;
            }
            ConfigurationEffect::DigestChanged(digest) => {
                queue.push_back(RosterEvent::DigestChanged(digest).into());
                return;
            }
            ConfigurationEffect::KeyWithdrawn { .. }
            | ConfigurationEffect::AcceptKeys { .. }
            | ConfigurationEffect::WithdrawalAccepted { .. }
            | ConfigurationEffect::WithdrawalRefused { .. } => return,
            ConfigurationEffect::ReadContent => PlatformCall::ReadContent,
            ConfigurationEffect::ListContent => {
                PlatformCall::Watch(ObjectKind::Configuration, None)
            }
            ConfigurationEffect::WatchContent { from } => {
                PlatformCall::Watch(ObjectKind::Configuration, Some(from))
            }
            ConfigurationEffect::ListRecords => PlatformCall::Watch(ObjectKind::Withdrawals, None),
            ConfigurationEffect::WatchRecord { from } => {
                PlatformCall::Watch(ObjectKind::Withdrawals, Some(from))
            }
            ConfigurationEffect::ReadRecord => PlatformCall::ReadRecord,
            ConfigurationEffect::StoreRecord {
                if_version, record, ..
            } => PlatformCall::StoreRecord(if_version, record),
        };
        outputs.push(ProcessOutput::Call(call, LocalTime::NEVER));
    }
}

fn roster_effect(
    effect: RosterEffect,
    queue: &mut VecDeque<PartEvent>,
    outputs: &mut Vec<ProcessOutput>,
) {
    let output = match effect {
        RosterEffect::Send { to, message } => ProcessOutput::Send(to, PeerMessage::Roster(message)),
        RosterEffect::SendAddress { address, message } => {
            ProcessOutput::SendAddress(address, PeerMessage::Roster(message))
        }
        RosterEffect::LearnAddress { .. } => return,
        RosterEffect::ReadTable { data_centre } => {
            call(PlatformCall::ReadTable(data_centre.into()))
        }
        RosterEffect::StoreTable {
            if_version,
            table,
            deadline,
        } => ProcessOutput::Call(
            PlatformCall::StoreTable(if_version, Box::new(table)),
            deadline,
        ),
        RosterEffect::WatchTables { from } => {
            call(PlatformCall::Watch(ObjectKind::Roster, Some(from)))
        }
        RosterEffect::ListTables => call(PlatformCall::Watch(ObjectKind::Roster, None)),
        RosterEffect::ReadShares => call(PlatformCall::ReadShares),
        RosterEffect::StoreShares {
            if_version,
            table,
            deadline,
        } => ProcessOutput::Call(PlatformCall::StoreShares(if_version, table), deadline),
        RosterEffect::ListVms => call(PlatformCall::ListVms),
        RosterEffect::UseParts(usable) => ProcessOutput::Use(usable),
        RosterEffect::MembersChanged { local, remote } => {
            queue.push_back(ConfigurationEvent::MembersChanged { local, remote }.into());
            return;
        }
        RosterEffect::RelayChanged { active } => {
            queue.push_back(ConfigurationEvent::RelayChanged { active }.into());
            return;
        }
        RosterEffect::PeerDigest { from, digest } => {
            queue.push_back(ConfigurationEvent::PeerDigest { from, digest }.into());
            return;
        }
        RosterEffect::Released => ProcessOutput::Released,
    };
    outputs.push(output);
}

fn call(call: PlatformCall) -> ProcessOutput {
    ProcessOutput::Call(call, LocalTime::NEVER)
}

/// Makes an incarnation of a number.
pub(crate) fn incarnation(number: u64) -> IncarnationId {
    IncarnationId::new(number)
}
