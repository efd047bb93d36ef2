//! Cost of one VM's control work at several sizes, in wall-clock time.
//!
//! A production node reducer receives the events of an idle VM: ticks and
//! endpoint reports. Accounts, endpoints, models and reports per second are
//! increased one at a time. A line is fitted to each series, and the cost at
//! the target size is estimated from the slopes. Results depend on the machine
//! and differ between runs.

mod fit;
mod node_load;

use crate::{ExperimentReport, TargetResult};
use fit::LineFit;
use node_load::{LoadCost, LoadSize};
use std::collections::BTreeMap;

/// Upper limit on control work, as a share of one core.
const CORE_SHARE_LIMIT: f64 = 0.016;
/// Upper limit on the memory of the reducer's state, in MB.
const MEMORY_LIMIT_MB: f64 = 128.0;
/// Size of the two-year growth target.
const TARGET_SIZE: LoadSize = LoadSize {
    accounts: 1_000,
    endpoints: 600,
    models: 300,
    reports_per_second: REPORTS_PER_SECOND,
};
/// Endpoint reports that one VM reads per second when the VMs of a data centre share the reads.
const REPORTS_PER_SECOND: usize = 4;
/// Smallest size; each series increases one of its dimensions.
const BASE_SIZE: LoadSize = LoadSize {
    accounts: 50,
    endpoints: 50,
    models: 50,
    reports_per_second: REPORTS_PER_SECOND,
};

/// Runs the experiment and compares its results with the limits.
#[must_use]
pub fn run(seed: u64) -> ExperimentReport {
    let mut report = ExperimentReport::new("capacity", seed);
    // Measured first: later runs would reuse memory freed by earlier ones and show less growth.
    let measured = node_load::measure(TARGET_SIZE, seed);
    let accounts = fit_series(seed, &[50, 250, 500, 1_000], |size, value| {
        size.accounts = value
    });
    let endpoints = fit_series(seed, &[50, 150, 300, 600], |size, value| {
        size.endpoints = value
    });
    let models = fit_series(seed, &[50, 100, 200, 300], |size, value| {
        size.models = value
    });
    let reports_per_second = fit_series(seed, &[4, 100, 600, 1_200], |size, value| {
        size.reports_per_second = value
    });
    let mut measures = BTreeMap::new();
    insert_fit(
        &mut measures,
        ["account_core_slope", "account_core_residual"],
        &accounts,
    );
    insert_fit(
        &mut measures,
        ["endpoint_core_slope", "endpoint_core_residual"],
        &endpoints,
    );
    insert_fit(
        &mut measures,
        ["model_core_slope", "model_core_residual"],
        &models,
    );
    insert_fit(
        &mut measures,
        ["reading_core_slope", "reading_core_residual"],
        &reports_per_second,
    );
    let base = node_load::measure(BASE_SIZE, seed).core_share;
    let estimated = base
        + accounts.slope * delta(TARGET_SIZE.accounts, BASE_SIZE.accounts)
        + endpoints.slope * delta(TARGET_SIZE.endpoints, BASE_SIZE.endpoints)
        + models.slope * delta(TARGET_SIZE.models, BASE_SIZE.models);
    measures.insert("core_share_worked_out", estimated);
    measures.insert("core_share_measured", measured.core_share);
    measures.insert("memory_mb_measured", measured.memory_mb);
    let requests = node_load::request_cost(TARGET_SIZE, seed);
    measures.insert("request_core_us", requests.micros);
    report
        .violations
        .insert("requests_not_dispatched", requests.not_dispatched);
    report.policies.insert("current", measures);
    report.targets.push(TargetResult::at_most(
        "core share of one VM at the target size, worked out from slopes",
        CORE_SHARE_LIMIT,
        estimated,
    ));
    report.targets.push(TargetResult::at_most(
        "core share of one VM at the target size, measured",
        CORE_SHARE_LIMIT,
        measured.core_share,
    ));
    report.targets.push(TargetResult::at_most(
        "memory of the reducer's state at the target size, MB",
        MEMORY_LIMIT_MB,
        measured.memory_mb,
    ));
    report
}

fn fit_series(seed: u64, values: &[usize], set: impl Fn(&mut LoadSize, usize)) -> LineFit {
    let points: Vec<(f64, f64)> = values
        .iter()
        .map(|&value| {
            let mut size = BASE_SIZE;
            set(&mut size, value);
            let LoadCost { core_share, .. } = node_load::measure(size, seed);
            (value as f64, core_share)
        })
        .collect();
    LineFit::through(&points)
}

fn insert_fit(measures: &mut BTreeMap<&'static str, f64>, names: [&'static str; 2], fit: &LineFit) {
    let [slope, residual] = names;
    measures.insert(slope, fit.slope);
    measures.insert(residual, fit.residual);
}

fn delta(target: usize, base: usize) -> f64 {
    target as f64 - base as f64
}
