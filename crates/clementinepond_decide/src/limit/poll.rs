//! Polls for part loans from the other members.

use super::message::{LoanPoll, PollNumber};
use super::outbox::EffectOutbox;
use super::settings::LimitMutation;
use super::state::LimitState;
use clementinepond_types::{LocalTime, VmId};

/// Polls every other member for its parts.
pub(super) fn all(state: &mut LimitState, now: LocalTime, outbox: &mut EffectOutbox) {
    let vms: Vec<VmId> = state.polls.keys().cloned().collect();
    for vm in vms {
        poll(state, &vm, now, outbox);
    }
}

/// Polls the members whose next poll is due.
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
        number: poll.next_number(state.incarnation, now),
        using: confirmed_number(state, vm, now),
    };
    outbox.poll(vm, poll);
}

/// Returns the poll whose loan is in use, once no token loan depends on an earlier
/// one.
fn confirmed_number(state: &LimitState, vm: &VmId, now: LocalTime) -> Option<PollNumber> {
    let loan = state.rights.borrowed.get(vm)?;
    let is_confirmed = loan.confirm_at <= now || state.settings.has(LimitMutation::ConfirmEarly);
    is_confirmed.then_some(loan.number)
}

/// Sends this VM's own poll in the message with a loan when it is due within
/// half a poll interval.
pub(super) fn piggyback(
    state: &mut LimitState,
    vm: &VmId,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    let soon = now + state.poll_interval().fraction(1, 2);
    if state.polls.get(vm).is_some_and(|poll| poll.next_at <= soon) {
        poll(state, vm, now, outbox);
    }
}

/// Schedules the next poll after the retry interval, so that the lender can soon make
/// a loan that covers more accounts or capacity.
pub(super) fn retry_soon(state: &mut LimitState, vm: &VmId, now: LocalTime) {
    let soon = now + state.settings.retry_interval;
    if let Some(poll) = state.polls.get_mut(vm) {
        poll.next_at = poll.next_at.min(soon);
    }
}
