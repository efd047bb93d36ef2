//! Injection of faults into a simulated fleet.

use super::fleet::{FleetEvent, FleetSimulation};
use super::ledger::LimitChange;
use super::plan::FaultKind;
use super::policy::VmPolicy;
use clementinepond_decide::limit::{AccountLimit, LimitEvent};

/// Delay until a restarted VM receives its roster and account table.
const RESTART_UPDATE_DELAY_US: u64 = 200_000;
/// Time between a VM's removal from the roster and the release of its parts.
const RELEASE_DELAY_US: u64 = 1_000_000;
/// Addition to the longest grant lifetime before the parts of a crashed VM move.
const HOLD_OFF_MARGIN_US: u64 = 2_000_000;

impl FleetSimulation {
    pub(super) fn inject_fault(&mut self, kind: FaultKind) {
        match kind {
            FaultKind::Pause { vm, duration } => {
                let host = &mut self.vms[vm];
                if host.paused_until <= self.now {
                    host.paused_until = self.now + duration;
                }
            }
            FaultKind::Isolate { vm, duration } => {
                let host = &mut self.vms[vm];
                host.isolated_until = host.isolated_until.max(self.now + duration);
            }
            FaultKind::Restart { vm } => self.restart(vm),
            FaultKind::Crash { vm } => self.crash(vm),
            FaultKind::Leave { vm } => self.leave(vm),
            FaultKind::CutCentre { centre, duration } => self.cut(centre, duration),
            FaultKind::ChangeLimit { account, scale } => self.change_limit(account, scale),
        }
    }

    fn restart(&mut self, vm: usize) {
        if self.vms[vm].is_stopped || self.vms[vm].is_leaving {
            return;
        }
        let host = &mut self.vms[vm];
        host.incarnation += 1;
        host.paused_until = 0;
        let (kind, incarnation) = (self.plan.policy, host.incarnation);
        host.policy = VmPolicy::new(kind, &self.plan.settings, host.name.clone(), incarnation);
        let view = self.roster.view(vm, self.vms[vm].centre);
        let table = self.table();
        let at = self.now + RESTART_UPDATE_DELAY_US;
        let events = [
            LimitEvent::AccountsChanged(table),
            LimitEvent::PartsChanged(view),
        ];
        for event in events {
            self.push(
                at,
                FleetEvent::Vm {
                    vm,
                    incarnation,
                    event,
                },
            );
        }
        self.push(at, FleetEvent::Tick { vm, incarnation });
    }

    fn crash(&mut self, vm: usize) {
        if self.vms[vm].is_stopped || self.vms[vm].is_leaving {
            return;
        }
        self.vms[vm].is_stopped = true;
        let members = self.plan.centres[self.vms[vm].centre];
        let hold_off =
            self.plan.settings.longest_grant_lifetime(members).micros() + HOLD_OFF_MARGIN_US;
        self.push(self.now + hold_off, FleetEvent::MoveParts { vm });
    }

    fn leave(&mut self, vm: usize) {
        if self.vms[vm].is_stopped || self.vms[vm].is_leaving {
            return;
        }
        self.vms[vm].is_leaving = true;
        self.roster.remove_member(vm);
        self.send_roster(false);
        let incarnation = self.vms[vm].incarnation;
        let at = self.now + RELEASE_DELAY_US;
        let event = LimitEvent::Release;
        self.push(
            at,
            FleetEvent::Vm {
                vm,
                incarnation,
                event,
            },
        );
    }

    pub(super) fn move_parts(&mut self, vm: usize) {
        self.vms[vm].is_stopped = true;
        self.roster.remove_member(vm);
        self.roster.move_parts(vm);
        self.send_roster(false);
    }

    fn cut(&mut self, centre: usize, duration: u64) {
        let ends = self.now + duration;
        self.cut_until[centre] = self.cut_until[centre].max(ends);
        let share = self.roster.share(centre);
        for sides in &mut self.ideal {
            if let [whole] = sides.as_mut_slice() {
                let other = whole.split(share, 1_024, self.now);
                sides.push(other);
            }
        }
        self.push(ends, FleetEvent::Heal { centre });
    }

    pub(super) fn heal(&mut self, centre: usize) {
        if self.cut_until[centre] > self.now {
            return;
        }
        for (sides, changes) in self.ideal.iter_mut().zip(&self.limits) {
            let other = if sides.len() > 1 { sides.pop() } else { None };
            if let (Some(other), Some(whole), Some(change)) =
                (other, sides.first_mut(), changes.last())
            {
                whole.join(other, change.limit, self.now);
            }
        }
    }

    fn change_limit(&mut self, account: usize, scale: u64) {
        let planned = self.plan.accounts[account].limit;
        let limit = AccountLimit {
            rate: planned.rate.fraction(scale, 1_000),
            burst: planned.burst.fraction(scale, 1_000),
        };
        self.limits[account].push(LimitChange {
            at: self.now,
            limit,
        });
        for side in &mut self.ideal[account] {
            side.set_limit(limit, self.now);
        }
        self.shadow[account].set_limit(limit, self.now);
        self.send_table(false);
    }
}
