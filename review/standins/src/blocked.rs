//! Case on the rule LOST of the news pages: a part of a prompt that crashes runners, and sound
//! requests that share their other parts with it.

use crate::machine::Machine;
use crate::record::Record;
use crate::site::{all_ready, outcome_name};
use crate::{Scratch, Verdict};
use clementinepond_platform_standin::{
    CallRequest, EndpointOptions, RawEndpoint, RawRequest, RawStep, RunChecker, SAMPLE_HOST,
    SAMPLE_KEY, StandinStore, raw_head, sample_configuration, send_call, stream_event,
};
use hyper::Method;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::{Arc, Mutex};
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

/// Returns the answer of a runner: six events, or a crash at the second one.
fn stream(request: &RawRequest) -> Vec<RawStep> {
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len()).into_bytes();
    let head = raw_head(request, "Transfer-Encoding: chunked\r\n");
    let mut steps = vec![RawStep::Write(head)];
    for id in 1..=6 {
        steps.push(RawStep::Pause(Duration::from_millis(60)));
        if id == 2 && request.prompt.contains(CRASHING) {
            steps.push(RawStep::Crash);
        }
        steps.push(RawStep::Write(chunk(&stream_event(id, "v1"))));
    }
    steps.push(RawStep::Write(b"0\r\n\r\n".to_vec()));
    steps
}

fn call(attempt: &str, prompt: String) -> CallRequest {
    CallRequest {
        method: Method::POST,
        host: SAMPLE_HOST.into(),
        path: "/chat/one".into(),
        attempt: attempt.into(),
        key: Some(SAMPLE_KEY.into()),
        model: Some("m0".into()),
        prompt,
        timeout: Duration::from_secs(4),
        body: attempt.as_bytes().to_vec(),
        resumption: None,
    }
}

/// Returns whether a request has the crashing part; drawn anew for each deployment.
fn is_crashing(number: usize, index: usize) -> bool {
    let draw = (index as u64 * 31 + number as u64 * 17 + 3).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (draw >> 33) % 100 < CRASHING_PERCENT
}

/// Plays a deployment; returns whether the rule was broken.
async fn play(
    number: usize,
    record: &Record,
    folder: &std::path::Path,
    has_trouble: bool,
) -> Option<bool> {
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let store = StandinStore::start(any).await.ok()?;
    let checker = RunChecker::default();
    store.put("config", "main", sample_configuration(3, 5_000));
    let mut runners = Vec::new();
    for index in 0..RUNNERS {
        let options = EndpointOptions {
            id: format!("i-7f3a91{index:02}"),
            service: "engines".into(),
            data_centre: "kyushu-a".into(),
            software: "v1".into(),
            models: vec!["m0".into()],
            model_slots: 2,
            slots: 64,
            events: 6,
            event_delay: Duration::from_millis(60),
            at_most_once_prefix: "/chat/".into(),
            downtime: DOWNTIME,
        };
        let runner = RawEndpoint::start(options, &store, &checker, Arc::new(stream));
        runners.push(runner.await.ok()?);
    }
    let start = |index| {
        let name = format!("edge-{number}-{index}");
        Machine::start(&name, "kyushu-a", store.address(), folder)
    };
    let machines: Vec<Machine> = (0..MACHINES).map(start).collect();
    if !all_ready(&machines).await {
        return None;
    }
    let crash_times: Arc<Mutex<Vec<u64>>> = Arc::default();
    let (times, watched, clock) = (Arc::clone(&crash_times), checker.clone(), record.clone());
    let watch = tokio::spawn(async move {
        loop {
            while times.lock().unwrap().len() < watched.crashes() {
                times.lock().unwrap().push(clock.millis());
                clock.note(&format!("deployment {number}: a runner has crashed"));
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
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
        let request = call(&attempt, prompt);
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
    watch.abort();
    let crash_times = crash_times.lock().unwrap().clone();
    let began: BTreeSet<String> = checker.runs().into_iter().map(|run| run.attempt).collect();
    for attempt in &began {
        record.note(&format!("run attempt={attempt}"));
    }
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
