//! Part loans: polls of a home, loans of a VM's slices, and their lapse.

use super::account::{AccountState, AskRound};
use super::event::PartFraction;
use super::message::{KeptCapacity, LoanPoll, LoanStep, PartLoan};
use super::outbox::EffectOutbox;
use super::settings::LimitMutation;
use super::slice::{BorrowedParts, LentParts};
use super::state::{LimitState, StartWait};
use clementinepond_types::{AccountId, LocalTime, TokenCount, VmId};
use std::collections::BTreeMap;

/// Most member lists that one loan may name.
const ROSTERS_LIMIT: usize = 4;

/// Drops loans whose deadline has passed, in the order of their deadlines.
pub(super) fn lapse(state: &mut LimitState, now: LocalTime) {
    if !state.settings.has(LimitMutation::KeepLapsedLoans) {
        while let Some((lender, deadline)) = next_lapse(state, now) {
            let rights = &mut state.rights;
            if let Some(loan) = rights.borrowed.remove(&lender) {
                let vm = rights.vm.clone();
                state.resize_where(deadline, |account| loan.covers(&vm, account));
            }
        }
    }
    resume(state, now);
    if let StartWait::Until(moment) = state.start_wait
        && moment <= now
    {
        state.start_wait = StartWait::Over;
        state.rights.is_usable = true;
        state.resize_where(now, |_| true);
    }
}

fn next_lapse(state: &LimitState, now: LocalTime) -> Option<(VmId, LocalTime)> {
    state
        .rights
        .borrowed
        .iter()
        .filter(|(_, loan)| loan.deadline <= now)
        .min_by_key(|(_, loan)| loan.deadline)
        .map(|(lender, loan)| (lender.clone(), loan.deadline))
}

fn resume(state: &mut LimitState, now: LocalTime) {
    let is_over = |loan: &LentParts| loan.deadline <= now;
    if !state.rights.lent.iter().any(is_over) {
        return;
    }
    let over: Vec<LentParts> = state
        .rights
        .lent
        .extract_if(.., |loan| is_over(loan))
        .collect();
    state.resize_where(now, |account| over.iter().any(|loan| loan.covers(account)));
}

/// Works every account's home out anew after a change of members.
pub(super) fn relocate(state: &mut LimitState) {
    state.rights.prune_rosters();
    for account in state.accounts.values_mut() {
        state.rights.locate(account);
        account.round = AskRound::default();
    }
    let members: Vec<VmId> = match state.rights.members() {
        Some(list) => list.iter().cloned().collect(),
        None => Vec::new(),
    };
    state.polls.retain(|vm, _| members.contains(vm));
    let remote = &state.remote;
    state
        .peers
        .retain(|vm| members.contains(vm) || remote.iter().any(|l| l.iter().any(|m| m == vm)));
    for member in members {
        if member != state.rights.vm {
            state.polls.entry(member).or_default();
        }
    }
}

/// Asks every other member for its parts.
pub(super) fn poll_all(state: &mut LimitState, now: LocalTime, outbox: &mut EffectOutbox) {
    let vms: Vec<VmId> = state.polls.keys().cloned().collect();
    for vm in vms {
        poll(state, &vm, now, outbox);
    }
}

