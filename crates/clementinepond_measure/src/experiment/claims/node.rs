//! Simulated VM: claim logic, local clock and process state.

use super::baseline::BaselineClaims;
use clementinepond_decide::claim::{
    ClaimEffect, ClaimEvent, ClaimSettings, ClaimState, VmIncarnation, reduce,
};
use clementinepond_types::{DataCentreId, LocalTime, VmId};

/// Clock rate equal to virtual time; the clock of VM n runs n units faster.
const CLOCK_RATE_UNIT: u64 = 100_000;

/// Claim state of one VM under the policy being simulated.
#[derive(Debug)]
pub(super) enum NodeClaims {
    Current(Box<ClaimState>),
    Baseline(BaselineClaims),
}

/// Simulated VM with its own clock.
#[derive(Debug)]
pub(super) struct FakeNode {
    pub(super) vm: VmId,
    pub(super) data_centre: DataCentreId,
    pub(super) claims: NodeClaims,
    pub(super) incarnation: u64,
    /// Virtual time until which the VM processes no events, in microseconds.
    pub(super) paused_until: u64,
    pub(super) is_up: bool,
    clock_offset: u64,
    clock_rate: u64,
}

impl FakeNode {
    pub(super) fn new(
        vm: VmId,
        data_centre: DataCentreId,
        settings: &ClaimSettings,
        is_baseline: bool,
        number: u64,
    ) -> Self {
        let incarnation = number;
        let claims = start(&vm, &data_centre, settings, is_baseline, incarnation);
        Self {
            vm,
            data_centre,
            claims,
            incarnation,
            paused_until: 0,
            is_up: true,
            clock_offset: 7_000_000 * number + 1,
            clock_rate: CLOCK_RATE_UNIT + number,
        }
    }

    /// Starts a new process with empty state.
    pub(super) fn restart(&mut self, settings: &ClaimSettings, incarnation: u64) {
        let is_baseline = matches!(self.claims, NodeClaims::Baseline(_));
        self.incarnation = incarnation;
        self.claims = start(
            &self.vm,
            &self.data_centre,
            settings,
            is_baseline,
            incarnation,
        );
        self.is_up = true;
        self.paused_until = 0;
    }

    /// Returns the VM's local time at virtual time `at`.
    pub(super) fn clock(&self, at: u64) -> LocalTime {
        LocalTime::from_micros(
            self.clock_offset + at / CLOCK_RATE_UNIT * self.clock_rate + at % CLOCK_RATE_UNIT,
        )
    }

    pub(super) fn apply(&mut self, event: ClaimEvent, at: u64) -> Vec<ClaimEffect> {
        let now = self.clock(at);
        match &mut self.claims {
            NodeClaims::Current(state) => reduce(state, event, now),
            NodeClaims::Baseline(claims) => claims.apply(event, now),
        }
    }
}

fn start(
    vm: &VmId,
    data_centre: &DataCentreId,
    settings: &ClaimSettings,
    is_baseline: bool,
    incarnation: u64,
) -> NodeClaims {
    if is_baseline {
        return NodeClaims::Baseline(BaselineClaims::new(vm.clone(), incarnation));
    }
    NodeClaims::Current(Box::new(ClaimState::new(
        settings.clone(),
        vm.clone(),
        data_centre.clone(),
        VmIncarnation::new(incarnation),
    )))
}
