//! Settings of the limits.

use clementinepond_types::{TimeSpan, TokenRate};
use serde::{Deserialize, Serialize};

/// One million, the whole of a drift bound.
const MILLION: u64 = 1_000_000;

/// Share of the members that may have left since a grant, as a divisor.
const SHRINK_MARGIN: usize = 4;

/// Guard that a test removes to show that it is needed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LimitMutation {
    /// Every guard in place.
    #[default]
    None,
    /// A lapsed lot stays usable at its borrower.
    KeepLapsedLots,
    /// A lapsed part loan stays usable at its borrower.
    KeepLapsedLoans,
    /// A deadline is counted from the receipt of a grant.
    CountFromReceipt,
    /// A deadline is not shortened by the drift of clocks.
    IgnoreDrift,
    /// A lender resumes lent capacity with its tokens.
    ResumeFull,
    /// A lender keeps its capacity while its tokens are lent.
    LendWithoutCapacity,
    /// A reservation does not hold capacity.
    ForgetHolds,
    /// A lot outlives the loans that back it.
    IgnoreBacking,
    /// A narrower loan is confirmed while lots of the wider one are out.
    ConfirmEarly,
    /// A repeated grant is added again.
    AddRepeatedGrants,
    /// A repeated return is credited again.
    AddRepeatedReturns,
    /// A loan after a roster change ignores the loans made before it.
    ForgetEarlierRoster,
    /// A restarted VM uses its slice at once.
    SkipStartWait,
    /// A restarted VM that leaves does not wait for its earlier grants.
    ReleaseEarly,
    /// A restarted lender extends what its earlier process lent.
    TrustRestartedLender,
    /// An older table of accounts replaces a newer one.
    AcceptOlderTable,
    /// A lender keeps its slice while it is lent.
    KeepLentSlice,
}

/// Settings of the limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Longest wait of a request before it is admitted or refused.
    pub queue_wait: TimeSpan,
    /// Longest time between an admission and its dispatch.
    pub dispatch_wait: TimeSpan,
    /// Longest life of a part loan; the roster's hold-off rests on it.
    pub grant_limit: TimeSpan,
    /// Longest life of a lot.
    pub lot_span: TimeSpan,
    /// Shortest life for which a lot is given.
    pub lot_span_floor: TimeSpan,
    /// Shortest interval between two polls for part loans.
    pub loan_interval: TimeSpan,
    /// Addition to that interval for each other VM of the data centre.
    pub loan_interval_per_peer: TimeSpan,
    /// Intervals that a part loan lives.
    pub loan_intervals: u64,
    /// First wait before an unanswered request to a VM is repeated.
    pub retry_interval: TimeSpan,
    /// Interval between returns and renewals of lots.
    pub report_interval: TimeSpan,
    /// Silence after which a VM counts as unreachable.
    pub peer_timeout: TimeSpan,
    /// Interval between attempts to reach an unreachable VM.
    pub probe_interval: TimeSpan,
    /// `Retry-After` when the time of admission cannot be worked out.
    pub unknown_retry: TimeSpan,
    /// Largest difference of a clock's rate from true time, in millionths.
    pub clock_drift_ppm: u64,
    /// Guard that a test removes.
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
    /// Returns the interval between polls in a data centre of `members` VMs.
    #[must_use]
    pub fn poll_interval(&self, members: usize) -> TimeSpan {
        let peers = u64::try_from(members.saturating_sub(1)).unwrap_or(u64::MAX);
        let growth = self.loan_interval_per_peer.micros().saturating_mul(peers);
        let longest = self.grant_limit.fraction(1, self.loan_intervals.max(1));
        self.loan_interval
            .max(TimeSpan::from_micros(growth))
            .min(longest)
    }

    /// Returns the life of a part loan in a data centre of `members` VMs.
    #[must_use]
    pub fn loan_span(&self, members: usize) -> TimeSpan {
        let interval = self.poll_interval(members).micros();
        TimeSpan::from_micros(interval.saturating_mul(self.loan_intervals))
    }

    /// Returns the life of a lot in a data centre of `members` VMs.
    ///
    /// It is shorter than what a part loan that is renewed in time has left,
    /// so that the loans that back a lot outlive it.
    #[must_use]
    pub fn lot_span(&self, members: usize) -> TimeSpan {
        let interval = self.poll_interval(members);
        let renewed = interval.fraction(self.loan_intervals.saturating_sub(1), 1);
        let sure = renewed.saturating_sub(interval.fraction(1, 10));
        sure.min(self.lot_span)
    }

    /// Returns the time for which any grant may outlive a stopped VM.
    ///
    /// The roster's hold-off before the parts of a VM move must be longer. A
    /// data centre may have shrunk by a fifth since the grant was made.
    #[must_use]
    pub fn longest_grant(&self, members: usize) -> TimeSpan {
        let earlier = members.saturating_add(members / SHRINK_MARGIN);
        let longest = self.loan_span(earlier);
        longest + longest.fraction(2 * self.clock_drift_ppm, MILLION)
    }

    /// Shortens a lender's time left to what a borrower may count on.
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
