//! Exact check of spent tokens against rate and burst over every window.
//!
//! The largest excess over all windows equals the highest mark of a leaky
//! bucket that drains at the rate, above the burst.

use clementinepond_decide::limit::AccountLimit;

/// Micro-tokens times microseconds a second, the unit of the leaky bucket.
const MICROS_PER_SECOND: i128 = 1_000_000;

/// Tokens spent at one moment.
#[derive(Debug, Clone, Copy)]
struct Spend {
    at: u64,
    micro: u64,
}

/// Limit in force from one moment on.
#[derive(Debug, Clone, Copy)]
pub struct LimitChange {
    /// Moment of the change, in microseconds.
    pub at: u64,
    /// Limit from then on.
    pub limit: AccountLimit,
}

/// What one account spent.
#[derive(Debug, Default)]
pub struct SpendLedger {
    spends: Vec<Spend>,
}

impl SpendLedger {
    /// Notes tokens spent at a moment.
    pub fn record(&mut self, at: u64, micro: u64) {
        self.spends.push(Spend { at, micro });
    }

    /// Returns the tokens spent.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.spends.iter().map(|spend| spend.micro).sum()
    }

    /// Returns the largest excess of any window, in micro-tokens.
    ///
    /// Until `settle_time` after a change the larger limit counts; windows
    /// that begin later are held to the new limit alone.
    #[must_use]
    pub fn excess(&mut self, changes: &[LimitChange], settle_time: u64) -> u64 {
        self.spends.sort_by_key(|spend| spend.at);
        let mut worst = 0;
        for index in 0..changes.len() {
            let start = match index {
                0 => 0,
                _ => changes[index].at + settle_time,
            };
            worst = worst.max(self.excess_from(start, &changes[index..], settle_time));
        }
        worst
    }

    fn excess_from(&self, start: u64, changes: &[LimitChange], settle_time: u64) -> u64 {
        let mut level: i128 = 0;
        let mut last = start;
        let mut worst: i128 = 0;
        for spend in self.spends.iter().filter(|spend| spend.at >= start) {
            let (drained, burst) = envelope(changes, last, spend.at, settle_time);
            level = (level - drained).max(0) + i128::from(spend.micro) * MICROS_PER_SECOND;
            last = spend.at;
            worst = worst.max(level - i128::from(burst) * MICROS_PER_SECOND);
        }
        let rounded = (worst.max(0) + MICROS_PER_SECOND - 1) / MICROS_PER_SECOND;
        u64::try_from(rounded).unwrap_or(u64::MAX)
    }
}

/// Returns the largest rate and burst that count at one moment.
#[must_use]
pub(super) fn limit_at(changes: &[LimitChange], at: u64, settle_time: u64) -> (u64, u64) {
    let since = at.saturating_sub(settle_time);
    let first = changes.iter().rposition(|change| change.at <= since);
    let counted = changes
        .iter()
        .skip(first.unwrap_or(0))
        .filter(|change| change.at <= at);
    counted.fold((0, 0), |(rate, burst), change| {
        (
            rate.max(change.limit.rate.micro()),
            burst.max(change.limit.burst.micro()),
        )
    })
}

/// Returns the largest drain between two moments and the largest burst so far.
fn envelope(changes: &[LimitChange], from: u64, to: u64, settle_time: u64) -> (i128, u64) {
    let mut times: Vec<u64> = changes
        .iter()
        .flat_map(|change| [change.at, change.at + settle_time])
        .filter(|time| *time > from && *time < to)
        .collect();
    times.sort_unstable();
    times.push(to);
    let mut drained = 0;
    let mut start = from;
    for end in times {
        drained += i128::from(rate_at(changes, start, settle_time)) * i128::from(end - start);
        start = end;
    }
    let burst = changes
        .iter()
        .filter(|change| change.at <= to)
        .map(|change| change.limit.burst.micro())
        .max();
    (drained, burst.unwrap_or(0))
}

fn rate_at(changes: &[LimitChange], at: u64, settle_time: u64) -> u64 {
    let mut most = 0;
    for (index, change) in changes.iter().enumerate() {
        let ends = changes
            .get(index + 1)
            .map_or(u64::MAX, |next| next.at.saturating_add(settle_time));
        let begins = if index == 0 { 0 } else { change.at };
        if begins <= at && at < ends {
            most = most.max(change.limit.rate.micro());
        }
    }
    most
}
