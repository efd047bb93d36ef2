//! Phases of a run: start, faults, recovery and checks.

use crate::SoakError;
use crate::callers::{CallLog, CallRecord, draw_call, run_caller};
use crate::check::{find_limit_excess, find_violations};
use crate::deployment::{ENDPOINTS, SoakDeployment, VMS};
use crate::fault::{PlannedFault, draw_schedule};
use clementinepond_platform_standin::{CallOutcome, send_call};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Number of concurrent callers in a run.
const CALLERS: u64 = 10;
/// Maximum time until all VMs serve again, after the start or the last fault; covers a
/// complete change of the placement lease's holder on a busy machine.
const RECOVERY_LIMIT: Duration = Duration::from_secs(20);

/// Options of a run.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Seed of the fault schedule and the callers' requests.
    pub seed: u64,
    /// Time within which faults start.
    pub fault_window: Duration,
    /// Path of the `clementinepond` program.
    pub program: PathBuf,
    /// Folder for the settings and logs of the VMs.
    pub folder: PathBuf,
}

/// Results of a run.
#[derive(Debug, Clone)]
pub struct SoakReport {
    /// Seed that the run used.
    pub seed: u64,
    /// Number of calls that the callers made.
    pub calls: usize,
    /// Number of calls answered with a success status.
    pub served: usize,
    /// Descriptions of the scheduled faults.
    pub faults: Vec<String>,
    /// Descriptions of the violated invariants.
    pub violations: Vec<String>,
}

/// Runs the soak test with one seed.
///
/// # Errors
///
/// Fails when the folder, a socket or a process cannot be created, or a VM does not
/// print its addresses.
pub async fn run_soak(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    std::fs::create_dir_all(&options.folder)?;
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let schedule = draw_schedule(&mut random, VMS, ENDPOINTS, options.fault_window);
    let mut deployment = SoakDeployment::start(&options.program, options.folder.clone()).await?;
    let entries: Vec<SocketAddrV4> = deployment
        .entries
        .iter()
        .map(|entry| entry.caller_address)
        .collect();
    let mut violations = Vec::new();
    if !serves_within_limit(&entries, options.seed, "start").await {
        violations.push(
            "a VM did not serve 6 requests in a row within the recovery limit after its start"
                .into(),
        );
    }
    let log = CallLog::default();
    let (stop, stopped) = watch::channel(false);
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let entries = entries.clone();
            let caller = run_caller(options.seed, number, entries, log.clone(), stopped.clone());
            tokio::spawn(caller)
        })
        .collect();
    let started = std::time::Instant::now();
    run_schedule(&mut deployment, &schedule).await?;
    if !serves_within_limit(&entries, options.seed, "end").await {
        violations.push(
            "a VM did not serve 6 requests in a row within the recovery limit after the last fault"
                .into(),
        );
    }
    stop.send_replace(true);
    for caller in callers {
        if caller.await.is_err() {
            violations.push("a caller of the soak panicked".into());
        }
    }
    let calls: Vec<CallRecord> = log.lock().unwrap_or_else(PoisonError::into_inner).clone();
    violations.extend(find_violations(&deployment.checker, &calls));
    violations.extend(find_limit_excess(&deployment.checker, &schedule, started));
    let is_served = |call: &&CallRecord| matches!(&call.outcome, CallOutcome::Answer { status, .. } if status.is_success());
    Ok(SoakReport {
        seed: options.seed,
        calls: calls.len(),
        served: calls.iter().filter(is_served).count(),
        faults: schedule
            .iter()
            .map(|planned| format!("{planned:?}"))
            .collect(),
        violations,
    })
}

/// Starts and ends the faults at their scheduled times, then restarts all VMs that
/// ended.
async fn run_schedule(
    deployment: &mut SoakDeployment,
    schedule: &[PlannedFault],
) -> Result<(), SoakError> {
    let start = Instant::now();
    let mut steps: Vec<(Duration, bool, &PlannedFault)> = Vec::new();
    for planned in schedule {
        steps.push((planned.at, true, planned));
        steps.push((planned.at + planned.length, false, planned));
    }
    steps.sort_by_key(|(at, ..)| *at);
    for (at, begins, planned) in steps {
        tokio::time::sleep_until(start + at).await;
        if begins {
            deployment.begin(planned.fault);
        } else {
            deployment.end(planned.fault)?;
        }
    }
    // A VM that got SIGTERM may use its whole grace period of 4 s before it ends.
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    deployment.restart_ended()
}

/// Returns whether every VM serves 6 random requests in a row within
/// `RECOVERY_LIMIT`, which applies to all VMs together.
async fn serves_within_limit(entries: &[SocketAddrV4], seed: u64, stage: &str) -> bool {
    let until = Instant::now() + RECOVERY_LIMIT;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    for (index, &entry) in entries.iter().enumerate() {
        let mut consecutive = 0;
        let mut count = 0;
        while consecutive < 6 {
            if Instant::now() > until {
                return false;
            }
            let attempt = format!("s{seed}-{stage}-{index}-{count}");
            count += 1;
            let (call, _) = draw_call(&mut random, &attempt);
            match send_call(entry, call).await {
                CallOutcome::Answer { status, .. } if status.is_success() => consecutive += 1,
                _ => {
                    consecutive = 0;
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }
    true
}
