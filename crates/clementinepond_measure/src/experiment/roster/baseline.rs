//! Baseline policy: every VM polls the platform's VM list itself and uses an
//! equal share of the data centre's parts, divided by the number of listed VMs.

use super::name;
use super::traffic::ratio;
use crate::MeasureTable;
use clementinepond_decide::roster::WHOLE_PARTS;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Interval between two reads of the list by one VM, in seconds.
const LIST_PERIOD_S: u64 = 5;
/// Upper bound (exclusive) of the delay until the list shows a change, in seconds.
const MAX_LIST_LAG_S: u64 = 30;
/// Interval between attempts to replace a random VM, in seconds.
const REPLACE_PERIOD_S: u64 = 20;
/// Number of data centres.
const DATA_CENTRES: usize = 4;
/// Pending watches per VM: configuration, roster tables and withdrawn keys.
const WATCHES_PER_VM: u64 = 3;
/// Time after which a pending watch is renewed, in seconds.
const WATCH_WAIT_S: u64 = 25;

/// VM that polls the list; `phase` is its second within the poll interval.
#[derive(Debug, Clone)]
struct PollingVm {
    centre: usize,
    listed_from: u64,
    listed_until: u64,
    is_running: bool,
    parts: u32,
    phase: u64,
}

/// Runs the policy; measures platform calls, and the seconds in which the VMs
/// of a data centre together use more than all of its parts.
pub(super) fn run_baseline(seed: u64, vms: usize, length: u64, measures: &mut MeasureTable) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet: Vec<PollingVm> = (0..vms)
        .map(|slot| PollingVm {
            centre: slot % DATA_CENTRES,
            listed_from: 0,
            listed_until: u64::MAX,
            is_running: true,
            parts: 0,
            phase: random.random_range(0..LIST_PERIOD_S),
        })
        .collect();
    let mut calls = 0;
    let mut over = 0;
    for second in 1..=length {
        if second.is_multiple_of(REPLACE_PERIOD_S) {
            replace(&mut fleet, second, &mut random);
        }
        calls += poll(&mut fleet, second);
        over += u64::from(is_over(&fleet));
    }
    let watches = ratio(WATCHES_PER_VM * vms as u64, WATCH_WAIT_S);
    let rate = ratio(calls, length) + watches;
    measures.insert(name("platform_calls_per_s", vms), rate);
    measures.insert(name("over_whole_s", vms), over as f64);
}

fn replace(fleet: &mut Vec<PollingVm>, second: u64, random: &mut ChaCha8Rng) {
    let victim = random.random_range(0..fleet.len());
    let lag = random.random_range(0..MAX_LIST_LAG_S);
    let Some(vm) = fleet.get_mut(victim).filter(|vm| vm.is_running) else {
        return;
    };
    vm.is_running = false;
    vm.listed_until = second + lag;
    let next = PollingVm {
        listed_from: second + random.random_range(0..MAX_LIST_LAG_S),
        listed_until: u64::MAX,
        is_running: true,
        parts: 0,
        ..vm.clone()
    };
    fleet.push(next);
}

/// Reads the list for each VM that is due, and returns the number of calls.
fn poll(fleet: &mut [PollingVm], second: u64) -> u64 {
    let mut listed = [0_u32; DATA_CENTRES];
    for vm in fleet.iter() {
        let is_listed = vm.listed_from <= second && second < vm.listed_until;
        if let Some(count) = listed.get_mut(vm.centre) {
            *count += u32::from(is_listed);
        }
    }
    let mut calls = 0;
    for vm in fleet.iter_mut().filter(|vm| vm.is_running) {
        if second % LIST_PERIOD_S == vm.phase {
            let count = listed.get(vm.centre).copied().unwrap_or(1);
            vm.parts = WHOLE_PARTS / count.max(1);
            calls += 1;
        }
    }
    calls
}

fn is_over(fleet: &[PollingVm]) -> bool {
    (0..DATA_CENTRES).any(|centre| {
        let running = fleet
            .iter()
            .filter(|vm| vm.is_running && vm.centre == centre);
        running.map(|vm| vm.parts).sum::<u32>() > WHOLE_PARTS
    })
}
