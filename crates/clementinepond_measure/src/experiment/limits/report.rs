//! Report of the experiment.

use super::fleet::FleetSimulation;
use super::outcome::FleetOutcome;
use super::plan::{FleetPlan, ReservePlan, SECOND};
use super::policy::PolicyKind;
use super::scenario;
use crate::{ExperimentReport, MeasureTable, TargetResult};

/// VMs in each data centre of the present fleet.
const SMALL_FLEET: [usize; 3] = [3, 3, 2];
/// VMs in each data centre of a fleet of 64 VMs.
const MIDDLE_FLEET: [usize; 4] = [16, 16, 16, 16];
/// Chaos runs in one experiment, each with its own seed.
const FAULTY_RUNS: u64 = 12;

/// Runs all scenarios and returns the report.
#[must_use]
pub fn run(seed: u64) -> ExperimentReport {
    let mut report = ExperimentReport::new("limits", seed);
    let mut writer = ReportWriter::default();
    writer.healthy(seed);
    writer.cut_off(seed);
    writer.first_account_load(seed);
    writer.changes(seed);
    writer.faulty(seed);
    writer.finish(&mut report);
    report
}

#[derive(Debug, Default)]
struct ReportWriter {
    over_limit: u64,
    over_limit_generated: u64,
    baseline: MeasureTable,
    current: MeasureTable,
    upper_bound: MeasureTable,
    targets: Vec<TargetResult>,
}

impl ReportWriter {
    fn run_plan(&mut self, plan: FleetPlan) -> FleetOutcome {
        let is_current = plan.policy == PolicyKind::Current;
        let outcome = FleetSimulation::run(plan);
        if is_current {
            self.over_limit += outcome.over_limit() + outcome.audit_breaches;
            self.over_limit_generated += outcome.over_limit_generated();
        }
        outcome
    }

    /// Runs a plan under the static split, which reserves the upper bound, and as given.
    fn run_both(&mut self, plan: &FleetPlan) -> (FleetOutcome, FleetOutcome) {
        let mut baseline = plan.clone();
        baseline.policy = PolicyKind::StaticSplit;
        baseline.reserve = ReservePlan::UpperBound;
        (self.run_plan(baseline), self.run_plan(plan.clone()))
    }

    fn record(&mut self, name: &'static str, baseline: f64, current: f64) {
        self.baseline.insert(name, round(baseline));
        self.current.insert(name, round(current));
    }

    fn healthy(&mut self, seed: u64) {
        let (baseline, current) = self.run_both(&scenario::skewed(seed, &SMALL_FLEET));
        let wrongful = current.wrongful_share();
        self.record("wrongful_refusals", baseline.wrongful_share(), wrongful);
        self.record(
            "wrongful_refusals_by_run",
            baseline.wrongful_share_by_run(),
            current.wrongful_share_by_run(),
        );
        self.record(
            "worst_account",
            baseline.worst_account(),
            current.worst_account(),
        );
        self.record("wait_p99_ms", baseline.wait_p99_ms(), current.wait_p99_ms());
        self.record("bytes_per_vm_8", 0.0, current.bytes_per_vm());
        self.record("stall_p99_ms", 0.0, current.stall_p99_ms());
        self.target("wrongful_refusals_healthy_8", 0.005, wrongful);
        self.record_upper_bound(&scenario::skewed(seed, &SMALL_FLEET));
        let tenth = baseline.wrongful_share() / 10.0;
        self.target("wrongful_refusals_tenth_of_split_8", tenth, wrongful);
        let (baseline, current) = self.run_both(&scenario::skewed(seed, &MIDDLE_FLEET));
        let wrongful = current.wrongful_share();
        self.record("wrongful_refusals_64", baseline.wrongful_share(), wrongful);
        self.record(
            "worst_account_64",
            baseline.worst_account(),
            current.worst_account(),
        );
        self.record("bytes_per_vm_64", 0.0, current.bytes_per_vm());
        self.target("wrongful_refusals_healthy_64", 0.005, wrongful);
        let tenth = baseline.wrongful_share() / 10.0;
        self.target("wrongful_refusals_tenth_of_split_64", tenth, wrongful);
    }

    /// Measures the cost of reserving the upper bound at admission.
    fn record_upper_bound(&mut self, plan: &FleetPlan) {
        let mut plan = plan.clone();
        plan.reserve = ReservePlan::UpperBound;
        let outcome = self.run_plan(plan);
        let measures = &mut self.upper_bound;
        measures.insert("wrongful_refusals", round(outcome.wrongful_share()));
        measures.insert("worst_account", round(outcome.worst_account()));
        measures.insert("bytes_per_vm_8", round(outcome.bytes_per_vm()));
    }

    fn cut_off(&mut self, seed: u64) {
        let (baseline, current) = self.run_both(&scenario::cut_off(seed, &SMALL_FLEET));
        let beyond = current.wrongful_share();
        self.record("wrongful_refusals_cut", baseline.wrongful_share(), beyond);
        self.record(
            "worst_account_cut",
            baseline.worst_account(),
            current.worst_account(),
        );
        self.target("refusals_beyond_cut_off_parts", 0.02, beyond);
    }

    fn first_account_load(&mut self, seed: u64) {
        let (_, idle) = self.run_both(&scenario::first_account_load(seed, &SMALL_FLEET, 0));
        let (baseline, loaded) =
            self.run_both(&scenario::first_account_load(seed, &SMALL_FLEET, 5));
        let change = others_refused(&loaded) - others_refused(&idle);
        self.record(
            "others_refused_beside_5x",
            others_refused(&baseline),
            others_refused(&loaded),
        );
        self.target("others_refused_change_beside_5x", 0.001, change.max(0.0));
    }

    fn changes(&mut self, seed: u64) {
        let (baseline, current) = self.run_both(&scenario::rate_change(seed, &SMALL_FLEET));
        self.record(
            "refused_rate_change",
            baseline.refused_share(),
            current.refused_share(),
        );
    }

    fn faulty(&mut self, seed: u64) {
        for run in 0..FAULTY_RUNS {
            let seed = seed.wrapping_mul(1_000).wrapping_add(run);
            self.run_plan(scenario::chaos(seed, &SMALL_FLEET, 120 * SECOND));
        }
    }

    fn target(&mut self, name: &str, bound: f64, value: f64) {
        self.targets
            .push(TargetResult::at_most(name, round(bound), round(value)));
    }

    fn finish(mut self, report: &mut ExperimentReport) {
        let over = self.over_limit as f64;
        self.target("accounts_over_limit", 0.0, over);
        let generated = self.over_limit_generated as f64;
        self.current
            .insert("accounts_over_limit_by_generation", generated);
        report
            .violations
            .insert("account_over_limit", self.over_limit);
        report.policies.insert("baseline", self.baseline);
        report.policies.insert("current", self.current);
        report
            .policies
            .insert("current_reserving_whole", self.upper_bound);
        report.targets = self.targets;
    }
}

/// Returns the share of refused requests over all accounts but the first.
fn others_refused(outcome: &FleetOutcome) -> f64 {
    let others = outcome.accounts.iter().skip(1);
    let requests: u64 = others.clone().map(|account| account.requests).sum();
    let refused: u64 = others.map(|account| account.refused).sum();
    super::outcome::share(refused, requests)
}

fn round(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}
