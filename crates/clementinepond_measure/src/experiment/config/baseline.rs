//! Baseline policy: every VM polls the configuration from the platform.

use crate::MeasureTable;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Interval between reads by one VM, in seconds.
const READ_INTERVAL_S: u64 = 10;
/// Duration of one read, in milliseconds.
const READ_DURATION_MS: u64 = 5;

/// Records platform calls per second and the seconds until a change is in force
/// on every VM.
pub(super) fn run_baseline(seed: u64, vms: usize, measures: &mut MeasureTable) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let changed = random.random_range(0..READ_INTERVAL_S * 1_000);
    let mut calls = 0_u64;
    let mut last = 0;
    for _ in 0..vms {
        let phase = random.random_range(0..READ_INTERVAL_S * 1_000);
        let mut at = phase;
        while at < changed {
            at += READ_INTERVAL_S * 1_000;
        }
        last = last.max(at + READ_DURATION_MS - changed);
        calls += 1;
    }
    let (calls_name, time_name) = match vms {
        8 => ("platform_calls_per_s_8", "in_force_s_8"),
        64 => ("platform_calls_per_s_64", "in_force_s_64"),
        _ => ("platform_calls_per_s_390", "in_force_s_390"),
    };
    measures.insert(calls_name, calls as f64 / READ_INTERVAL_S as f64);
    measures.insert(time_name, last as f64 / 1_000.0);
}
