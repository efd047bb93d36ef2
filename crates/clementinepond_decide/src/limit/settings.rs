//! Settings of rate limits.

use clementinepond_types::{TimeSpan, TokenRate};
use serde::{Deserialize, Serialize};

/// Divisor of values in parts per million.
const MILLION: u64 = 1_000_000;

/// Divisor of the member count, rounded down, which gives the number of members
/// that may have left since a grant was made.
const SHRINK_MARGIN_DIVISOR: usize = 4;

/// Safety check that a test disables to show that it is needed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitMutation {
    /// All checks are enabled.
    #[default]
    None,
    /// A borrower keeps using an expired token loan.
    KeepExpiredTokenLoans,
    /// A borrower keeps using an expired part loan.
    KeepExpiredPartLoans,
    /// A borrower counts a deadline from the receipt of a grant.
    CountFromReceipt,
    /// Deadlines and rates are not reduced for clock drift.
    IgnoreDrift,
    /// A lender reclaims lent capacity filled with tokens.
    ReclaimFull,
    /// A lender keeps its capacity while its tokens are lent.
    LendWithoutCapacity,
    /// A reservation does not hold capacity.
    ReserveWithoutHold,
    /// A token loan may outlive the loans that back it.
    IgnoreBacking,
    /// A narrower loan is confirmed while token loans backed by the wider one
    /// are outstanding.
    ConfirmEarly,
    /// A repeated grant is added again.
    AddRepeatedGrants,
    /// A repeated return is credited again.
    AddRepeatedReturns,
    /// A loan after a roster change ignores the loans made before it.
    IgnoreEarlierLoans,
    /// A restarted VM uses its slice at once.
    SkipStartWait,
    /// A restarted VM that shuts down does not wait for its earlier grants to
    /// expire.
    ReleaseEarly,
    /// A borrower accepts grants of a restarted lender in a channel of its
    /// earlier process.
    TrustRestartedLender,
    /// An older table of accounts replaces a newer one.
    AcceptOlderTable,
    /// A lender keeps using its slice while it is lent.
    KeepLentSlice,
}

/// Settings of rate limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Longest wait of a request before it is admitted or refused.
    pub queue_wait: TimeSpan,
    /// Longest time between an admission and its dispatch.
    pub dispatch_wait: TimeSpan,
    /// Upper bound of a part loan's lifetime; the roster's hold-off relies on
    /// it.
    pub grant_limit: TimeSpan,
    /// Upper bound of a token loan's lifetime.
    pub lot_span: TimeSpan,
    /// Shortest lifetime with which a token loan is granted.
    pub lot_span_floor: TimeSpan,
    /// Shortest interval between two polls of one VM for its parts, unless
    /// `grant_limit` requires a shorter one.
    pub loan_interval: TimeSpan,
    /// Lower bound of the interval between polls, per other VM of the data centre,
    /// also limited by `grant_limit`.
    pub loan_interval_per_peer: TimeSpan,
    /// Lifetime of a part loan, in poll intervals.
    pub loan_intervals: u64,
    /// Time before an unanswered request for tokens is sent again; doubles with each
    /// request to the owner in this data centre, at most 4 times. Also the time before
    /// the next poll after a loan that covers fewer accounts or less capacity than
    /// the lender holds.
    pub retry_interval: TimeSpan,
    /// Interval between returns and renewals of token loans.
    pub report_interval: TimeSpan,
    /// Time without an answer after which a VM counts as unreachable.
    pub peer_timeout: TimeSpan,
    /// Interval between requests to an unreachable VM.
    pub probe_interval: TimeSpan,
    /// `Retry-After` when the time of admission cannot be estimated.
    pub unknown_retry: TimeSpan,
    /// Largest deviation of a clock's rate from true time, in parts per
    /// million.
    pub clock_drift_ppm: u64,
    /// Safety check that a test disables.
    #[serde(skip)]
    pub mutation: LimitMutation,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            queue_wait: TimeSpan::from_millis(300),
            dispatch_wait: TimeSpan::from_secs(1),
            grant_limit: TimeSpan::from_secs(60),
            lot_span: TimeSpan::from_secs(10),
            lot_span_floor: TimeSpan::from_millis(100),
            loan_interval: TimeSpan::from_secs(2),
            loan_interval_per_peer: TimeSpan::from_millis(100),
            loan_intervals: 3,
            retry_interval: TimeSpan::from_millis(40),
            report_interval: TimeSpan::from_millis(500),
            peer_timeout: TimeSpan::from_millis(150),
            probe_interval: TimeSpan::from_secs(1),
            unknown_retry: TimeSpan::from_secs(1),
            clock_drift_ppm: 500,
            mutation: LimitMutation::None,
        }
    }
}

impl LimitSettings {
    /// Returns the interval between polls of one VM in a data centre of `members` VMs.
    #[must_use]
    pub fn poll_interval(&self, members: usize) -> TimeSpan {
        let peers = u64::try_from(members.saturating_sub(1)).unwrap_or(u64::MAX);
        let growth = self.loan_interval_per_peer.micros().saturating_mul(peers);
        let longest = self.grant_limit.fraction(1, self.loan_intervals.max(1));
        self.loan_interval
            .max(TimeSpan::from_micros(growth))
            .min(longest)
    }

    /// Returns the lifetime of a part loan in a data centre of `members` VMs.
    #[must_use]
    pub fn part_loan_lifetime(&self, members: usize) -> TimeSpan {
        let interval = self.poll_interval(members).micros();
        TimeSpan::from_micros(interval.saturating_mul(self.loan_intervals))
    }

    /// Returns the lifetime of a token loan in a data centre of `members` VMs.
    ///
    /// It is shorter than the time left of a part loan that is renewed in time,
    /// so that the loans that back a token loan outlive it.
    #[must_use]
    pub fn token_loan_lifetime(&self, members: usize) -> TimeSpan {
        let interval = self.poll_interval(members);
        let renewed = interval.fraction(self.loan_intervals.saturating_sub(1), 1);
        let guaranteed = renewed.saturating_sub(interval.fraction(1, 10));
        guaranteed.min(self.lot_span)
    }

    /// Returns the time for which any grant may outlive a stopped VM.
    ///
    /// The roster's hold-off before the parts of a VM move must be longer. The
    /// data centre may have shrunk by a fifth since the grant was made.
    #[must_use]
    pub fn longest_grant_lifetime(&self, members: usize) -> TimeSpan {
        let earlier = members.saturating_add(members / SHRINK_MARGIN_DIVISOR);
        let longest = self.part_loan_lifetime(earlier);
        longest + longest.fraction(2 * self.clock_drift_ppm, MILLION)
    }

    /// Shortens a lender's remaining time by the drift of both clocks, so that
    /// the borrower's deadline comes first.
    #[must_use]
    pub fn shorten(&self, time_left: TimeSpan) -> TimeSpan {
        if self.has(LimitMutation::IgnoreDrift) {
            return time_left;
        }
        let margin = time_left.micros().saturating_mul(2 * self.clock_drift_ppm);
        time_left.saturating_sub(TimeSpan::from_micros(margin.div_ceil(MILLION)))
    }

    /// Lowers a rate so that a fast clock does not refill too much.
    #[must_use]
    pub fn lower(&self, rate: TokenRate) -> TokenRate {
        if self.has(LimitMutation::IgnoreDrift) {
            return rate;
        }
        rate.fraction(MILLION.saturating_sub(self.clock_drift_ppm), MILLION)
    }

    pub(super) fn has(&self, mutation: LimitMutation) -> bool {
        self.mutation == mutation
    }
}
