//! State of one account on this VM.

use super::bucket::TokenBucket;
use super::event::{AccountLimit, TicketId};
use super::message::{ChannelId, LevelHint};
use super::owner::hash_account;
use super::settings::{LimitMutation, LimitSettings};
use super::token_loan::{BorrowedChannel, LentChannel};
use clementinepond_types::{AccountId, LocalTime, PriorityClass, TokenCount, VmId};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Position in the queue: higher priority first, then order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    pub(super) priority: Reverse<PriorityClass>,
    pub(super) number: u64,
}

/// Origin of a queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Claimant {
    /// A request on this VM.
    Local(TicketId),
    /// A request on another VM.
    Remote {
        /// VM of the request.
        vm: VmId,
        /// Channel in which the tokens are lent.
        channel: ChannelId,
        /// Ticket of the request on that VM.
        ticket: TicketId,
    },
}

/// Queued request.
#[derive(Debug)]
pub(super) struct QueueEntry {
    pub(super) claimant: Claimant,
    pub(super) cost: TokenCount,
    pub(super) deadline: LocalTime,
}

/// Request for tokens to another owner, with its answer, in the current round.
#[derive(Debug)]
pub(super) struct PeerAnswer {
    /// Time of the last request to the owner.
    pub(super) requested_at: LocalTime,
    /// Tokens that the owner reported as left; `None` while the request is
    /// unanswered or after a new round started.
    pub(super) hint: Option<LevelHint>,
}

/// Requests to other VMs for missing tokens, in rounds.
#[derive(Debug, Default)]
pub(super) struct RequestRound {
    /// Start of the current round of requests to owners in other data centres.
    pub(super) started_at: Option<LocalTime>,
    /// Owners in other data centres that were sent a request.
    pub(super) answers: BTreeMap<VmId, PeerAnswer>,
    /// Earliest time of the next request to the owner in this data centre.
    pub(super) retry_at: Option<LocalTime>,
    /// Number of requests sent to the owner in this data centre.
    pub(super) retries: u32,
}

/// Limit, tokens, loans and queue of one account.
#[derive(Debug)]
pub(super) struct AccountState {
    pub(super) hash: u64,
    /// Fleet-wide limit; `None` when the account is inactive.
    pub(super) limit: Option<AccountLimit>,
    pub(super) bucket: TokenBucket,
    /// Owner in this data centre under each member list, by the list's digest.
    pub(super) owners: BTreeMap<u64, VmId>,
    /// Token loans from other VMs, by lender.
    pub(super) borrowed: BTreeMap<VmId, BorrowedChannel>,
    /// Token loans to other VMs, by borrower and channel.
    pub(super) lent: BTreeMap<(VmId, ChannelId), LentChannel>,
    pub(super) queue: BTreeMap<QueueKey, QueueEntry>,
    pub(super) round: RequestRound,
    next_number: u64,
}

impl AccountState {
    pub(super) fn new(account: &AccountId, now: LocalTime) -> Self {
        Self {
            hash: hash_account(account),
            limit: None,
            bucket: TokenBucket::new(now),
            owners: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            lent: BTreeMap::new(),
            queue: BTreeMap::new(),
            round: RequestRound::default(),
            next_number: 0,
        }
    }

    /// Refills the bucket up to `now` and ends the token loans past their
    /// deadline.
    ///
    /// The bucket is refilled up to each deadline in turn, so that borrowed capacity
    /// can hold tokens only until its own deadline.
    pub(super) fn advance(&mut self, now: LocalTime, settings: &LimitSettings) {
        while let Some((peer, deadline)) = self.next_expiry(now, settings) {
            self.bucket.refill(deadline);
            if let Some(channel) = self.borrowed.remove(&peer) {
                self.bucket
                    .return_borrowed(channel.outstanding(), TokenCount::ZERO);
            }
        }
        self.bucket.refill(now);
        self.reclaim_expired(now, settings);
    }

    fn next_expiry(&self, now: LocalTime, settings: &LimitSettings) -> Option<(VmId, LocalTime)> {
        if settings.has(LimitMutation::KeepExpiredTokenLoans) {
            return None;
        }
        self.borrowed
            .iter()
            .filter_map(|(peer, channel)| Some((peer, channel.deadline()?)))
            .filter(|(_, deadline)| *deadline <= now)
            .min_by_key(|(_, deadline)| *deadline)
            .map(|(peer, deadline)| (peer.clone(), deadline))
    }

    fn reclaim_expired(&mut self, now: LocalTime, settings: &LimitSettings) {
        let bucket = &mut self.bucket;
        self.lent.retain(|_, channel| {
            if !channel.is_expired(now) {
                return true;
            }
            let outstanding = channel.outstanding();
            let level = if settings.has(LimitMutation::ReclaimFull) {
                outstanding
            } else {
                TokenCount::ZERO
            };
            bucket.reclaim(outstanding, level);
            false
        });
    }

    /// Queues an entry after the others of its priority.
    pub(super) fn enqueue(&mut self, priority: PriorityClass, entry: QueueEntry) -> QueueKey {
        let key = QueueKey {
            priority: Reverse(priority),
            number: self.next_number,
        };
        self.next_number += 1;
        self.queue.insert(key, entry);
        key
    }

    /// Returns the total cost of the waiting requests.
    pub(super) fn demand(&self) -> TokenCount {
        self.queue.values().map(|entry| entry.cost).sum()
    }

    /// Returns the tokens that the waiting requests need beyond the level.
    pub(super) fn shortfall(&self) -> TokenCount {
        self.demand().saturating_sub(self.bucket.level())
    }

    /// Returns the tokens that the queue leaves over, with rate and capacity of the
    /// slice, as an estimate for other VMs.
    pub(super) fn hint(&self) -> LevelHint {
        LevelHint {
            level: self.bucket.level().saturating_sub(self.demand()),
            rate: self.bucket.rate(),
            capacity: self.bucket.slice(),
        }
    }

    pub(super) fn has_no_channels(&self) -> bool {
        self.borrowed.is_empty() && self.lent.is_empty()
    }
}
