//! Starts, stops, pauses and isolates VMs of the simulated world.

use super::{SECOND, World, WorldEvent, address, centre_name};
use crate::experiment::roster::process::{SkewedClock, VmProcess, incarnation};
use clementinepond_decide::roster::{OwnIdentity, RosterEvent};
use clementinepond_types::{DataCentreId, PartCount, VmId};

impl World {
    /// Starts a VM with a new name in a slot; the VM list shows it after a delay.
    pub(crate) fn start_new(&mut self, slot: usize) {
        let name = format!("vm-{slot}-{}", self.incarnations + 1);
        if let Ok(vm) = name.parse::<VmId>() {
            let lag = self.random_below(self.plan.roster.list_lag.micros());
            self.listed.insert(vm.clone(), (self.now + lag, u64::MAX));
            self.start(slot, vm);
        }
    }

    /// Starts a process of a named VM in a slot.
    pub(crate) fn start(&mut self, slot: usize, vm: VmId) {
        let data_centre = self.data_centre(slot);
        let Ok(centre) = centre_name(data_centre).parse::<DataCentreId>() else {
            return;
        };
        self.incarnations += 1;
        let number = self.incarnations;
        let mut settings = self.plan.roster.clone();
        settings.seeds = self.seeds(data_centre);
        let clock = SkewedClock {
            offset: self.random_below(1_000 * SECOND),
            rate_ppm: 999_500 + self.random_below(1_000),
        };
        let own = OwnIdentity {
            vm: vm.clone(),
            data_centre: centre,
            address: address(slot).into(),
            incarnation: incarnation(number),
        };
        let parts = (settings, self.plan.configuration.clone());
        let process = VmProcess::new(own, data_centre, clock, parts, self.now);
        self.names.insert(vm, slot);
        if let Some(place) = self.processes.get_mut(slot) {
            *place = Some(process);
        }
        let target = self.targets.get(data_centre).copied().unwrap_or(0);
        let event = RosterEvent::ShareTarget(PartCount::new(target));
        self.handle_event(slot, event.into());
        let first = self.now + self.random_below(self.plan.tick);
        self.schedule(first, WorldEvent::Tick(slot, number));
    }

    fn seeds(&self, data_centre: usize) -> Vec<Box<str>> {
        let centres = self.plan.data_centres;
        [
            data_centre,
            data_centre + centres,
            (data_centre + 1) % centres,
        ]
        .into_iter()
        .map(|slot| address(slot).into())
        .collect()
    }

    /// Ends a process abruptly, and returns its VM.
    pub(crate) fn kill(&mut self, slot: usize) -> Option<VmId> {
        let process = self.processes.get_mut(slot)?.take()?;
        self.leaving.remove(&slot);
        self.names.remove(&process.vm);
        self.ledger.record_end(&process.key(), self.now);
        let ended = (process.data_centre, self.now);
        self.ended.insert(process.key(), ended);
        Some(process.vm)
    }

    /// Ends a VM abruptly; the VM list shows it for a while longer.
    pub(crate) fn remove(&mut self, slot: usize) {
        if let Some(vm) = self.kill(slot) {
            let lag = self.random_below(self.plan.roster.list_lag.micros());
            self.unlist(&vm, self.now + lag, u64::MAX);
        }
    }

    /// Hides a VM from the list.
    ///
    /// With `until` at `u64::MAX`, the list omits it from `from` on. Otherwise
    /// the list omits it at once and shows it again from `until` on.
    pub(super) fn unlist(&mut self, vm: &VmId, from: u64, until: u64) {
        if let Some(span) = self.listed.get_mut(vm) {
            *span = if until == u64::MAX {
                (span.0, from)
            } else {
                (until, u64::MAX)
            };
        }
    }

    /// Ends a process abruptly and starts another one of the same VM.
    pub(crate) fn restart(&mut self, slot: usize) {
        if let Some(vm) = self.kill(slot) {
            self.start(slot, vm);
        }
    }

    /// Pauses a process; the list omits its VM until some time after the pause.
    pub(crate) fn pause(&mut self, slot: usize, span: u64) {
        let until = self.now + span;
        let Some(process) = self.processes.get_mut(slot).and_then(Option::as_mut) else {
            return;
        };
        process.paused_until = until;
        let vm = process.vm.clone();
        let lag = self.random_below(self.plan.roster.list_lag.micros());
        self.unlist(&vm, self.now, until + lag);
    }

    /// Cuts a VM off from the platform and all peers while it keeps running; the
    /// list omits it for the given duration.
    pub(crate) fn isolate(&mut self, slot: usize, span: u64) {
        let Some(process) = self.processes.get(slot).and_then(Option::as_ref) else {
            return;
        };
        let vm = process.vm.clone();
        self.isolated.insert(slot);
        self.unlist(&vm, self.now, self.now + span);
    }

    /// Starts a graceful shutdown.
    pub(crate) fn shut_down(&mut self, slot: usize) {
        if self.processes.get(slot).is_some_and(Option::is_some) {
            self.leaving.insert(slot, self.now);
            self.handle_event(slot, RosterEvent::ShutdownStarted.into());
        }
    }

    /// Sets the fleet shares of the data centres, and sends them to some slots.
    pub(crate) fn set_targets(&mut self, targets: Vec<u32>, slots: &[usize]) {
        self.targets = targets;
        for &slot in slots {
            let target = self.targets.get(self.data_centre(slot)).copied();
            let event = RosterEvent::ShareTarget(PartCount::new(target.unwrap_or(0)));
            self.handle_event(slot, event.into());
        }
    }
}
