//! Case on the rule LOST of the news pages: a part of a prompt that crashes runners, and sound
//! requests that share their other parts with it.

use crate::machine::Machine;
use crate::record::Record;
use crate::runner::{Arrivals, Runner, Streams};
use crate::site::{ENGINES, MODEL, all_ready, call, configuration, outcome_name};
use crate::store::Store;
use crate::{Scratch, Verdict};
use clementinepond_platform_standin::{CallRequest, send_call};
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

/// Deployments that are played side by side, each for itself.
const DEPLOYMENTS: usize = 20;
/// Machines and runners of a deployment.
const MACHINES: usize = 3;
const RUNNERS: usize = 12;
/// Time from a crash of a runner until it is back.
const DOWNTIME: Duration = Duration::from_secs(2);
/// Part that crashes each runner that begins to write an answer on it.
const CRASHING: &str = "0ddba11";
/// Bound `contact_ms`.
const CONTACT_MS: u64 = 3_000;
/// Requests of each kind that the rule asks for.
const MIN_REQUESTS: usize = 20;
const REQUEST_GAP: Duration = Duration::from_millis(50);
/// Requests with the shared parts, from the start of the service on.
const DURING: usize = 480;
/// Share of them with the crashing part.
const CRASHING_PERCENT: u64 = 75;
/// Time after them in which all runners are back and the crashes are over for `contact_ms`.
const CALM: Duration = Duration::from_secs(6);
/// Requests of the same client and route with other parts, after that.
const AFTER: usize = 80;

/// Request of a client and whether it has the crashing part.
struct Sent {
    attempt: String,
    at_ms: u64,
    crashes: bool,
}

/// Plays the deployments; the rule is broken if it is in one of them.
pub async fn shared_parts(record: &Record, scratch: &Scratch, has_trouble: bool) -> Verdict {
    let played = (0..DEPLOYMENTS).map(|number| {
        let (record, folder) = (record.clone(), scratch.0.clone());
        tokio::spawn(async move { play(number, &record, &folder, has_trouble).await })
    });
    let played: Vec<_> = played.collect();
    let mut broken = 0;
    for one in played {
        match one.await {
            Ok(Some(is_broken)) => broken += usize::from(is_broken),
            _ => return Verdict::CouldNotRun("a deployment could not be played".to_owned()),
        }
    }
    record.say(&format!("broken in {broken} of {DEPLOYMENTS} deployments"));
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Returns a request that differs from all others in its body and the last part of its prompt.
fn prompt_call(attempt: &str, prompt: String) -> CallRequest {
    CallRequest {
        prompt,
        body: attempt.as_bytes().to_vec(),
        ..call(attempt, "/lohu930/2f", Some(MODEL.to_owned()))
    }
}

/// Returns whether a request has the crashing part; drawn anew for each deployment.
fn is_crashing(number: usize, index: usize) -> bool {
    let draw = (index as u64 * 31 + number as u64 * 17 + 3).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (draw >> 33) % 100 < CRASHING_PERCENT
}

/// Plays a deployment; returns whether the rule was broken.
async fn play(number: usize, record: &Record, folder: &Path, has_trouble: bool) -> Option<bool> {
    let store = Store::start(record).await.ok()?;
    let arrivals = Arrivals::default();
    store.put("config", "main", configuration(3));
    let streams = Streams {
        events: 6,
        delay: Duration::from_millis(60),
        crashing: Some(CRASHING),
        downtime: DOWNTIME,
    };
    let mut runners = Vec::new();
    for index in 0..RUNNERS {
        let id = format!("i-7f3a91{index:02}");
        let (zone, work) = ("kyushu-a", Duration::ZERO);
        let runner = Runner::start_with(
            &id,
            ENGINES,
            zone,
            &[MODEL],
            work,
            streams,
            &store,
            &arrivals,
        );
        runners.push(runner.await.ok()?);
    }
    let start = |index| {
        let name = format!("edge-{number}-{index}");
        Machine::start(&name, "kyushu-a", store.address, folder)
    };
    let machines: Vec<Machine> = (0..MACHINES).map(start).collect();
    if !all_ready(&machines).await {
        return None;
    }
    let mut sent = Vec::new();
    for index in 0..DURING + AFTER {
        if index == DURING {
            tokio::time::sleep(CALM).await;
        }
        let own = format!("{:x}", 0x7000_0000 + index);
        let attempt = format!("d{number}-{index:04}");
        let crashes = has_trouble && index < DURING && is_crashing(number, index);
        let prompt = match (index >= DURING, crashes) {
            (true, _) => format!("cc5501:30,dd6602:50,{own}:20"),
            (false, false) => format!("aaaa01:30,beef02:50,{own}:20"),
            (false, true) => format!("aaaa01:30,beef02:50,{CRASHING}:50,{own}:20"),
        };
        let request = prompt_call(&attempt, prompt);
        let address = machines[index % MACHINES].frontend;
        sent.push(Sent {
            attempt: attempt.clone(),
            at_ms: record.millis(),
            crashes,
        });
        let record = record.clone();
        tokio::spawn(async move {
            let outcome = send_call(address, request).await;
            record.note(&format!(
                "client attempt={attempt} crashing={crashes} answer={}",
                outcome_name(&outcome)
            ));
        });
        tokio::time::sleep(REQUEST_GAP).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let crash_times = arrivals.crashes.lock().unwrap().clone();
    let runs = arrivals.runs.lock().unwrap().clone();
    let began: BTreeSet<String> = runs.into_iter().map(|run| run.attempt).collect();
    let share = |all: &[&Sent]| {
        let begun = all
            .iter()
            .filter(|one| began.contains(&one.attempt))
            .count();
        (begun, all.len())
    };
    let after: Vec<&Sent> = sent[DURING..].iter().collect();
    let counted_from = crash_times.get(4).or(crash_times.last()).copied();
    let counted_from = counted_from.map_or(0, |at| at + 2 * CONTACT_MS);
    let during: Vec<&Sent> = sent[..DURING]
        .iter()
        .filter(|one| !one.crashes && one.at_ms >= counted_from)
        .collect();
    let (after, during) = (share(&after), share(&during));
    let rate = |(begun, all): (usize, usize)| begun as f64 / all.max(1) as f64;
    let is_broken =
        after.1 >= MIN_REQUESTS && during.1 >= MIN_REQUESTS && rate(during) < 0.5 * rate(after);
    record.say(&format!(
        "deployment {number}: {} crashes; sound requests that began: {} of {} from \
         2 x contact_ms after the fifth, {} of {} outside of disruption{}",
        crash_times.len(),
        during.0,
        during.1,
        after.0,
        after.1,
        if is_broken { ": broken" } else { "" }
    ));
    let blocked = machines.iter().flat_map(|machine| {
        let log = std::fs::read_to_string(folder.join(format!("{}.log", machine.name)));
        let log = log.unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains("source=evidence"));
        lines.map(str::to_owned).collect::<Vec<_>>()
    });
    for line in blocked {
        record.note(&format!("deployment {number}: log of a machine: {line}"));
    }
    Some(is_broken)
}
