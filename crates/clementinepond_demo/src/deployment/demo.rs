//! One run of a deployment under its callers' load.

use super::{DemoReport, Deployment};
use crate::fleet::{FleetError, RunningFleet};
use clementinepond_standin::load::{LoadReport, run_load};
use clementinepond_types::TimeSpan;
use std::collections::BTreeMap;
use tokio_util::sync::CancellationToken;

/// Accelerators of all engines of a demo.
const ACCELERATORS: f64 = 72.0;

/// What to run.
#[derive(Debug, Clone, Copy)]
pub struct DemoOptions {
    /// The deployment.
    pub deployment: Deployment,
    /// Time during which callers send.
    pub duration: TimeSpan,
    /// Requests a second over all callers.
    pub rate: f64,
    /// Seed of the load.
    pub seed: u64,
}

/// Runs a deployment under its callers' load.
///
/// # Errors
///
/// Fails when the deployment does not start.
pub async fn run_demo(
    options: DemoOptions,
    mut progress: impl FnMut(&str),
) -> Result<DemoReport, FleetError> {
    progress("starting the platform, the endpoints and the VMs");
    let fleet = RunningFleet::start(options.deployment.plan()?).await?;
    progress(&format!(
        "{} VMs are ready; callers send {} requests a second for {}",
        fleet.vms.len(),
        options.rate,
        options.duration
    ));
    let mut load = options
        .deployment
        .load(options.rate, options.duration, options.seed);
    load.targets = fleet.vms.iter().map(|vm| vm.caller).collect();
    let calls_before = platform_calls(&fleet);
    let report = run_load(load, CancellationToken::new()).await;
    let calls = platform_calls(&fleet) - calls_before;
    progress("callers are done; the VMs stop gracefully");
    let doubled = doubled_runs(&fleet);
    let moves = order_count(&fleet);
    fleet.stop().await;
    Ok(summary(options, report, calls, doubled, moves))
}

fn platform_calls(fleet: &RunningFleet) -> f64 {
    let calls = fleet.platform.calls();
    (calls.reads + calls.writes + calls.watches) as f64
}

/// Counts calls of plain services that ran more than once.
fn doubled_runs(fleet: &RunningFleet) -> u64 {
    let mut runs: BTreeMap<Box<str>, u64> = BTreeMap::new();
    for service in &fleet.services {
        for (body, count) in service.record().runs_by_body() {
            // Reports are read with an empty body.
            if !body.is_empty() {
                *runs.entry(body.clone()).or_default() += count;
            }
        }
    }
    runs.values().map(|count| count.saturating_sub(1)).sum()
}

fn order_count(fleet: &RunningFleet) -> u64 {
    let records = fleet.engines.iter().map(|engine| engine.record());
    let orders = records.map(|record| {
        let calls = record.calls();
        calls.iter().filter(|call| &*call.path == "/orders").count() as u64
    });
    orders.sum()
}

fn summary(
    options: DemoOptions,
    load: LoadReport,
    calls: f64,
    doubled: u64,
    moves: u64,
) -> DemoReport {
    let refused = load.by_status.get(&429).copied().unwrap_or(0);
    let seconds = options.duration.micros() as f64 / 1e6;
    let worst = load
        .by_caller
        .values()
        .map(|caller| share(caller.answered, caller.sent))
        .fold(1.0, f64::min);
    DemoReport {
        deployment: options.deployment.to_string().into(),
        seed: options.seed,
        violations: BTreeMap::from([
            ("wrong_answers", load.wrong),
            (
                "incomplete_answers",
                load.incomplete + load.broken + load.timed_out,
            ),
            ("doubled_runs", doubled),
        ]),
        answered_share: share(load.answered, load.sent),
        worst_account: worst,
        wrongful_refusals: refused,
        attainment_per_accelerator: load.answered as f64 / seconds / ACCELERATORS,
        moves,
        platform_calls: calls / seconds,
        load,
    }
}

fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 1.0;
    }
    part as f64 / whole as f64
}
