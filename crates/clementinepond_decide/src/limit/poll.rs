//! Polls of a home for the parts of the other members.

use super::message::{LoanPoll, LoanStep};
use super::outbox::EffectOutbox;
use super::settings::LimitMutation;
use super::state::LimitState;
use clementinepond_types::{LocalTime, VmId};

/// Asks every other member for its parts.
pub(super) fn all(state: &mut LimitState, now: LocalTime, outbox: &mut EffectOutbox) {
    let vms: Vec<VmId> = state.polls.keys().cloned().collect();
    for vm in vms {
        poll(state, &vm, now, outbox);
    }
}

/// Asks the members whose poll is due.
pub(super) fn due(state: &mut LimitState, now: LocalTime, outbox: &mut EffectOutbox) {
    let due: Vec<VmId> = state
        .polls
        .iter()
        .filter(|(_, poll)| poll.next_at <= now)
        .map(|(vm, _)| vm.clone())
        .collect();
    for vm in due {
        poll(state, &vm, now, outbox);
    }
}

fn poll(state: &mut LimitState, vm: &VmId, now: LocalTime, outbox: &mut EffectOutbox) {
    if state.releasing || !state.is_started() {
        return;
    }
    let interval = state.poll_interval();
    let Some(poll) = state.polls.get_mut(vm) else {
        return;
    };
    poll.next_at = now + interval;
    let poll = LoanPoll {
        step: poll.next_step(state.incarnation, now),
        using: confirmed_step(state, vm, now),
    };
    outbox.poll(vm, poll);
}

/// Returns the loan in use, once nothing depends on an earlier one.
fn confirmed_step(state: &LimitState, vm: &VmId, now: LocalTime) -> Option<LoanStep> {
    let loan = state.rights.borrowed.get(vm)?;
    let is_confirmed = loan.confirm_at <= now || state.settings.has(LimitMutation::ConfirmEarly);
    is_confirmed.then_some(loan.step)
}

/// Sends this VM's own poll along with a loan when it is due soon.
pub(super) fn along(state: &mut LimitState, vm: &VmId, now: LocalTime, outbox: &mut EffectOutbox) {
    let soon = now + state.poll_interval().fraction(1, 2);
    if state.polls.get(vm).is_some_and(|poll| poll.next_at <= soon) {
        poll(state, vm, now, outbox);
    }
}

/// Polls again soon, so that the lender can widen its loan.
pub(super) fn hasten(state: &mut LimitState, vm: &VmId, now: LocalTime) {
    let soon = now + state.settings.retry_interval;
    if let Some(poll) = state.polls.get_mut(vm) {
        poll.next_at = poll.next_at.min(soon);
    }
}
