//! Simulated VM process: runs the production reducers with a skewed clock.

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

/// Message between two VM processes.
#[derive(Debug, Clone, Serialize)]
pub(crate) enum PeerMessage {
    /// Message of the roster reducer.
    Roster(RosterMessage),
    /// Message of the configuration reducer.
    Configuration(ConfigurationMessage),
}

/// Call to the platform.
#[derive(Debug, Clone)]
pub(crate) enum PlatformCall {
    /// Reads the roster table of the VM's data centre, by name.
    ReadTable(Box<str>),
    /// Updates the roster table of the VM's data centre if its version matches.
    StoreTable(ObjectVersion, Box<RosterTable>),
    /// Reads the fleet shares.
    ReadShares,
    /// Updates the fleet shares if their version matches.
    StoreShares(ObjectVersion, ShareTable),
    /// Reads the list of VMs.
    ListVms,
    /// Waits for objects of a kind that are newer than a version, or lists all
    /// of them if no version is given.
    Watch(ObjectKind, Option<ObjectVersion>),
    /// Reads the configuration.
    ReadContent,
    /// Reads the withdrawal record.
    ReadRecord,
    /// Updates the withdrawal record if its version matches.
    StoreRecord(ObjectVersion, WithdrawalRecord),
}

impl PlatformCall {
    /// Returns the event for a call that got no answer.
    pub(crate) fn no_answer(&self) -> ReducerEvent {
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

/// Object type whose watch answers can be converted to reducer events.
pub(crate) trait Watched: Stored {
    /// Converts a watch answer to an event.
    fn event(answer: WatchAnswer<Self>) -> ReducerEvent;
}

impl Watched for RosterTable {
    fn event(answer: WatchAnswer<Self>) -> ReducerEvent {
        RosterEvent::TablesWatched(answer).into()
    }
}

impl Watched for Box<str> {
    fn event(answer: WatchAnswer<Self>) -> ReducerEvent {
        ConfigurationEvent::ContentWatched(answer).into()
    }
}

impl Watched for WithdrawalRecord {
    fn event(answer: WatchAnswer<Self>) -> ReducerEvent {
        ConfigurationEvent::RecordWatched(answer).into()
    }
}

/// Converts a watch answer to an event.
pub(crate) fn watched<T: Watched>(answer: WatchAnswer<T>) -> ReducerEvent {
    T::event(answer)
}

/// Converts the answer to a table update to an event.
pub(crate) fn table_stored(nonce: UpdateNonce, reply: StoreReply<RosterTable>) -> ReducerEvent {
    RosterEvent::TableStored { nonce, reply }.into()
}

/// Input event of one of the two reducers.
#[derive(Debug, Clone)]
pub(crate) enum ReducerEvent {
    /// Event of the roster reducer.
    Roster(Box<RosterEvent>),
    /// Event of the configuration reducer.
    Configuration(Box<ConfigurationEvent>),
}

impl From<RosterEvent> for ReducerEvent {
    fn from(event: RosterEvent) -> Self {
        Self::Roster(Box::new(event))
    }
}

impl From<ConfigurationEvent> for ReducerEvent {
    fn from(event: ConfigurationEvent) -> Self {
        Self::Configuration(Box::new(event))
    }
}

/// Action that the simulated world performs for a process.
#[derive(Debug, Clone)]
pub(crate) enum ProcessOutput {
    /// Send a message to a VM.
    Send(VmId, PeerMessage),
    /// Send a message to an address.
    SendAddress(Box<str>, PeerMessage),
    /// Call the platform unless the deadline, on the clock of the process, has passed.
    Call(PlatformCall, LocalTime),
    /// Start using these parts instead of the earlier ones.
    Use(clementinepond_decide::roster::UsableParts),
    /// The graceful shutdown is complete; the VM may be removed.
    Released,
}

/// Local clock with an offset and a rate that differ from true time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SkewedClock {
    /// Reading at true time zero, in microseconds.
    pub(crate) offset: u64,
    /// Rate, in parts per million of true time.
    pub(crate) rate_ppm: u64,
}

impl SkewedClock {
    /// Returns the reading at a true time in microseconds.
    pub(crate) fn read(&self, now: u64) -> LocalTime {
        let scaled = u128::from(now) * u128::from(self.rate_ppm) / 1_000_000;
        let micros = u64::try_from(scaled).unwrap_or(u64::MAX);
        LocalTime::from_micros(self.offset + micros)
    }

    /// Returns the true time of a reading, in microseconds.
    ///
    /// `LocalTime::NEVER` gives `u64::MAX / 2`, so that later additions do not
    /// overflow.
    pub(crate) fn true_time(&self, local: LocalTime) -> u64 {
        if local == LocalTime::NEVER {
            return u64::MAX / 2;
        }
        let elapsed = u128::from(local.micros().saturating_sub(self.offset));
        let scaled = elapsed * 1_000_000 / u128::from(self.rate_ppm);
        u64::try_from(scaled).unwrap_or(u64::MAX / 2)
    }
}

/// VM process with its reducer states.
#[derive(Debug)]
pub(crate) struct VmProcess {
    /// Name of the VM.
    pub(crate) vm: VmId,
    /// Index of the data centre.
    pub(crate) data_centre: usize,
    /// Incarnation number.
    pub(crate) incarnation: u64,
    /// Local clock.
    pub(crate) clock: SkewedClock,
    /// True time until which the process is paused, in microseconds.
    pub(crate) paused_until: u64,
    /// State of the roster reducer.
    pub(crate) roster: RosterState,
    /// State of the configuration reducer.
    pub(crate) configuration: ConfigurationState,
    /// Number of times that an older configuration version was put in force.
    pub(crate) reverts: u64,
    in_force: ObjectVersion,
    key_text: Box<str>,
}

impl VmProcess {
    /// Creates a process that starts at true time `now`.
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

    /// Returns the VM and incarnation number.
    pub(crate) fn key(&self) -> (VmId, u64) {
        (self.vm.clone(), self.incarnation)
    }

    /// Returns whether the process accepts a key: the configuration contains it
    /// and it has not been withdrawn.
    pub(crate) fn accepts(&self, key: &KeyDigest) -> bool {
        !self.configuration.withdrawn().contains(key) && self.key_text.contains(&key.to_string())
    }

    /// Runs an event, and the events that follow from it, through the reducers.
    pub(crate) fn handle(&mut self, event: ReducerEvent, now: u64) -> Vec<ProcessOutput> {
        let local = self.clock.read(now);
        let mut outputs = Vec::new();
        let mut queue = VecDeque::from([event]);
        while let Some(event) = queue.pop_front() {
            match event {
                ReducerEvent::Roster(event) => {
                    let effects =
                        clementinepond_decide::roster::reduce(&mut self.roster, *event, local);
                    for effect in effects {
                        roster_effect(effect, &mut queue, &mut outputs);
                    }
                }
                ReducerEvent::Configuration(event) => {
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
        queue: &mut VecDeque<ReducerEvent>,
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
    queue: &mut VecDeque<ReducerEvent>,
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

/// Returns the incarnation with a number.
pub(crate) fn incarnation(number: u64) -> IncarnationId {
    IncarnationId::new(number)
}
