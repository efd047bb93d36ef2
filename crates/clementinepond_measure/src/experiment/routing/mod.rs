//! Simulation of request routing from several VMs to engines that batch and cache.
//!
//! Each VM has a production route table that receives delayed reports and
//! delayed, incomplete cache events. The same arrivals, at 80% of the engines'
//! capacity, are routed at random, by the least reported load and by the route
//! table.

mod engine;
mod policy;
mod simulation;

use crate::{ExperimentReport, MeasureTable, TargetResult};
use policy::RoutePolicy;
use simulation::{RouteOutcome, RoutingSimulation, SimulationSize};

/// Required share of requests whose first token and token interval are in time.
const WITHIN_BOUNDS_TARGET: f64 = 0.95;

/// Runs the experiment at full size: 8 VMs, 24 engines and 60 seconds.
#[must_use]
pub fn run(seed: u64) -> ExperimentReport {
    run_size(seed, SimulationSize::full())
}

/// Runs the experiment at test size: 4 VMs, 8 engines and 15 seconds.
#[must_use]
pub fn run_short(seed: u64) -> ExperimentReport {
    run_size(seed, SimulationSize::short())
}

fn run_size(seed: u64, size: SimulationSize) -> ExperimentReport {
    let mut report = ExperimentReport::new("routing", seed);
    let outcome = |policy| RoutingSimulation::new(size, policy, seed).run();
    let random = outcome(RoutePolicy::Random);
    let least = outcome(RoutePolicy::LeastReported);
    let current = outcome(RoutePolicy::RouteTable);
    for outcome in [&random, &least, &current] {
        *report
            .violations
            .entry("sent_to_leaving_endpoint")
            .or_default() += outcome.sent_to_leaving;
        *report.violations.entry("requests_lost").or_default() += outcome.lost;
    }
    report.targets = targets(&random, &least, &current);
    report.policies.insert("baseline", measures(&random));
    report.policies.insert("least_reported", measures(&least));
    report.policies.insert("current", measures(&current));
    report
}

fn targets(
    random: &RouteOutcome,
    least: &RouteOutcome,
    current: &RouteOutcome,
) -> Vec<TargetResult> {
    let within = current.share_within();
    vec![
        TargetResult::at_least("share within both bounds", WITHIN_BOUNDS_TARGET, within),
        TargetResult::at_least(
            "share within both bounds, beside random",
            random.share_within(),
            within,
        ),
        TargetResult::at_least(
            "share within both bounds, beside least reported load",
            least.share_within(),
            within,
        ),
        TargetResult::at_least(
            "prefix reuse beside random",
            random.prefix_reuse(),
            current.prefix_reuse(),
        ),
        TargetResult::at_least(
            "prefix reuse beside least reported load",
            least.prefix_reuse(),
            current.prefix_reuse(),
        ),
    ]
}

fn measures(outcome: &RouteOutcome) -> MeasureTable {
    MeasureTable::from([
        ("share_within_bounds", outcome.share_within()),
        ("share_first_token", outcome.share_first_token()),
        ("share_between_tokens", outcome.share_between_tokens()),
        ("prefix_reuse", outcome.prefix_reuse()),
        ("first_token_mean_ms", outcome.first_token_mean_ms()),
        ("requests", outcome.started as f64),
    ])
}
