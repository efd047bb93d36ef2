//! The slice of each account that this VM holds, by parts.
//!
//! A VM's own parts are out of its hands while a loan covers the account.
//! Loans to different homes made under different rosters share a member
//! list, under which an account has one home, so that no account is covered
//! twice.

use super::account::AccountState;
use super::event::{AccountLimit, PartFraction};
use super::home::MemberList;
use super::message::LoanStep;
use super::settings::{LimitMutation, LimitSettings};
use clementinepond_types::{AccountId, LocalTime, TokenCount, TokenRate, VmId};
use std::collections::BTreeMap;

/// Loan of this VM's parts to a home.
#[derive(Debug)]
pub(super) struct LentParts {
    pub(super) borrower: VmId,
    pub(super) step: LoanStep,
    pub(super) rosters: Vec<u64>,
    pub(super) kept: BTreeMap<AccountId, TokenCount>,
    pub(super) deadline: LocalTime,
}

/// Loan of another VM's parts to this VM.
#[derive(Debug)]
pub(super) struct BorrowedParts {
    pub(super) step: LoanStep,
    pub(super) rosters: Vec<u64>,
    pub(super) fraction: PartFraction,
    pub(super) kept: BTreeMap<AccountId, TokenCount>,
    pub(super) deadline: LocalTime,
    /// Moment from which the lender may be told that earlier loans are over.
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
    /// Whether grants of an earlier process of this VM have lapsed.
    pub(super) is_usable: bool,
    pub(super) lent: Vec<LentParts>,
    pub(super) borrowed: BTreeMap<VmId, BorrowedParts>,
    pub(super) rosters: BTreeMap<u64, MemberList>,
    pub(super) current: u64,
}

fn covers(rosters: &[u64], borrower: &VmId, account: &AccountState) -> bool {
    rosters
        .iter()
        .all(|roster| account.homes.get(roster) == Some(borrower))
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

    /// Returns the account's home in this data centre.
    pub(super) fn home<'a>(&self, account: &'a AccountState) -> Option<&'a VmId> {
        account.homes.get(&self.current)
    }

    /// Works the account's home out under each member list in use.
    pub(super) fn locate(&self, account: &mut AccountState) {
        account.homes = self
            .rosters
            .iter()
            .filter_map(|(digest, list)| Some((*digest, list.home(account.hash)?.clone())))
            .collect();
    }

    /// Forgets member lists that no loan refers to.
    pub(super) fn prune_rosters(&mut self) {
        let lent = self.lent.iter().flat_map(|loan| &loan.rosters);
        let borrowed = self.borrowed.values().flat_map(|loan| &loan.rosters);
        let used: Vec<u64> = lent.chain(borrowed).copied().collect();
        let current = self.current;
        self.rosters
            .retain(|digest, _| *digest == current || used.contains(digest));
    }

    /// Returns the capacity that this VM keeps while its parts are lent.
    fn kept(&self, id: &AccountId, account: &AccountState) -> Option<TokenCount> {
        self.lent
            .iter()
            .filter(|loan| loan.covers(account))
            .map(|loan| loan.kept.get(id).copied().unwrap_or_default())
            .min()
    }

    /// Returns the slice of one account.
    pub(super) fn slice(
        &self,
        id: &AccountId,
        account: &AccountState,
        settings: &LimitSettings,
    ) -> SliceSize {
        let Some(limit) = account.limit else {
            return SliceSize::default();
        };
        let (mut fraction, kept) = self.own(id, account, limit, settings);
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

    fn own(
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

    /// Returns the moment until which `amount` of the capacity is sure.
    ///
    /// Returns the clock's origin when the capacity is smaller. Moments after
    /// `horizon` are not told apart.
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
        let (mut fraction, kept) = self.own(id, account, limit, settings);
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

    /// Returns the capacity that lasts at least until `moment`.
    pub(super) fn assured_amount(
        &self,
        id: &AccountId,
        account: &AccountState,
        moment: LocalTime,
        settings: &LimitSettings,
    ) -> TokenCount {
        let Some(limit) = account.limit else {
            return TokenCount::ZERO;
        };
        let (mut fraction, mut tokens) = self.own(id, account, limit, settings);
        let mut withheld = TokenCount::ZERO;
        for piece in self.pieces(id, account) {
            if piece.deadline >= moment {
                fraction = fraction.plus(piece.fraction);
                withheld += piece.kept;
                tokens += piece.tokens;
            }
        }
        tokens + fraction.of_burst(limit.burst).saturating_sub(withheld)
    }

    /// Lists borrowed capacity, the longest-lived first.
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
        let lots = account.borrowed.values().filter_map(|channel| {
            Some(CapacityPiece {
                deadline: channel.deadline()?,
                fraction: PartFraction::ZERO,
                kept: TokenCount::ZERO,
                tokens: channel.outstanding(),
            })
        });
        let mut pieces: Vec<CapacityPiece> = parts.chain(lots).collect();
        pieces.sort_by_key(|piece| std::cmp::Reverse(piece.deadline));
        pieces
    }
}

/// Borrowed capacity with its deadline.
#[derive(Debug)]
struct CapacityPiece {
    deadline: LocalTime,
    fraction: PartFraction,
    kept: TokenCount,
    tokens: TokenCount,
}
