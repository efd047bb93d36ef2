//! Handles the calls that arrive at the simulated platform.

use super::platform::ObjectKind;
use super::process::{PlatformCall, ReducerEvent, table_stored, watched};
use super::world::{World, centre_name};
use clementinepond_decide::configuration::{ConfigurationEvent, WithdrawalRecord};
use clementinepond_decide::port::StoreReply;
use clementinepond_decide::roster::{ListedVm, RosterEvent, RosterTable, ShareTable, VmPresence};
use clementinepond_types::{ObjectVersion, VmId};

/// Object name of each kind that has a single object for the fleet.
const FLEET: &str = "fleet";

impl World {
    /// Handles a call that arrived at the platform.
    pub(super) fn handle_call(&mut self, slot: usize, number: u64, call: PlatformCall) {
        self.platform.calls += 1;
        if !self.reaches_platform(slot) {
            let event = call.no_answer();
            self.answer(slot, number, &call, event);
            return;
        }
        if let PlatformCall::Watch(kind, Some(from)) = call
            && !self.platform.is_changed(kind, from)
        {
            self.wait(slot, number, call);
            return;
        }
        let event = self.carry_out_call(&call);
        self.answer(slot, number, &call, event);
    }

    fn carry_out_call(&mut self, call: &PlatformCall) -> ReducerEvent {
        match call.clone() {
            PlatformCall::ReadTable(name) => {
                RosterEvent::TableRead(self.platform.read(&name)).into()
            }
            PlatformCall::StoreTable(version, table) => self.store_table(version, *table),
            PlatformCall::ReadShares => RosterEvent::SharesRead(self.platform.read(FLEET)).into(),
            PlatformCall::StoreShares(version, table) => {
                let reply = self.platform.store::<ShareTable>(FLEET, version, table);
                RosterEvent::SharesStored(reply).into()
            }
            PlatformCall::ListVms => RosterEvent::VmsListed(Some(self.listed_vms())).into(),
            PlatformCall::Watch(kind, from) => self.watch_event(kind, from),
            PlatformCall::ReadContent => {
                ConfigurationEvent::ContentRead(self.platform.read(FLEET)).into()
            }
            PlatformCall::ReadRecord => {
                ConfigurationEvent::RecordRead(self.platform.read(FLEET)).into()
            }
            PlatformCall::StoreRecord(version, record) => {
                let reply = self.platform.store(FLEET, version, record);
                self.end_watches(ObjectKind::Withdrawals);
                ConfigurationEvent::RecordStored(reply).into()
            }
        }
    }

    fn store_table(&mut self, version: ObjectVersion, table: RosterTable) -> ReducerEvent {
        let name = table.data_centre.clone();
        let nonce = table.nonce;
        let reply = self.platform.store(name.as_str(), version, table);
        if let StoreReply::Stored { .. } = reply {
            self.record_table(name.as_str());
            self.end_watches(ObjectKind::Roster);
        }
        table_stored(nonce, reply)
    }

    fn record_table(&mut self, name: &str) {
        let Some(object) = self.platform.get::<RosterTable>(name) else {
            return;
        };
        let table = object.value;
        let centre = (0..self.targets.len()).find(|&centre| centre_name(centre) == name);
        let centre = centre.unwrap_or(0);
        self.ledger.check_table(centre, &table, self.now);
        let now = self.now;
        let times = &mut self.recover_times;
        self.ended.retain(|(vm, number), (data_centre, at)| {
            let is_listed = table
                .members
                .get(vm)
                .is_some_and(|member| member.incarnation.get() == *number);
            let is_kept = *data_centre != centre || is_listed;
            if !is_kept {
                times.push(now - *at);
            }
            is_kept
        });
    }

    fn listed_vms(&self) -> Vec<ListedVm> {
        let is_listed = |span: &(u64, u64)| span.0 <= self.now && self.now < span.1;
        self.listed
            .iter()
            .filter(|(_, span)| is_listed(span))
            .map(|(vm, _): (&VmId, _)| ListedVm {
                vm: vm.clone(),
                state: VmPresence::Live,
            })
            .collect()
    }

    fn watch_event(&self, kind: ObjectKind, from: Option<ObjectVersion>) -> ReducerEvent {
        match kind {
            ObjectKind::Configuration => watched::<Box<str>>(self.platform.changes(from)),
            ObjectKind::Withdrawals => watched::<WithdrawalRecord>(self.platform.changes(from)),
            ObjectKind::Roster | ObjectKind::Shares => {
                watched::<RosterTable>(self.platform.changes(from))
            }
        }
    }

    /// Answers a pending watch and removes it.
    pub(super) fn end_watch(&mut self, number: u64) {
        let Some(watch) = self.watches.remove(&number) else {
            return;
        };
        let event = self.carry_out_call(&watch.call);
        self.answer(watch.slot, watch.incarnation, &watch.call, event);
    }

    fn end_watches(&mut self, kind: ObjectKind) {
        let ended: Vec<u64> = self
            .watches
            .iter()
            .filter(
                |(_, watch)| matches!(&watch.call, PlatformCall::Watch(found, _) if *found == kind),
            )
            .map(|(&number, _)| number)
            .collect();
        for number in ended {
            self.end_watch(number);
        }
    }

    /// Starts or ends an outage of the platform.
    pub(crate) fn set_outage(&mut self, is_unavailable: bool) {
        self.outage = is_unavailable;
        if is_unavailable {
            self.drop_watches();
        }
    }

    /// Cuts a data centre off from the platform, or reconnects it.
    pub(crate) fn set_platform_cut(&mut self, data_centre: usize, is_cut: bool) {
        if is_cut {
            self.cut_from_platform.insert(data_centre);
            self.drop_watches();
        } else {
            self.cut_from_platform.remove(&data_centre);
        }
    }

    /// Ends the pending watches of VMs that can no longer reach the platform.
    fn drop_watches(&mut self) {
        let numbers: Vec<u64> = self
            .watches
            .iter()
            .filter(|(_, watch)| !self.reaches_platform(watch.slot))
            .map(|(&number, _)| number)
            .collect();
        for number in numbers {
            self.end_watch(number);
        }
    }

    /// Writes a new configuration, as the administration API does.
    pub(crate) fn write_configuration(&mut self, text: &str) -> ObjectVersion {
        let found = self.platform.get::<Box<str>>(FLEET);
        let version = found.map_or_else(ObjectVersion::default, |object| object.version);
        self.platform.store::<Box<str>>(FLEET, version, text.into());
        self.end_watches(ObjectKind::Configuration);
        ObjectVersion::new(self.platform.version())
    }
}
