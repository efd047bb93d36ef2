//! Cases on the rule DRAIN: requests that reach a runner long after it has announced that it
//! leaves.

use crate::machine::Machine;
use crate::record::Record;
use crate::runner::{Arrivals, HEARTBEAT, Runner};
use crate::site::{APP, all_ready, call, configuration, outcome_name};
use crate::store::Store;
use crate::{Scratch, Verdict};
use clementinepond_platform_standin::{CallOutcome, send_call};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Bound `drain_ms`.
const DRAIN_MS: u64 = 2_000;
/// Time for which a leaving runner serves beyond `drain_ms`.
const LINGER_MS: u64 = 1_500;

/// Outcomes of the clients' requests by attempt.
type Outcomes = Arc<Mutex<BTreeMap<String, String>>>;

/// Sends requests that may run once, to the machines in turn, until aborted.
fn start_clients(
    frontends: Vec<SocketAddrV4>,
    record: &Record,
    outcomes: &Outcomes,
    gap: Duration,
) -> tokio::task::AbortHandle {
    let (record, outcomes) = (record.clone(), Arc::clone(outcomes));
    let task = tokio::spawn(async move {
        for number in 0_usize.. {
            tokio::time::sleep(gap).await;
            let machine = number % frontends.len();
            let address = frontends[machine];
            let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
            tokio::spawn(async move {
                let attempt = format!("m{machine}-{number:05}");
                let outcome = send_call(address, call(&attempt, "/puxa403/2f", None)).await;
                let body = match &outcome {
                    CallOutcome::Answer { body, .. } => body.trim(),
                    _ => "",
                };
                record.note(&format!(
                    "client attempt={attempt} answer={} {body}",
                    outcome_name(&outcome)
                ));
                outcomes
                    .lock()
                    .unwrap()
                    .insert(attempt, outcome_name(&outcome));
            });
        }
    });
    task.abort_handle()
}

/// Another writer leaves an entry among the runners' that cannot be read; later a runner
/// reports that it leaves.
pub async fn foreign_entry(record: &Record, scratch: &Scratch, has_trouble: bool) -> Verdict {
    let fail = |why: &str| Verdict::CouldNotRun(why.to_owned());
    let Ok(store) = Store::start(record).await else {
        return fail("no store");
    };
    let arrivals = Arrivals::default();
    store.put("config", "main", configuration(3));
    let zones = ["kyushu-a", "kyushu-b", "kyushu-c"];
    let mut runners = Vec::new();
    let mut machines = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let id = format!("i-02d9e6b{index}");
        let work = Duration::from_millis(60);
        match Runner::start(&id, APP, zone, &[], work, &store, &arrivals).await {
            Ok(runner) => runners.push(runner),
            Err(_) => return fail("no runner"),
        }
    }
    for zone in zones {
        let name = format!("edge-{zone}-1");
        machines.push(Machine::start(&name, zone, store.address, &scratch.0));
    }
    if !all_ready(&machines).await {
        return fail("the machines are not ready");
    }
    let outcomes = Outcomes::default();
    let frontends = machines.iter().map(|machine| machine.frontend).collect();
    let clients = start_clients(frontends, record, &outcomes, Duration::from_millis(15));
    tokio::time::sleep(Duration::from_secs(4)).await;
    if has_trouble {
        let text = foreign_text();
        write_foreign(&store, &text);
        let shown: String = text.chars().take(100).collect();
        record.say(&format!(
            "another writer leaves the entry i-9b41f0aa: {shown}"
        ));
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let leaving = &runners[1];
    let drained_ms = leaving.drain();
    record.say(&format!(
        "{} reports draining; the store acknowledges it",
        leaving.id
    ));
    tokio::time::sleep(Duration::from_millis(DRAIN_MS + LINGER_MS)).await;
    let lost = leaving.exit();
    record.say(&format!(
        "{} exits, with {} requests in work",
        leaving.id,
        lost.len()
    ));
    tokio::time::sleep(Duration::from_secs(3)).await;
    clients.abort();
    tokio::time::sleep(Duration::from_millis(500)).await;
    restart(&mut machines[2], record).await;
    let runs = arrivals.runs.lock().unwrap().clone();
    let late: Vec<u64> = runs
        .iter()
        .filter(|run| run.runner == leaving.id && run.at_ms > drained_ms + DRAIN_MS)
        .map(|run| run.at_ms - drained_ms)
        .collect();
    record.say(&format!(
        "requests that reached {} later than drain_ms ({DRAIN_MS} ms) after the acknowledgement: \
         {}, the last after {} ms",
        leaving.id,
        late.len(),
        late.iter().max().unwrap_or(&0)
    ));
    let outcomes = outcomes.lock().unwrap();
    let answers: Vec<&str> = lost
        .iter()
        .filter_map(|attempt| outcomes.get(attempt).map(String::as_str))
        .collect();
    record.say(&format!(
        "requests in work as it exited: answered {answers:?}"
    ));
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// Writes the entry at once and again with each heartbeat, as runners do, so that it doesn't
/// lapse.
fn write_foreign(store: &Store, text: &str) {
    let (store, text) = (store.clone(), text.to_owned());
    store.put_foreign("servers", "i-9b41f0aa", &text);
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(HEARTBEAT).await;
            store.put_foreign("servers", "i-9b41f0aa", &text);
        }
    });
}

