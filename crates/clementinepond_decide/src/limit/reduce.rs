//! Reducer of rate limits.

use super::admit;
use super::event::PartFraction;
use super::event::{AccountTable, LimitEvent, RosterView};
use super::message::LimitMessage;
use super::outbox::EffectOutbox;
use super::owner::MemberList;
use super::periodic;
use super::serve;
use super::settings::LimitMutation;
use super::state::{LimitState, StartWait};
use super::token_loan_exchange;
use super::{effect::LimitEffect, part_loan, poll};
use clementinepond_types::{AccountId, LocalTime, TimeSpan, TokenCount, VmId};

/// Handles one event at `now` on the local clock and returns its effects.
pub fn reduce(state: &mut LimitState, event: LimitEvent, now: LocalTime) -> Vec<LimitEffect> {
    let mut outbox = EffectOutbox::default();
    part_loan::expire(state, now);
    match event {
        LimitEvent::Request(request) => admit::request(state, request, now, &mut outbox),
        LimitEvent::Started { ticket } => admit::started(state, ticket),
        LimitEvent::Progress { ticket, generated } => admit::progress(state, ticket, generated),
        LimitEvent::Settle { ticket, used } => {
            admit::settle(state, ticket, used, now, &mut outbox);
        }
        LimitEvent::Cancel { ticket } => {
            admit::settle(state, ticket, TokenCount::ZERO, now, &mut outbox);
        }
        LimitEvent::Received { from, message } => {
            receive(state, &from, message, now, &mut outbox);
        }
        LimitEvent::PartsChanged(view) => change_parts(state, view, now, &mut outbox),
        LimitEvent::AccountsChanged(table) => change_accounts(state, table, now, &mut outbox),
        LimitEvent::Tick => periodic::tick(state, now, &mut outbox),
        LimitEvent::Release => release(state, now),
    }
    outbox.flush(state, now)
}

/// Stops lending. If no roster has arrived yet, also starts the wait for grants of an
/// earlier process of this VM to expire.
fn release(state: &mut LimitState, now: LocalTime) {
    state.releasing = true;
    if state.start_wait == StartWait::Unknown {
        let members = state.rights.members().map_or(1, MemberList::len);
        let wait = state.settings.longest_grant_lifetime(members);
        state.start_wait = StartWait::Until(now + wait);
    }
}

fn receive(
    state: &mut LimitState,
    from: &VmId,
    message: LimitMessage,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    state.peers.record_contact(from);
    if let Some(poll) = message.poll {
        part_loan::answer_poll(state, from, &poll, now, outbox);
    }
    if let Some(loan) = message.loan {
        part_loan::take_loan(state, from, loan, now, outbox);
    }
    for report in message.reports {
        token_loan_exchange::apply_report(state, from, report, now, outbox);
    }
    for grant in message.grants {
        token_loan_exchange::take_grant(state, from, &grant, now, outbox);
    }
}

fn change_parts(
    state: &mut LimitState,
    view: RosterView,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    if state.epoch.is_some_and(|epoch| view.epoch < epoch) {
        return;
    }
    state.epoch = Some(view.epoch);
    state.rights.fraction = PartFraction::new(view.share, view.parts);
    state.remote = view
        .remote
        .iter()
        .map(|centre| MemberList::new(&centre.members))
        .collect();
    let list = MemberList::new(&view.members);
    if state.start_wait == StartWait::Unknown {
        let mut wait = state.settings.longest_grant_lifetime(list.len());
        if state.settings.has(LimitMutation::SkipStartWait) {
            wait = TimeSpan::ZERO;
        }
        state.start_wait = StartWait::Until(now + wait);
    }
    let is_moved = state.rights.current != list.digest();
    state.rights.current = list.digest();
    state.rights.rosters.insert(list.digest(), list);
    if is_moved {
        part_loan::reassign_owners(state);
        poll::all(state, now, outbox);
    }
    state.resize_where(now, |_| true);
}

fn change_accounts(
    state: &mut LimitState,
    table: AccountTable,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    let is_older = |version| table.version <= version;
    if state.table_version.is_some_and(is_older)
        && !state.settings.has(LimitMutation::AcceptOlderTable)
    {
        return;
    }
    state.table_version = Some(table.version);
    for (id, account) in &mut state.accounts {
        account.advance(now, &state.settings);
        account.limit = table.limits.get(id).copied();
    }
    for (id, limit) in table.limits {
        let account = state.accounts.entry(id.clone()).or_insert_with(|| {
            let mut account = super::account::AccountState::new(&id, now);
            state.rights.assign_owners(&mut account);
            account
        });
        account.limit = Some(limit);
    }
    state.resize_where(now, |_| true);
    let waiting_accounts: Vec<AccountId> = state.waiting_accounts.iter().cloned().collect();
    for id in waiting_accounts {
        serve::serve(state, &id, now, outbox);
    }
}