/// Asks the members whose poll is due.
pub(super) fn poll_due(state: &mut LimitState, now: LocalTime, outbox: &mut EffectOutbox) {
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

/// Lends this VM's parts to a home that polls for them.
pub(super) fn answer_poll(
    state: &mut LimitState,
    from: &VmId,
    poll: &LoanPoll,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    drop_superseded(state, from, poll, now);
    let is_lending = state.is_started() && !state.releasing;
    if !is_lending || state.rights.fraction == PartFraction::ZERO || is_stale(state, from, poll) {
        return;
    }
    let rosters = choose_rosters(state, from);
    if rosters.len() > ROSTERS_LIMIT {
        return;
    }
    let members = state
        .rights
        .members()
        .map_or(1, super::home::MemberList::len);
    let span = state.settings.loan_span(members);
    let mut lent = LentParts {
        borrower: from.clone(),
        step: poll.step,
        rosters,
        kept: BTreeMap::new(),
        deadline: now + span,
    };
    lent.kept = keep_for_running(state, &lent, now);
    let loan = PartLoan {
        step: poll.step,
        rosters: lent.rosters.clone(),
        fraction: state.rights.fraction,
        kept: lent
            .kept
            .iter()
            .map(|(account, capacity)| KeptCapacity {
                account: account.clone(),
                capacity: *capacity,
            })
            .collect(),
        time_left: span,
    };
    record(state, lent, now);
    outbox.lend_parts(from, loan);
    poll_along(state, from, now, outbox);
}

/// Sends this VM's own poll along with a loan when it is due soon.
fn poll_along(state: &mut LimitState, vm: &VmId, now: LocalTime, outbox: &mut EffectOutbox) {
    let soon = now + state.poll_interval().fraction(1, 2);
    if state.polls.get(vm).is_some_and(|poll| poll.next_at <= soon) {
        poll(state, vm, now, outbox);
    }
}

fn is_stale(state: &LimitState, from: &VmId, poll: &LoanPoll) -> bool {
    state.rights.lent.iter().any(|loan| {
        loan.borrower == *from
            && loan.step.incarnation == poll.step.incarnation
            && loan.step.counter >= poll.step.counter
    })
}

/// Ends loans that the borrower has replaced by a later one.
fn drop_superseded(state: &mut LimitState, from: &VmId, poll: &LoanPoll, now: LocalTime) {
    let Some(using) = poll.using else {
        return;
    };
    let is_superseded = |loan: &LentParts| {
        loan.borrower == *from
            && loan.step.incarnation == using.incarnation
            && loan.step.counter < using.counter
    };
    let dropped: Vec<LentParts> = state
        .rights
        .lent
        .extract_if(.., |loan| is_superseded(loan))
        .collect();
    if !dropped.is_empty() {
        state.resize_where(now, |account| {
            dropped.iter().any(|loan| loan.covers(account))
        });
    }
}

/// Names a member list that each loan to another home names too.
fn choose_rosters(state: &LimitState, to: &VmId) -> Vec<u64> {
    let mut rosters = vec![state.rights.current];
    if state.settings.has(LimitMutation::ForgetEarlierRoster) {
        return rosters;
    }
    for loan in &state.rights.lent {
        let is_shared = loan.rosters.iter().any(|roster| rosters.contains(roster));
        if loan.borrower != *to && !is_shared {
            rosters.extend(loan.rosters.first());
        }
    }
    rosters
}

/// Returns the capacity that running requests still need, by account.
fn keep_for_running(
    state: &mut LimitState,
    lent: &LentParts,
    now: LocalTime,
) -> BTreeMap<AccountId, TokenCount> {
    let mut kept = BTreeMap::new();
    for (id, account) in &mut state.accounts {
        let bucket = &account.bucket;
        if bucket.held() + bucket.lent() == TokenCount::ZERO || !lent.covers(account) {
            continue;
        }
        account.settle(now, &state.settings);
        let bucket = &account.bucket;
        let needed = (bucket.held() + bucket.lent()).min(bucket.slice());
        if needed > TokenCount::ZERO {
            kept.insert(id.clone(), needed);
        }
    }
    kept
}

fn record(state: &mut LimitState, lent: LentParts, now: LocalTime) {
    let previous = state
        .rights
        .lent
        .iter_mut()
        .find(|loan| loan.borrower == lent.borrower && loan.rosters == lent.rosters);
    if let Some(previous) = previous
        && previous.kept == lent.kept
        && previous.step.incarnation == lent.step.incarnation
    {
        previous.step = lent.step;
        previous.deadline = previous.deadline.max(lent.deadline);
        return;
    }
    state.rights.lent.push(lent);
    let index = state.rights.lent.len() - 1;
    let borrower = state.rights.lent[index].borrower.clone();
    let rosters = state.rights.lent[index].rosters.clone();
    let probe = LentParts {
        borrower,
        rosters,
        step: state.rights.lent[index].step,
        kept: BTreeMap::new(),
        deadline: now,
    };
    state.resize_where(now, |account| probe.covers(account));
}

/// Takes a loan of another VM's parts into use.
pub(super) fn take_loan(
    state: &mut LimitState,
    from: &VmId,
    loan: PartLoan,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    let Some(deadline) = loan_deadline(state, from, &loan, now) else {
        return;
    };
    let kept: BTreeMap<AccountId, TokenCount> = loan
        .kept
        .into_iter()
        .map(|kept| (kept.account, kept.capacity))
        .collect();
    let rights = &mut state.rights;
    if let Some(current) = rights.borrowed.get_mut(from) {
        if current.step.counter >= loan.step.counter {
            return;
        }
        let is_same = current.rosters == loan.rosters
            && current.fraction == loan.fraction
            && current.kept == kept;
        if is_same {
            current.step = loan.step;
            current.deadline = deadline;
            return;
        }
    }
    let is_transitional = loan.rosters.len() > 1 || !kept.is_empty();
    let fresh = BorrowedParts {
        step: loan.step,
        rosters: loan.rosters,
        fraction: loan.fraction,
        kept,
        deadline,
        confirm_at: now,
    };
    let former = rights.borrowed.insert(from.clone(), fresh);
    let vm = rights.vm.clone();
    defer_confirmation(state, from, former.as_ref(), now);
    resize_covered(state, from, former.as_ref(), &vm, now);
    if is_transitional {
        hasten_poll(state, from, now);
    }
    let busy: Vec<AccountId> = state.busy.iter().cloned().collect();
    for id in busy {
        super::serve::serve_at(state, &id, now, outbox);
    }
}

fn loan_deadline(
    state: &LimitState,
    from: &VmId,
    loan: &PartLoan,
    now: LocalTime,
) -> Option<LocalTime> {
    if loan.step.incarnation != state.incarnation {
        return None;
    }
    let sent = state.polls.get(from)?.sent_at(loan.step)?;
    let start = if state.settings.has(LimitMutation::CountFromReceipt) {
        now
    } else {
        sent
    };
    let deadline = start + state.settings.shorten(loan.time_left);
    (deadline > now).then_some(deadline)
}

/// Delays the confirmation of a narrower loan until the lots that the wider
/// one backs have lapsed.
fn defer_confirmation(
    state: &mut LimitState,
    from: &VmId,
    former: Option<&BorrowedParts>,
    now: LocalTime,
) {
    let rights = &mut state.rights;
    let Some(former) = former else {
        return;
    };
    let Some(fresh) = rights.borrowed.get_mut(from) else {
        return;
    };
    let is_dropped = |account: &&AccountState| {
        former.covers(&rights.vm, account) && !fresh.covers(&rights.vm, account)
    };
    let lapse = state
        .accounts
        .values()
        .filter(is_dropped)
        .flat_map(|account| account.lent.values().map(|channel| channel.deadline))
        .max();
    fresh.confirm_at = former.confirm_at.max(lapse.unwrap_or(now));
}

fn resize_covered(
    state: &mut LimitState,
    from: &VmId,
    former: Option<&BorrowedParts>,
    vm: &VmId,
    now: LocalTime,
) {
    let rosters = match state.rights.borrowed.get(from) {
        Some(loan) => loan.rosters.clone(),
        None => return,
    };
    let is_covered = |account: &AccountState| {
        let is_new = rosters
            .iter()
            .all(|roster| account.homes.get(roster) == Some(vm));
        is_new || former.is_some_and(|loan| loan.covers(vm, account))
    };
    state.resize_where(now, is_covered);
}

/// Polls again soon, so that the lender can widen its loan.
fn hasten_poll(state: &mut LimitState, vm: &VmId, now: LocalTime) {
    let soon = now + state.settings.retry_interval;
    if let Some(poll) = state.polls.get_mut(vm) {
        poll.next_at = poll.next_at.min(soon);
    }
}