/// Starts machines while such an entry is there, and records whether they get ready; no case of
/// its own.
pub async fn foreign_start(record: &Record, scratch: &Scratch) -> Verdict {
    let Ok(store) = Store::start(record).await else {
        return Verdict::CouldNotRun("no store".to_owned());
    };
    store.put("config", "main", configuration(3));
    let work = Duration::from_millis(60);
    let arrivals = Arrivals::default();
    let zone = "kyushu-a";
    let started = Runner::start("i-02d9e6b0", APP, zone, &[], work, &store, &arrivals);
    let Ok(_runner) = started.await else {
        return Verdict::CouldNotRun("no runner".to_owned());
    };
    write_foreign(&store, &foreign_text());
    let start = |index| {
        let name = format!("edge-kyushu-a-{index}");
        Machine::start(&name, "kyushu-a", store.address, &scratch.0)
    };
    let machines: Vec<Machine> = (1..=3).map(start).collect();
    for _ in 0..100 {
        tokio::time::sleep(Duration::from_millis(200)).await;
        for machine in &machines {
            if machine.is_ready().await {
                record.say(&format!("{} is ready", machine.name));
                return Verdict::Held;
            }
        }
    }
    record.say("no machine is ready 20 s after the start");
    Verdict::Broken
}

/// Restarts a machine in order and records whether it gets ready; not part of the verdict.
async fn restart(machine: &mut Machine, record: &Record) {
    record.say(&format!(
        "SIGTERM to {}, which is started again",
        machine.name
    ));
    machine.signal("TERM");
    while !machine.has_exited() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    machine.restart();
    let started_ms = record.millis();
    while record.millis() < started_ms + 10_000 {
        if machine.is_ready().await {
            let taken = record.millis() - started_ms;
            record.say(&format!(
                "{} is ready {taken} ms after its start",
                machine.name
            ));
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    record.say(&format!(
        "{} is not ready 10 s after its start",
        machine.name
    ));
}

/// Returns the entry that another writer leaves; `FOREIGN` picks one of several.
fn foreign_text() -> String {
    match std::env::var("FOREIGN").as_deref() {
        // A field of another type: lists within lists.
        Ok("nested") => format!(
            r#"{{"service":"wuno96b","slots":{}{}}}"#,
            "[".repeat(200),
            "]".repeat(200)
        ),
        // A number that no 64-bit float holds.
        Ok("number") => r#"{"service":"wuno96b","cold_remaining_ms":1e400}"#.to_owned(),
        // A text that was cut between the two halves of a UTF-16 pair.
        _ => r#"{"service":"wuno96b","address":"127.0.0.1:9","note":"\ud83d"}"#.to_owned(),
    }
}
