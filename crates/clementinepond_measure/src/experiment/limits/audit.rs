//! Audit of the limits held by all VMs at one time.
//!
//! Tokens and loans in undelivered messages aren't counted, so an audit may miss
//! a breach but never reports one that doesn't exist.

use super::fleet::{FleetEvent, FleetSimulation};
use super::ledger::limit_at;
use super::policy::VmPolicy;

/// Denominator of clock drift, which is given in parts per million.
const MILLION: i128 = 1_000_000;

impl FleetSimulation {
    /// Compares the rates and capacities of all VMs with each account's limit.
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

    /// Returns the sums of all refill rates and of all capacities.
    ///
    /// The rate is corrected for clock drift and in millionths of a micro-token
    /// per second; the capacity is in micro-tokens.
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
