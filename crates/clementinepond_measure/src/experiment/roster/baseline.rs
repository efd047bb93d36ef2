//! Simplest honest policy: every VM reads the platform's list itself and uses
//! an even part of the data centre for each VM that the list shows.

use super::name;
use super::traffic::ratio;
use crate::MeasureTable;
use clementinepond_decide::roster::WHOLE_PARTS;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Seconds between two reads of the list by one VM.
const LIST_PERIOD: u64 = 5;
/// Longest lag of the list, in seconds.
const LIST_LAG: u64 = 30;
/// Seconds between two replacements of a VM.
const REPLACE_PERIOD: u64 = 20;
/// Data centres.
const CENTRES: usize = 4;
/// Waiting watches of one VM: configuration, tables, withdrawn keys.
const WATCHES: u64 = 3;
/// Seconds that a watch waits.
const WATCH_WAIT: u64 = 25;

/// One VM of the baseline.
#[derive(Debug, Clone)]
struct PollingVm {
    centre: usize,
    listed_from: u64,
    listed_until: u64,
    runs: bool,
    parts: u32,
    phase: u64,
}

/// Runs the policy and measures calls and seconds over the whole.
pub(super) fn run_baseline(seed: u64, vms: usize, length: u64, measures: &mut MeasureTable) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet: Vec<PollingVm> = (0..vms)
        .map(|slot| PollingVm {
            centre: slot % CENTRES,
            listed_from: 0,
            listed_until: u64::MAX,
            runs: true,
            parts: 0,
            phase: random.random_range(0..LIST_PERIOD),
        })
        .collect();
    let mut calls = 0;
    let mut over = 0;
    for second in 1..=length {
        if second.is_multiple_of(REPLACE_PERIOD) {
            replace(&mut fleet, second, &mut random);
        }
        calls += poll(&mut fleet, second);
        over += u64::from(is_over(&fleet));
    }
    let watches = ratio(WATCHES * vms as u64, WATCH_WAIT);
    let rate = ratio(calls, length) + watches;
    measures.insert(name("platform_calls_per_s", vms), rate);
    measures.insert(name("over_whole_s", vms), over as f64);
}

fn replace(fleet: &mut Vec<PollingVm>, second: u64, random: &mut ChaCha8Rng) {
    let victim = random.random_range(0..fleet.len());
    let lag = random.random_range(0..LIST_LAG);
    let Some(vm) = fleet.get_mut(victim).filter(|vm| vm.runs) else {
        return;
    };
    vm.runs = false;
    vm.listed_until = second + lag;
    let next = PollingVm {
        listed_from: second + random.random_range(0..LIST_LAG),
        listed_until: u64::MAX,
        runs: true,
        parts: 0,
        ..vm.clone()
    };
    fleet.push(next);
}

/// Lets each VM whose turn it is read the list; returns the calls.
fn poll(fleet: &mut [PollingVm], second: u64) -> u64 {
    let mut listed = [0_u32; CENTRES];
    for vm in fleet.iter() {
        let is_listed = vm.listed_from <= second && second < vm.listed_until;
        if let Some(count) = listed.get_mut(vm.centre) {
            *count += u32::from(is_listed);
        }
    }
    let mut calls = 0;
    for vm in fleet.iter_mut().filter(|vm| vm.runs) {
        if second % LIST_PERIOD == vm.phase {
            let count = listed.get(vm.centre).copied().unwrap_or(1);
            vm.parts = WHOLE_PARTS / count.max(1);
            calls += 1;
        }
    }
    calls
}

fn is_over(fleet: &[PollingVm]) -> bool {
    (0..CENTRES).any(|centre| {
        let running = fleet.iter().filter(|vm| vm.runs && vm.centre == centre);
        running.map(|vm| vm.parts).sum::<u32>() > WHOLE_PARTS
    })
}
