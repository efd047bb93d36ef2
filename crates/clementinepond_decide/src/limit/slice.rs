//! Slices of accounts on this VM, from the parts that it holds, lends and borrows.
//!
//! While a part loan covers an account, the lender does not use its own parts
//! for it, apart from the capacity that it keeps. A loan names one or more member
//! lists and covers the accounts that the borrower owns under each of them. Loans
//! to different owners name a list in common; an account has one owner under that
//! list, so that no account is covered by two of them.

use super::account::AccountState;
use super::event::{AccountLimit, PartFraction};
use super::message::PollNumber;
use super::owner::MemberList;
use super::settings::{LimitMutation, LimitSettings};
use clementinepond_types::{AccountId, LocalTime, TokenCount, TokenRate, VmId};
use std::collections::BTreeMap;

/// Loan of this VM's parts to an owner.
#[derive(Debug)]
pub(super) struct LentParts {
    pub(super) borrower: VmId,
    pub(super) number: PollNumber,
    /// Digests of member lists; the loan covers the accounts that the borrower
    /// owns under each of them.
    pub(super) rosters: Vec<u64>,
    /// Capacity that the lender keeps, by account.
    pub(super) kept: BTreeMap<AccountId, TokenCount>,
    pub(super) deadline: LocalTime,
}

/// Loan of another VM's parts to this VM.
#[derive(Debug)]
pub(super) struct BorrowedParts {
    pub(super) number: PollNumber,
    pub(super) rosters: Vec<u64>,
    pub(super) fraction: PartFraction,
    pub(super) kept: BTreeMap<AccountId, TokenCount>,
    pub(super) deadline: LocalTime,
    /// Time from which this VM may confirm to the lender that it no longer uses
    /// earlier loans.
    pub(super) confirm_at: LocalTime,
}

/// Rate and capacity of one account on one VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct SliceSize {
    pub(super) rate: TokenRate,
    pub(super) capacity: TokenCount,
}

/// Parts that this VM holds, lends and borrows.
#[derive(Debug)]
pub(super) struct PartRights {
    pub(super) vm: VmId,
    pub(super) fraction: PartFraction,
    /// Whether grants of an earlier process of this VM have expired, so that its parts
    /// may be used and lent.
    pub(super) is_usable: bool,
    pub(super) lent: Vec<LentParts>,
    pub(super) borrowed: BTreeMap<VmId, BorrowedParts>,
    /// Member lists in use, by digest.
    pub(super) rosters: BTreeMap<u64, MemberList>,
    /// Digest of the current member list.
    pub(super) current: u64,
}

fn covers(rosters: &[u64], borrower: &VmId, account: &AccountState) -> bool {
    rosters
        .iter()
        .all(|roster| account.owners.get(roster) == Some(borrower))
}

impl LentParts {
    pub(super) fn covers(&self, account: &AccountState) -> bool {
        covers(&self.rosters, &self.borrower, account)
    }
}

impl BorrowedParts {
    pub(super) fn covers(&self, borrower: &VmId, account: &AccountState) -> bool {
        covers(&self.rosters, borrower, account)
    }

    fn kept(&self, account: &AccountId) -> TokenCount {
        self.kept.get(account).copied().unwrap_or_default()
    }
}

impl PartRights {
    pub(super) fn new(vm: VmId) -> Self {
        Self {
            vm,
            fraction: PartFraction::ZERO,
            is_usable: false,
            lent: Vec::new(),
            borrowed: BTreeMap::new(),
            rosters: BTreeMap::new(),
            current: 0,
        }
    }

    pub(super) fn members(&self) -> Option<&MemberList> {
        self.rosters.get(&self.current)
    }

