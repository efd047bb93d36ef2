//! Part loans: loans of a VM's slices to account owners, and their expiry.

use super::account::{AccountState, RequestRound};
use super::event::PartFraction;
use super::message::{KeptCapacity, LoanPoll, PartLoan};
use super::outbox::EffectOutbox;
use super::poll;
use super::settings::LimitMutation;
use super::slice::{BorrowedParts, LentParts};
use super::state::{LimitState, StartWait};
use clementinepond_types::{AccountId, LocalTime, TokenCount, VmId};
use std::collections::BTreeMap;

/// Largest number of member lists that one loan may name; a poll whose loan would
/// need more is not answered.
const MAX_ROSTERS_PER_LOAN: usize = 4;

/// Ends part loans past their deadline and the start wait when it is over.
///
/// Borrowed parts end in the order of their deadlines, so that each account is
/// refilled at the rate that applied until then.
pub(super) fn expire(state: &mut LimitState, now: LocalTime) {
    if !state.settings.has(LimitMutation::KeepExpiredPartLoans) {
        while let Some((lender, deadline)) = next_expiry(state, now) {
            let rights = &mut state.rights;
            if let Some(loan) = rights.borrowed.remove(&lender) {
                let vm = rights.vm.clone();
                state.resize_where(deadline, |account| loan.covers(&vm, account));
            }
        }
    }
    reclaim(state, now);
    if let StartWait::Until(time) = state.start_wait
        && time <= now
    {
        state.start_wait = StartWait::Over;
        state.rights.is_usable = true;
        state.resize_where(now, |_| true);
    }
}

fn next_expiry(state: &LimitState, now: LocalTime) -> Option<(VmId, LocalTime)> {
    state
        .rights
        .borrowed
        .iter()
        .filter(|(_, loan)| loan.deadline <= now)
        .min_by_key(|(_, loan)| loan.deadline)
        .map(|(lender, loan)| (lender.clone(), loan.deadline))
}

fn reclaim(state: &mut LimitState, now: LocalTime) {
    let is_expired = |loan: &LentParts| loan.deadline <= now;
    if !state.rights.lent.iter().any(is_expired) {
        return;
    }
    let over: Vec<LentParts> = state
        .rights
        .lent
        .extract_if(.., |loan| is_expired(loan))
        .collect();
    state.resize_where(now, |account| over.iter().any(|loan| loan.covers(account)));
}

/// Determines the owner of every account again after a change of members.
pub(super) fn reassign_owners(state: &mut LimitState) {
    state.rights.prune_rosters();
    for account in state.accounts.values_mut() {
        state.rights.assign_owners(account);
        account.round = RequestRound::default();
    }
    let members: Vec<VmId> = match state.rights.members() {
        Some(list) => list.iter().cloned().collect(),
        None => Vec::new(),
    };
    state.polls.retain(|vm, _| members.contains(vm));
    let remote = &state.remote;
    state.peers.retain(|vm| {
        members.contains(vm)
            || remote
                .iter()
                .any(|list| list.iter().any(|member| member == vm))
    });
    for member in members {
        if member != state.rights.vm {
            state.polls.entry(member).or_default();
        }
    }
}

/// Lends this VM's parts to an owner that polls for them.
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
    if rosters.len() > MAX_ROSTERS_PER_LOAN {
        return;
    }
    let members = state
        .rights
        .members()
        .map_or(1, super::owner::MemberList::len);
    let span = state.settings.part_loan_lifetime(members);
    let mut lent = LentParts {
        borrower: from.clone(),
        number: poll.number,
        rosters,
        kept: BTreeMap::new(),
        deadline: now + span,
    };
    lent.kept = committed_capacity(state, &lent, now);
    let loan = PartLoan {
        number: poll.number,
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
    record_loan(state, lent, now);
    outbox.lend_parts(from, loan);
    poll::piggyback(state, from, now, outbox);
}

fn is_stale(state: &LimitState, from: &VmId, poll: &LoanPoll) -> bool {
    state.rights.lent.iter().any(|loan| {
        loan.borrower == *from
            && loan.number.incarnation == poll.number.incarnation
            && loan.number.counter >= poll.number.counter
    })
}

