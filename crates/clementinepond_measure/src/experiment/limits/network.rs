//! Simulated network between VMs: latency, loss, duplication and reordering.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Latency and fault rates of messages between VMs.
#[derive(Debug, Clone, Copy)]
pub struct NetworkPlan {
    /// Latency within a data centre, in microseconds.
    pub near_latency: u64,
    /// Latency between data centres, in microseconds.
    pub far_latency: u64,
    /// Upper bound of the random addition to a message's latency, in microseconds.
    pub jitter: u64,
    /// Probability that the first copy of a message is lost, in thousandths.
    pub lost: u32,
    /// Probability that an additional copy is sent, in thousandths.
    pub duplicated: u32,
    /// Probability that a copy is late by up to 10 seconds, in thousandths.
    pub late: u32,
}

/// Upper bound of the additional delay of a late message.
const LATE_DELAY_LIMIT_US: u64 = 10_000_000;

impl NetworkPlan {
    /// Returns a network without faults, with the latencies of the present data centres.
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

    /// Returns a network on which loss, duplication and late delivery are frequent.
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

    /// Returns the delay of each copy that arrives, in microseconds.
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
