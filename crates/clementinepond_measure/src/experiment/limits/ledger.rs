//! Exact check of spent tokens against rate and burst over every window.
//!
//! The largest excess over all windows equals the highest level above the burst
//! that a leaky bucket reaches when it drains at the rate.

use clementinepond_decide::limit::AccountLimit;

/// Factor from micro-tokens to the unit of the leaky bucket's level.
///
/// A drain of micro-tokens per second over microseconds needs no division in
/// this unit, so the check stays exact.
const MICROS_PER_SECOND: i128 = 1_000_000;

/// Tokens spent at one time, in micro-tokens.
#[derive(Debug, Clone, Copy)]
struct Spend {
    at: u64,
    micro: u64,
}

/// Change of an account's limit.
#[derive(Debug, Clone, Copy)]
pub struct LimitChange {
    /// Time of the change, in microseconds.
    pub at: u64,
    /// Limit in force from that time on.
    pub limit: AccountLimit,
}

/// Tokens spent by one account.
#[derive(Debug, Default)]
pub struct SpendLedger {
    spends: Vec<Spend>,
}

impl SpendLedger {
    /// Records tokens spent at a time, in micro-tokens and microseconds.
    pub fn record(&mut self, at: u64, micro: u64) {
        self.spends.push(Spend { at, micro });
    }

    /// Returns the total spent, in micro-tokens.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.spends.iter().map(|spend| spend.micro).sum()
    }

    /// Returns the largest excess of any window, in micro-tokens.
    ///
    /// Until `settle_time` after a change, the larger of the old and new limits
    /// applies; windows that begin later must keep to the new limit alone.
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

/// Returns the largest rate and burst that apply at one time, in micro-tokens.
///
/// A replaced limit still applies until `settle_time` after its replacement.
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

/// Returns the largest drain between two times and the largest burst up to the end.
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
