//! State of the limit reducer.

use super::account::AccountState;
use super::event::TicketId;
use super::message::{ChannelId, PollNumber};
use super::owner::MemberList;
use super::part_loan;
use super::peer::PeerTable;
use super::reservation::TicketState;
use super::settings::LimitSettings;
use super::slice::PartRights;
use clementinepond_types::{
    AccountId, Epoch, LocalTime, ObjectVersion, TimeSpan, TokenCount, TokenRate, VmId,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of latest polls whose send time is kept.
const MAX_TRACKED_POLLS: usize = 8;

/// Polls that this VM sends to one member for part loans.
#[derive(Debug, Default)]
pub(super) struct PollState {
    pub(super) next_at: LocalTime,
    counter: u32,
    sent: VecDeque<(u32, LocalTime)>,
}

impl PollState {
    /// Numbers the next poll and records its send time.
    pub(super) fn next_number(&mut self, incarnation: u32, now: LocalTime) -> PollNumber {
        self.counter = self.counter.saturating_add(1);
        if self.sent.len() == MAX_TRACKED_POLLS {
            self.sent.pop_front();
        }
        self.sent.push_back((self.counter, now));
        PollNumber {
            incarnation,
            counter: self.counter,
        }
    }

    /// Returns when a poll was sent; `None` when the time is no longer kept.
    pub(super) fn sent_at(&self, number: PollNumber) -> Option<LocalTime> {
        self.sent
            .iter()
            .find(|(counter, _)| *counter == number.counter)
            .map(|(_, sent)| *sent)
    }
}

/// Wait of a VM after its start, before it uses its slices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartWait {
    /// Not known yet, since no roster has arrived.
    Unknown,
    /// Lasts until grants of an earlier process of the same name have expired.
    Until(LocalTime),
    /// Has ended.
    Over,
}

/// Tokens and capacity of one account on this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountStatus {
    /// Tokens available.
    pub level: TokenCount,
    /// Refill rate of the slice.
    pub rate: TokenRate,
    /// Capacity of the slice plus borrowed minus lent capacity.
    pub capacity: TokenCount,
    /// Capacity held by running requests.
    pub held: TokenCount,
    /// Capacity borrowed in token loans.
    pub borrowed: TokenCount,
    /// Capacity lent in token loans.
    pub lent: TokenCount,
    /// Number of waiting requests, those of other VMs included.
    pub waiting: usize,
}

/// State of the limit reducer on one VM.
#[derive(Debug)]
pub struct LimitState {
    pub(super) settings: LimitSettings,
    pub(super) incarnation: u32,
    pub(super) epoch: Option<Epoch>,
    pub(super) table_version: Option<ObjectVersion>,
    pub(super) rights: PartRights,
    pub(super) start_wait: StartWait,
    /// Members of each other data centre.
    pub(super) remote: Vec<MemberList>,
    pub(super) accounts: BTreeMap<AccountId, AccountState>,
    pub(super) tickets: BTreeMap<TicketId, TicketState>,
    /// Accounts with waiting requests.
    pub(super) waiting_accounts: BTreeSet<AccountId>,
    /// Accounts with token loan channels.
    pub(super) channel_accounts: BTreeSet<AccountId>,
    pub(super) peers: PeerTable,
    pub(super) polls: BTreeMap<VmId, PollState>,
    /// Time at which token loans are returned or renewed next.
    pub(super) report_at: LocalTime,
    pub(super) releasing: bool,
    next_channel: u32,
}

impl LimitState {
    /// Creates the state of a VM that holds no parts.
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
            waiting_accounts: BTreeSet::new(),
            channel_accounts: BTreeSet::new(),
            peers: PeerTable::default(),
            polls: BTreeMap::new(),
            report_at: LocalTime::ORIGIN,
            releasing: false,
            next_channel: 0,
        }
    }

    /// Returns the status of an account on this VM at `now`.
    #[must_use]
    pub fn account_status(&mut self, account: &AccountId, now: LocalTime) -> Option<AccountStatus> {
        part_loan::expire(self, now);
        let account = self.accounts.get_mut(account)?;
        account.advance(now, &self.settings);
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

    /// Returns the owner of an account in this VM's data centre.
    #[must_use]
    pub fn owner(&self, account: &AccountId) -> Option<&VmId> {
        self.rights.owner(self.accounts.get(account)?)
    }

    /// Returns whether this VM may use its parts and knows the accounts'
    /// limits.
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

    /// Returns the lifetime of a token loan in this data centre.
    pub(super) fn token_loan_lifetime(&self) -> TimeSpan {
        let members = self.rights.members().map_or(1, MemberList::len);
        self.settings.token_loan_lifetime(members)
    }

    /// Returns the interval between polls in this data centre.
    pub(super) fn poll_interval(&self) -> TimeSpan {
        let members = self.rights.members().map_or(1, MemberList::len);
        self.settings.poll_interval(members)
    }

    /// Returns the deadline of a token loan of `amount`, or `None` when it
    /// cannot be granted.
    ///
    /// The borrower relies on all tokens granted in the channel until the channel's
    /// deadline, so the loans that back the token loan must last as long.
    pub(super) fn token_loan_deadline(
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
        let horizon = now + self.token_loan_lifetime();
        let assured = self
            .rights
            .assured_until(id, account, committed, horizon, settings);
        let needed = promised.max(now + settings.lot_span_floor);
        (assured >= needed).then(|| assured.min(now + self.token_loan_lifetime()))
    }

    /// Advances every account that `choose` selects to `now` and updates its
    /// slice.
    pub(super) fn resize_where(&mut self, now: LocalTime, choose: impl Fn(&AccountState) -> bool) {
        for (id, account) in &mut self.accounts {
            if choose(account) {
                account.advance(now, &self.settings);
                let size = self.rights.slice(id, account, &self.settings);
                account.bucket.set_slice(size.rate, size.capacity);
            }
        }
    }
}