    /// Returns the account's owner in this data centre.
    pub(super) fn owner<'a>(&self, account: &'a AccountState) -> Option<&'a VmId> {
        account.owners.get(&self.current)
    }

    /// Determines the account's owner under each member list in use.
    pub(super) fn assign_owners(&self, account: &mut AccountState) {
        account.owners = self
            .rosters
            .iter()
            .filter_map(|(digest, list)| Some((*digest, list.owner(account.hash)?.clone())))
            .collect();
    }

    /// Removes member lists that are not current and that no loan names.
    pub(super) fn prune_rosters(&mut self) {
        let lent = self.lent.iter().flat_map(|loan| &loan.rosters);
        let borrowed = self.borrowed.values().flat_map(|loan| &loan.rosters);
        let used: Vec<u64> = lent.chain(borrowed).copied().collect();
        let current = self.current;
        self.rosters
            .retain(|digest, _| *digest == current || used.contains(digest));
    }

    /// Returns the smallest capacity that this VM keeps in the loans that cover the
    /// account; `None` when no loan covers it.
    fn kept(&self, id: &AccountId, account: &AccountState) -> Option<TokenCount> {
        self.lent
            .iter()
            .filter(|loan| loan.covers(account))
            .map(|loan| loan.kept.get(id).copied().unwrap_or_default())
            .min()
    }

    /// Returns the rate and capacity of one account on this VM, part loans
    /// included.
    pub(super) fn slice(
        &self,
        id: &AccountId,
        account: &AccountState,
        settings: &LimitSettings,
    ) -> SliceSize {
        let Some(limit) = account.limit else {
            return SliceSize::default();
        };
        let (mut fraction, kept) = self.own_slice(id, account, limit, settings);
        let mut withheld = TokenCount::ZERO;
        for loan in self.borrowed.values() {
            if loan.covers(&self.vm, account) {
                fraction = fraction.plus(loan.fraction);
                withheld += loan.kept(id);
            }
        }
        SliceSize {
            rate: settings.lower(fraction.of_rate(limit.rate)),
            capacity: fraction.of_burst(limit.burst).saturating_sub(withheld) + kept,
        }
    }

    /// Returns the fraction that this VM uses of its own parts, and the capacity that
    /// it keeps if the parts are lent.
    fn own_slice(
        &self,
        id: &AccountId,
        account: &AccountState,
        limit: AccountLimit,
        settings: &LimitSettings,
    ) -> (PartFraction, TokenCount) {
        let kept = self.kept(id, account);
        match kept {
            Some(kept) if !settings.has(LimitMutation::KeepLentSlice) => {
                let most = self.fraction.of_burst(limit.burst);
                (PartFraction::ZERO, kept.min(most))
            }
            _ if self.is_usable => (self.fraction, TokenCount::ZERO),
            _ => (PartFraction::ZERO, TokenCount::ZERO),
        }
    }

    /// Returns the time until which `amount` of the capacity is guaranteed.
    ///
    /// Returns the clock's origin when the capacity is smaller than `amount`. A
    /// result at or after `horizon` may be earlier than the exact time.
    pub(super) fn assured_until(
        &self,
        id: &AccountId,
        account: &AccountState,
        amount: TokenCount,
        horizon: LocalTime,
        settings: &LimitSettings,
    ) -> LocalTime {
        if settings.has(LimitMutation::IgnoreBacking) {
            return LocalTime::NEVER;
        }
        let deadlines = self.borrowed.values().map(|loan| loan.deadline);
        let earliest = deadlines.min().unwrap_or(LocalTime::NEVER);
        if amount <= account.bucket.slice() && earliest >= horizon {
            return earliest;
        }
        let Some(limit) = account.limit else {
            return LocalTime::ORIGIN;
        };
        let (mut fraction, kept) = self.own_slice(id, account, limit, settings);
        let mut tokens = kept;
        let mut withheld = TokenCount::ZERO;
        let mut reached = LocalTime::NEVER;
        for piece in self.pieces(id, account) {
            if tokens + fraction.of_burst(limit.burst).saturating_sub(withheld) >= amount {
                return reached;
            }
            reached = piece.deadline;
            fraction = fraction.plus(piece.fraction);
            withheld += piece.kept;
            tokens += piece.tokens;
        }
        if tokens + fraction.of_burst(limit.burst).saturating_sub(withheld) >= amount {
            return reached;
        }
        LocalTime::ORIGIN
    }

    /// Returns the capacity that is guaranteed at least until `time`.
    pub(super) fn assured_amount(
        &self,
        id: &AccountId,
        account: &AccountState,
        time: LocalTime,
        settings: &LimitSettings,
    ) -> TokenCount {
        let Some(limit) = account.limit else {
            return TokenCount::ZERO;
        };
        let (mut fraction, mut tokens) = self.own_slice(id, account, limit, settings);
        let mut withheld = TokenCount::ZERO;
        for piece in self.pieces(id, account) {
            if piece.deadline >= time {
                fraction = fraction.plus(piece.fraction);
                withheld += piece.kept;
                tokens += piece.tokens;
            }
        }
        tokens + fraction.of_burst(limit.burst).saturating_sub(withheld)
    }

    /// Returns the borrowed capacity of an account, latest deadline first.
    fn pieces(&self, id: &AccountId, account: &AccountState) -> Vec<CapacityPiece> {
        let parts = self
            .borrowed
            .values()
            .filter(|loan| loan.covers(&self.vm, account))
            .map(|loan| CapacityPiece {
                deadline: loan.deadline,
                fraction: loan.fraction,
                kept: loan.kept(id),
                tokens: TokenCount::ZERO,
            });
        let token_loans = account.borrowed.values().filter_map(|channel| {
            Some(CapacityPiece {
                deadline: channel.deadline()?,
                fraction: PartFraction::ZERO,
                kept: TokenCount::ZERO,
                tokens: channel.outstanding(),
            })
        });
        let mut pieces: Vec<CapacityPiece> = parts.chain(token_loans).collect();
        pieces.sort_by_key(|piece| std::cmp::Reverse(piece.deadline));
        pieces
    }
}

/// Borrowed capacity with its deadline: a fraction of the burst less the capacity
/// that the lender keeps, or a number of tokens.
#[derive(Debug)]
struct CapacityPiece {
    deadline: LocalTime,
    fraction: PartFraction,
    kept: TokenCount,
    tokens: TokenCount,
}
