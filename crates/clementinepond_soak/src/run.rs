//! One run: start, faults, calm, checks.

use crate::SoakError;
use crate::callers::{CallLog, CallRecord, draw_call, run_caller};
use crate::check::find_violations;
use crate::fault::{PlannedFault, draw_schedule};
use crate::world::{ENDPOINTS, SoakWorld, VMS};
use clementinepond_platform_standin::{CallOutcome, send_call};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Callers of one run.
const CALLERS: u64 = 10;
/// Time for which a run may take to serve again after its last fault: a whole
/// change of the placement duty's holder with room for a busy machine.
const RECOVERY_LIMIT: Duration = Duration::from_secs(20);

/// What to run.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Seed of the schedule.
    pub seed: u64,
    /// Span over which faults begin.
    pub span: Duration,
    /// The program `clementinepond`.
    pub program: PathBuf,
    /// Folder for settings and logs of the run.
    pub folder: PathBuf,
}

/// What came of a run.
#[derive(Debug, Clone)]
pub struct SoakReport {
    /// Seed.
    pub seed: u64,
    /// Calls made.
    pub calls: usize,
    /// Calls answered with success.
    pub served: usize,
    /// Faults injected.
    pub faults: Vec<String>,
    /// Promises broken.
    pub violations: Vec<String>,
}

/// Runs one seed.
///
/// # Errors
///
/// Fails when processes or sockets cannot be had.
pub async fn run_soak(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    std::fs::create_dir_all(&options.folder)?;
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let schedule = draw_schedule(&mut random, VMS, ENDPOINTS, options.span);
    let mut world = SoakWorld::start(&options.program, options.folder.clone()).await?;
    let entries: Vec<SocketAddrV4> = world.entries.iter().map(|entry| entry.callers).collect();
    let mut violations = Vec::new();
    if !serves_again(&entries, options.seed, "start").await {
        violations.push("a VM did not serve after its start".into());
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
    play(&mut world, &schedule).await?;
    if !serves_again(&entries, options.seed, "end").await {
        violations.push("a VM did not serve again after the last fault".into());
    }
    stop.send_replace(true);
    for caller in callers {
        if caller.await.is_err() {
            violations.push("a caller of the soak panicked".into());
        }
    }
    let calls: Vec<CallRecord> = log.lock().unwrap_or_else(PoisonError::into_inner).clone();
    violations.extend(find_violations(&world.judge, &calls));
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

/// Begins and ends the faults at their times.
async fn play(world: &mut SoakWorld, schedule: &[PlannedFault]) -> Result<(), SoakError> {
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
            world.begin(planned.fault);
        } else {
            world.end(planned.fault)?;
        }
    }
    // A VM that got SIGTERM uses its grace; then it is started again.
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    world.revive()
}

/// Tells whether every VM serves every kind of request within the limit.
async fn serves_again(entries: &[SocketAddrV4], seed: u64, mark: &str) -> bool {
    let until = Instant::now() + RECOVERY_LIMIT;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    for (index, &entry) in entries.iter().enumerate() {
        let mut in_row = 0;
        let mut count = 0;
        while in_row < 6 {
            if Instant::now() > until {
                return false;
            }
            let attempt = format!("s{seed}-{mark}-{index}-{count}");
            count += 1;
            let (call, _) = draw_call(&mut random, &attempt);
            match send_call(entry, call).await {
                CallOutcome::Answer { status, .. } if status.is_success() => in_row += 1,
                _ => {
                    in_row = 0;
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }
    true
}
