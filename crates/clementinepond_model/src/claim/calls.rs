//! Steps of calls that wait for their grants.

use super::mutation::ClaimMutation;
use super::state::ClaimState;
use super::step::{ClaimModel, ClaimStep, NextStates};

impl ClaimModel {
    pub(super) fn call_steps(&self, state: &ClaimState, next: &mut NextStates) {
        for number in 0..self.bounds.calls {
            let index = usize::from(number);
            let call = state.calls[index];
            if call.runs > 0 {
                continue;
            }
            let late = self.mutation == ClaimMutation::GrantClosedTicket;
            if call.granted && (!call.closed || late) {
                let mut after = state.clone();
                after.calls[index].runs = 1;
                next.push((ClaimStep::Run(number), after));
            }
            if !call.closed {
                let mut after = state.clone();
                after.calls[index].closed = true;
                next.push((ClaimStep::Close(number), after));
            }
        }
    }
}
