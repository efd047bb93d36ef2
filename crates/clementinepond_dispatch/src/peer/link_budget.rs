//! Limit of the bytes that a VM serves to its peers.

use clementinepond_types::LocalTime;

/// Part of the link's bandwidth that snapshots for peers may use.
const LINK_SHARE: f64 = 0.25;
/// Time in which the budget refills; limits how long a burst occupies the link.
const REFILL_S: f64 = 0.5;
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Budget of bytes, refilled in proportion to the bandwidth of the VM's link.
#[derive(Debug, Default)]
pub struct LinkBudget {
    /// Bytes that may be sent now; negative after an answer that exceeded the rest.
    credit: f64,
    /// Time up to which the credit was added.
    credited_at: LocalTime,
}

impl LinkBudget {
    /// Returns whether another answer may be sent over a link of `link_mbps` megabits per
    /// second.
    pub fn is_open(&mut self, link_mbps: u32, now: LocalTime) -> bool {
        let rate = f64::from(link_mbps) * BYTES_PER_MEGABIT * LINK_SHARE;
        let seconds = now.since(self.credited_at).micros() as f64 / 1e6;
        self.credited_at = now;
        self.credit = (self.credit + seconds * rate).min(rate * REFILL_S);
        self.credit > 0.0
    }

    /// Charges the bytes of an answer.
    pub fn charge(&mut self, bytes: usize) {
        self.credit -= bytes as f64;
    }
}