/// Ends loans that are older than the one that the borrower confirms in the poll.
fn drop_superseded(state: &mut LimitState, from: &VmId, poll: &LoanPoll, now: LocalTime) {
    let Some(using) = poll.using else {
        return;
    };
    let is_superseded = |loan: &LentParts| {
        loan.borrower == *from
            && loan.number.incarnation == using.incarnation
            && loan.number.counter < using.counter
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

/// Returns the digests of the current member list and, for each loan to another
/// owner that names none of the lists chosen so far, of a list that it names.
fn choose_rosters(state: &LimitState, to: &VmId) -> Vec<u64> {
    let mut rosters = vec![state.rights.current];
    if state.settings.has(LimitMutation::IgnoreEarlierLoans) {
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

/// Returns the capacity that admitted requests hold and that token loans to others
/// need, by account that the loan covers.
fn committed_capacity(
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
        account.advance(now, &state.settings);
        let bucket = &account.bucket;
        let needed = (bucket.held() + bucket.lent()).min(bucket.slice());
        if needed > TokenCount::ZERO {
            kept.insert(id.clone(), needed);
        }
    }
    kept
}

fn record_loan(state: &mut LimitState, lent: LentParts, now: LocalTime) {
    let previous = state
        .rights
        .lent
        .iter_mut()
        .find(|loan| loan.borrower == lent.borrower && loan.rosters == lent.rosters);
    if let Some(previous) = previous
        && previous.kept == lent.kept
        && previous.number.incarnation == lent.number.incarnation
    {
        previous.number = lent.number;
        previous.deadline = previous.deadline.max(lent.deadline);
        return;
    }
    state.rights.lent.push(lent);
    let index = state.rights.lent.len() - 1;
    let borrower = state.rights.lent[index].borrower.clone();
    let rosters = state.rights.lent[index].rosters.clone();
    let coverage = LentParts {
        borrower,
        rosters,
        number: state.rights.lent[index].number,
        kept: BTreeMap::new(),
        deadline: now,
    };
    state.resize_where(now, |account| coverage.covers(account));
}

/// Starts to use a loan of another VM's parts.
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
        if current.number.counter >= loan.number.counter {
            return;
        }
        let is_same = current.rosters == loan.rosters
            && current.fraction == loan.fraction
            && current.kept == kept;
        if is_same {
            current.number = loan.number;
            current.deadline = deadline;
            return;
        }
    }
    let is_transitional = loan.rosters.len() > 1 || !kept.is_empty();
    let fresh = BorrowedParts {
        number: loan.number,
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
        poll::retry_soon(state, from, now);
    }
    let waiting_accounts: Vec<AccountId> = state.waiting_accounts.iter().cloned().collect();
    for id in waiting_accounts {
        super::serve::serve_at(state, &id, now, outbox);
    }
}

fn loan_deadline(
    state: &LimitState,
    from: &VmId,
    loan: &PartLoan,
    now: LocalTime,
) -> Option<LocalTime> {
    if loan.number.incarnation != state.incarnation {
        return None;
    }
    let sent = state.polls.get(from)?.sent_at(loan.number)?;
    let start = if state.settings.has(LimitMutation::CountFromReceipt) {
        now
    } else {
        sent
    };
    let deadline = start + state.settings.shorten(loan.time_left);
    (deadline > now).then_some(deadline)
}

/// Delays the confirmation of a loan that replaces another one until the token loans
/// of the accounts that it no longer covers have expired.
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
    let expiry = state
        .accounts
        .values()
        .filter(is_dropped)
        .flat_map(|account| account.lent.values().map(|channel| channel.deadline))
        .max();
    fresh.confirm_at = former.confirm_at.max(expiry.unwrap_or(now));
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
            .all(|roster| account.owners.get(roster) == Some(vm));
        is_new || former.is_some_and(|loan| loan.covers(vm, account))
    };
    state.resize_where(now, is_covered);
}
