//! Audit of every VM's rights at one moment.
//!
//! Rights in messages on their way are not seen, so that an audit never
//! finds more than there is.

use super::fleet::{FleetEvent, FleetSimulation};
use super::ledger::limit_at;
use super::policy::VmPolicy;

/// One million, the whole of a clock's drift.
const MILLION: i128 = 1_000_000;

impl FleetSimulation {
    /// Adds the rights of all VMs up and compares them with the limits.
    pub(super) fn audit(&mut self) {
        for account in 0..self.account_ids.len() {
            let (rate, capacity) = self.total_rights(account);
            let (most_rate, most_burst) =
                limit_at(&self.limits[account], self.now, self.plan.settle_time);
            let is_over = rate > i128::from(most_rate) * MILLION || capacity > most_burst;
            self.outcome.audit_breaches += u64::from(is_over);
        }
        let at = self.now + self.plan.audit_interval;
        self.push(at, FleetEvent::Audit);
    }

    /// Returns the sum of all refill rates, in true time, and capacities.
    fn total_rights(&mut self, account: usize) -> (i128, u64) {
        let id = &self.account_ids[account];
        let mut rate = 0;
        let mut capacity = 0;
        for vm in self.vms.iter_mut().filter(|vm| !vm.is_stopped) {
            let local = vm.local_time(self.now);
            let pace = MILLION + i128::from(vm.clock_ppm);
            let VmPolicy::Current(state) = &mut vm.policy else {
                continue;
            };
            if let Some(status) = state.account_status(id, local) {
                rate += i128::from(status.rate.micro()) * pace;
                capacity += status.capacity.micro();
            }
        }
        (rate, capacity)
    }
}
