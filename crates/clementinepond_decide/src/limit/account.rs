//! What a VM remembers about one account.

use super::bucket::TokenBucket;
use super::event::{AccountLimit, TicketId};
use super::home::hash_account;
use super::lot::{BorrowedChannel, LentChannel};
use super::message::{ChannelId, LevelHint};
use super::settings::{LimitMutation, LimitSettings};
use clementinepond_types::{AccountId, LocalTime, PriorityClass, TokenCount, VmId};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Place in the queue: priority first, then order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    pub(super) priority: Reverse<PriorityClass>,
    pub(super) number: u64,
}

/// Who waits for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Claimant {
    /// A request on this VM.
    Local(TicketId),
    /// A request on another VM.
    Remote {
        /// VM that waits.
        vm: VmId,
        /// Channel that the tokens go to.
        channel: ChannelId,
        /// Admission on that VM.
        ticket: TicketId,
    },
}

/// One wait for tokens.
#[derive(Debug)]
pub(super) struct QueueEntry {
    pub(super) claimant: Claimant,
    pub(super) cost: TokenCount,
    pub(super) deadline: LocalTime,
}

/// Answer of another home in the present round of questions.
#[derive(Debug)]
pub(super) struct PeerAnswer {
    pub(super) asked_at: LocalTime,
    pub(super) hint: Option<LevelHint>,
}

/// Round of questions to other VMs for missing tokens.
#[derive(Debug, Default)]
pub(super) struct AskRound {
    pub(super) started_at: Option<LocalTime>,
    pub(super) answers: BTreeMap<VmId, PeerAnswer>,
    pub(super) repeat_at: Option<LocalTime>,
    pub(super) repeats: u32,
}

/// State of one account.
#[derive(Debug)]
pub(super) struct AccountState {
    pub(super) hash: u64,
    pub(super) limit: Option<AccountLimit>,
    pub(super) bucket: TokenBucket,
    pub(super) homes: BTreeMap<u64, VmId>,
    pub(super) borrowed: BTreeMap<VmId, BorrowedChannel>,
    pub(super) lent: BTreeMap<(VmId, ChannelId), LentChannel>,
    pub(super) queue: BTreeMap<QueueKey, QueueEntry>,
    pub(super) round: AskRound,
    next_number: u64,
}

impl AccountState {
    pub(super) fn new(account: &AccountId, now: LocalTime) -> Self {
        Self {
            hash: hash_account(account),
            limit: None,
            bucket: TokenBucket::new(now),
            homes: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            lent: BTreeMap::new(),
            queue: BTreeMap::new(),
            round: AskRound::default(),
            next_number: 0,
        }
    }

    /// Refills the bucket and drops lots whose deadline has passed.
    pub(super) fn settle(&mut self, now: LocalTime, settings: &LimitSettings) {
        while let Some((peer, deadline)) = self.next_lapse(now, settings) {
            self.bucket.refill(deadline);
            if let Some(channel) = self.borrowed.remove(&peer) {
                self.bucket.give_up(channel.outstanding(), TokenCount::ZERO);
            }
        }
        self.bucket.refill(now);
        self.resume_lapsed(now, settings);
    }

    fn next_lapse(&self, now: LocalTime, settings: &LimitSettings) -> Option<(VmId, LocalTime)> {
        if settings.has(LimitMutation::KeepLapsedLots) {
            return None;
        }
        self.borrowed
            .iter()
            .filter_map(|(peer, channel)| Some((peer, channel.deadline()?)))
            .filter(|(_, deadline)| *deadline <= now)
            .min_by_key(|(_, deadline)| *deadline)
            .map(|(peer, deadline)| (peer.clone(), deadline))
    }

    fn resume_lapsed(&mut self, now: LocalTime, settings: &LimitSettings) {
        let bucket = &mut self.bucket;
        self.lent.retain(|_, channel| {
            if !channel.is_over(now) {
                return true;
            }
            let outstanding = channel.outstanding();
            let level = if settings.has(LimitMutation::ResumeFull) {
                outstanding
            } else {
                TokenCount::ZERO
            };
            bucket.resume(outstanding, level);
            false
        });
    }

    /// Adds an entry behind those of its priority.
    pub(super) fn enqueue(&mut self, priority: PriorityClass, entry: QueueEntry) -> QueueKey {
        let key = QueueKey {
            priority: Reverse(priority),
            number: self.next_number,
        };
        self.next_number += 1;
        self.queue.insert(key, entry);
        key
    }

    /// Returns the tokens that every waiting request needs together.
    pub(super) fn demand(&self) -> TokenCount {
        self.queue.values().map(|entry| entry.cost).sum()
    }

    /// Returns the tokens that are missing for the waiting requests.
    pub(super) fn shortfall(&self) -> TokenCount {
        self.demand().saturating_sub(self.bucket.level())
    }

    /// Returns what this VM has left, for another VM's planning.
    pub(super) fn hint(&self) -> LevelHint {
        LevelHint {
            level: self.bucket.level().saturating_sub(self.demand()),
            rate: self.bucket.rate(),
            capacity: self.bucket.slice(),
        }
    }

    pub(super) fn is_quiet(&self) -> bool {
        self.borrowed.is_empty() && self.lent.is_empty()
    }
}
