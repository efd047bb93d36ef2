//! The network between VMs: latency, loss, repetition, reordering and cuts.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Fate of messages between VMs.
#[derive(Debug, Clone, Copy)]
pub struct NetworkPlan {
    /// Latency within a data centre, in microseconds.
    pub near_latency: u64,
    /// Latency between data centres, in microseconds.
    pub far_latency: u64,
    /// Largest addition to the latency of one message, in microseconds.
    pub jitter: u64,
    /// Messages lost, in thousandths.
    pub lost: u32,
    /// Messages delivered twice, in thousandths.
    pub duplicated: u32,
    /// Messages that are late by up to ten seconds, in thousandths.
    pub late: u32,
}

/// Longest delay of a late message, in microseconds.
const LATE_DELAY_LIMIT_US: u64 = 10_000_000;

impl NetworkPlan {
    /// A healthy network of today's size.
    #[must_use]
    pub const fn healthy() -> Self {
        Self {
            near_latency: 250,
            far_latency: 1_500,
            jitter: 200,
            lost: 0,
            duplicated: 0,
            late: 0,
        }
    }

    /// A network on which every fault is common.
    #[must_use]
    pub const fn faulty() -> Self {
        Self {
            near_latency: 250,
            far_latency: 1_500,
            jitter: 30_000,
            lost: 50,
            duplicated: 50,
            late: 20,
        }
    }

    /// Returns the delay of each copy that arrives.
    pub fn deliveries(&self, is_near: bool, rng: &mut ChaCha8Rng) -> Vec<u64> {
        let mut copies = Vec::with_capacity(1);
        if rng.random_range(0..1_000) >= self.lost {
            copies.push(self.delay(is_near, rng));
        }
        if rng.random_range(0..1_000) < self.duplicated {
            copies.push(self.delay(is_near, rng));
        }
        copies
    }

    fn delay(&self, is_near: bool, rng: &mut ChaCha8Rng) -> u64 {
        let base = if is_near {
            self.near_latency
        } else {
            self.far_latency
        };
        let mut delay = base + rng.random_range(0..=self.jitter);
        if rng.random_range(0..1_000) < self.late {
            delay += rng.random_range(0..LATE_DELAY_LIMIT_US);
        }
        delay
    }
}
