//! What the limits remember.

use super::account::AccountState;
use super::event::TicketId;
use super::home::MemberList;
use super::loan;
use super::message::{ChannelId, LoanStep};
use super::peer::PeerTable;
use super::reservation::TicketState;
use super::settings::LimitSettings;
use super::slice::PartRights;
use clementinepond_types::{
    AccountId, Epoch, LocalTime, ObjectVersion, TimeSpan, TokenCount, TokenRate, VmId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Polls of which the time of sending is remembered.
const REMEMBERED_POLLS: usize = 8;

/// Polls for part loans.
#[derive(Debug, Default)]
pub(super) struct PollState {
    pub(super) next_at: LocalTime,
    counter: u32,
    sent: VecDeque<(u32, LocalTime)>,
}

impl PollState {
    /// Numbers the next poll and remembers when it was sent.
    pub(super) fn next_step(&mut self, incarnation: u32, now: LocalTime) -> LoanStep {
        self.counter = self.counter.saturating_add(1);
        if self.sent.len() == REMEMBERED_POLLS {
            self.sent.pop_front();
        }
        self.sent.push_back((self.counter, now));
        LoanStep {
            incarnation,
            counter: self.counter,
        }
    }

    /// Returns when a poll was sent.
    pub(super) fn sent_at(&self, step: LoanStep) -> Option<LocalTime> {
        self.sent
            .iter()
            .find(|(counter, _)| *counter == step.counter)
            .map(|(_, sent)| *sent)
    }
}

/// How long the slice of a started VM stays unused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartWait {
    /// No roster was seen yet.
    Unknown,
    /// Until grants of an earlier process of the same name have lapsed.
    Until(LocalTime),
    /// Over.
    Over,
}

/// What one account has on this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountStatus {
    /// Tokens at hand.
    pub level: TokenCount,
    /// Refill rate of the slice.
    pub rate: TokenRate,
    /// Capacity, borrowed included and lent excluded.
    pub capacity: TokenCount,
    /// Capacity held by running requests.
    pub held: TokenCount,
    /// Capacity borrowed in lots.
    pub borrowed: TokenCount,
    /// Capacity lent in lots.
    pub lent: TokenCount,
    /// Requests that wait.
    pub waiting: usize,
}

/// State of the limits on one VM.
#[derive(Debug)]
pub struct LimitState {
    pub(super) settings: LimitSettings,
    pub(super) incarnation: u32,
    pub(super) epoch: Option<Epoch>,
    pub(super) table_version: Option<ObjectVersion>,
    pub(super) rights: PartRights,
    pub(super) start_wait: StartWait,
    pub(super) remote: Vec<MemberList>,
    pub(super) accounts: BTreeMap<AccountId, AccountState>,
    pub(super) tickets: BTreeMap<TicketId, TicketState>,
    pub(super) busy: BTreeSet<AccountId>,
    pub(super) channels: BTreeSet<AccountId>,
    pub(super) peers: PeerTable,
    pub(super) polls: BTreeMap<VmId, PollState>,
    pub(super) report_at: LocalTime,
    pub(super) releasing: bool,
    next_channel: u32,
}

impl LimitState {
    /// Starts without rights.
    ///
    /// `incarnation` is a number that no earlier process of this VM had.
    #[must_use]
    pub fn new(settings: LimitSettings, vm: VmId, incarnation: u32) -> Self {
        Self {
            settings,
            incarnation,
            epoch: None,
            table_version: None,
            rights: PartRights::new(vm),
            start_wait: StartWait::Unknown,
            remote: Vec::new(),
            accounts: BTreeMap::new(),
            tickets: BTreeMap::new(),
            busy: BTreeSet::new(),
            channels: BTreeSet::new(),
            peers: PeerTable::default(),
            polls: BTreeMap::new(),
            report_at: LocalTime::ORIGIN,
            releasing: false,
            next_channel: 0,
        }
    }

    /// Returns what an account has on this VM at `now`.
    #[must_use]
    pub fn account_status(&mut self, account: &AccountId, now: LocalTime) -> Option<AccountStatus> {
        loan::lapse(self, now);
        let account = self.accounts.get_mut(account)?;
        account.settle(now, &self.settings);
        let bucket = &account.bucket;
        Some(AccountStatus {
            level: bucket.level(),
            rate: bucket.rate(),
            capacity: bucket.capacity(),
            held: bucket.held(),
            borrowed: bucket.borrowed(),
            lent: bucket.lent(),
            waiting: account.queue.len(),
        })
    }

    /// Returns the home of an account in this VM's data centre.
    #[must_use]
    pub fn home(&self, account: &AccountId) -> Option<&VmId> {
        self.rights.home(self.accounts.get(account)?)
    }

    /// Returns whether this VM may use and lend what it holds.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_started() && self.table_version.is_some()
    }

    pub(super) fn next_channel_id(&mut self) -> ChannelId {
        self.next_channel = self.next_channel.saturating_add(1);
        ChannelId {
            incarnation: self.incarnation,
            counter: self.next_channel,
        }
    }

    /// Returns whether this VM may use and lend its parts.
    pub(super) fn is_started(&self) -> bool {
        self.rights.is_usable
    }

    /// Returns the life of a lot.
    pub(super) fn lot_span(&self) -> TimeSpan {
        let members = self.rights.members().map_or(1, MemberList::len);
        self.settings.lot_span(members)
    }

    /// Returns the interval between polls.
    pub(super) fn poll_interval(&self) -> TimeSpan {
        let members = self.rights.members().map_or(1, MemberList::len);
        self.settings.poll_interval(members)
    }

    /// Returns how long a lot of `amount` would last, if it can be given.
    ///
    /// The borrower counts on the whole channel until the channel's deadline,
    /// so that the loans that back the lot have to last as long.
    pub(super) fn lot_deadline(
        &self,
        id: &AccountId,
        channel: &(VmId, ChannelId),
        amount: TokenCount,
        now: LocalTime,
    ) -> Option<LocalTime> {
        let account = self.accounts.get(id)?;
        let promised = account.lent.get(channel)?.deadline;
        let committed = account.bucket.lent() + account.bucket.held() + amount;
        let settings = &self.settings;
        let horizon = now + self.lot_span();
        let assured = self
            .rights
            .assured_until(id, account, committed, horizon, settings);
        let needed = promised.max(now + settings.lot_span_floor);
        (assured >= needed).then(|| assured.min(now + self.lot_span()))
    }

    /// Settles every account that `choose` picks and gives it its slice.
    pub(super) fn resize_where(&mut self, now: LocalTime, choose: impl Fn(&AccountState) -> bool) {
        for (id, account) in &mut self.accounts {
            if choose(account) {
                account.settle(now, &self.settings);
                let size = self.rights.slice(id, account, &self.settings);
                account.bucket.set_slice(size.rate, size.capacity);
            }
        }
    }
}
