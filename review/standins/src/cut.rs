//! Case on the rule RECOVER: a machine that is partitioned from all runners.

use crate::machine::Machine;
use crate::record::Record;
use crate::runner::{Arrivals, Runner};
use crate::site::{APP, HOST, KEY, all_ready, configuration};
use crate::store::Store;
use crate::{Scratch, Verdict};
use clementinepond_platform_standin::{LinkFault, LinkProxy};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bound `contact_ms`.
const CONTACT_MS: u64 = 3_000;
const CUT_TIME: Duration = Duration::from_secs(12);
const CLIENT_GAP: Duration = Duration::from_millis(50);

/// First try of a client.
struct Try {
    machine: usize,
    is_chunked: bool,
    sent_ms: u64,
    /// Status of the answer; 0 without one.
    status: u16,
}

/// Sends a request on a new connection and returns the status of its answer; 0 without one.
async fn submit(address: SocketAddrV4, attempt: &str, is_chunked: bool) -> u16 {
    let exchanged = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let head = format!(
            "POST /puxa403/2f HTTP/1.1\r\nHost: {HOST}\r\nClementinepond-Attempt-Id: {attempt}\r\n\
             Clementinepond-Deadline-Ms: 4000\r\nAuthorization: Bearer {KEY}\r\n"
        );
        let body = "x".repeat(600);
        let framed = match is_chunked {
            true => format!("Transfer-Encoding: chunked\r\n\r\n258\r\n{body}\r\n0\r\n\r\n"),
            false => format!("Content-Length: 600\r\n\r\n{body}"),
        };
        stream.write_all((head + &framed).as_bytes()).await.ok()?;
        let mut line = vec![0; 12];
        stream.read_exact(&mut line).await.ok()?;
        String::from_utf8(line).ok()?[9..].parse::<u16>().ok()
    };
    let answered = tokio::time::timeout(Duration::from_millis(4_500), exchanged).await;
    answered.ok().flatten().unwrap_or(0)
}

/// One of three machines is partitioned from all runners, while clients, the store and the
/// other machines reach it; the clients send their bodies in chunks.
pub async fn cut_chunked(record: &Record, scratch: &Scratch, has_trouble: bool) -> Verdict {
    let deployed = deploy(record, scratch).await;
    let Some((_store, _runners, machines, links)) = deployed else {
        return Verdict::CouldNotRun("the deployment did not start".to_owned());
    };
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let frontends: Vec<SocketAddrV4> = machines.iter().map(|machine| machine.frontend).collect();
    let (shared, notes) = (Arc::clone(&tries), record.clone());
    let clients = tokio::spawn(async move {
        for number in 0_usize.. {
            tokio::time::sleep(CLIENT_GAP).await;
            let machine = number % frontends.len();
            // One client in four states the length of its body.
            let is_chunked = (number / frontends.len()) % 4 != 3;
            let (address, tries, record) = (frontends[machine], Arc::clone(&shared), notes.clone());
            tokio::spawn(async move {
                let sent_ms = record.millis();
                let attempt = format!("s{number:05}");
                let status = submit(address, &attempt, is_chunked).await;
                record.note(&format!(
                    "client attempt={attempt} machine={machine} chunked={is_chunked} answer={status}"
                ));
                tries.lock().unwrap().push(Try {
                    machine,
                    is_chunked,
                    sent_ms,
                    status,
                });
            });
        }
    });
    tokio::time::sleep(Duration::from_secs(4)).await;
    if has_trouble {
        record.say(&format!(
            "{} is partitioned from all runners",
            machines[0].name
        ));
        for link in &links {
            link.set(Some(LinkFault::CutHanging));
        }
    }
    let cut_ms = record.millis();
    tokio::time::sleep(CUT_TIME).await;
    let healed_ms = record.millis();
    for link in &links {
        link.set(None);
    }
    record.say("the partition ends");
    tokio::time::sleep(Duration::from_secs(5)).await;
    clients.abort();
    judge(
        record,
        &tries.lock().unwrap(),
        cut_ms + CONTACT_MS,
        healed_ms,
    )
}

type Deployed = (Store, Vec<Runner>, Vec<Machine>, Vec<LinkProxy>);

async fn deploy(record: &Record, scratch: &Scratch) -> Option<Deployed> {
    let store = Store::start(record).await.ok()?;
    let arrivals = Arrivals::default();
    store.put("config", "main", configuration(3));
    let zones = ["kyushu-a", "kyushu-b", "kyushu-c"];
    let mut runners = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let id = format!("i-02d9e6b{index}");
        let work = Duration::from_millis(60);
        let runner = Runner::start(&id, APP, zone, &[], work, &store, &arrivals);
        runners.push(runner.await.ok()?);
    }
    let mut links = Vec::new();
    let mut addresses = Vec::new();
    for runner in &runners {
        let link = LinkProxy::start(runner.address).await.ok()?;
        addresses.push((runner.address, link.address()));
        links.push(link);
    }
    let view = store.start_view(addresses).await.ok()?;
    let mut machines = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let seen = if index == 0 { view } else { store.address };
        let name = format!("edge-{zone}-1");
        machines.push(Machine::start(&name, zone, seen, &scratch.0));
    }
    all_ready(&machines)
        .await
        .then_some((store, runners, machines, links))
}

/// Checks RECOVER over the first tries between two times.
fn judge(record: &Record, tries: &[Try], from_ms: u64, until_ms: u64) -> Verdict {
    let counted = |one: &&Try| (from_ms..until_ms).contains(&one.sent_ms);
    let share = |what: &dyn Fn(&Try) -> bool| {
        let of: Vec<&Try> = tries
            .iter()
            .filter(counted)
            .filter(|one| what(one))
            .collect();
        let served = of
            .iter()
            .filter(|one| (200..300).contains(&one.status))
            .count();
        (served, of.len())
    };
    for is_chunked in [true, false] {
        for is_cut in [true, false] {
            let (served, all) =
                share(&|one| one.is_chunked == is_chunked && (one.machine == 0) == is_cut);
            let where_ = if is_cut {
                "the cut machine"
            } else {
                "the others"
            };
            record.say(&format!(
                "at {where_}, chunked={is_chunked}: {served} of {all} served"
            ));
        }
    }
    let (at_cut, all_at_cut) = share(&|one| one.machine == 0);
    let (at_others, all_at_others) = share(&|one| one.machine != 0);
    if all_at_cut == 0 || at_others == 0 {
        return Verdict::CouldNotRun("no requests were counted".to_owned());
    }
    let ratio = (at_cut as f64 / all_at_cut as f64) / (at_others as f64 / all_at_others as f64);
    let failed = all_at_cut - at_cut;
    let allowed = 10.0 + (all_at_cut + all_at_others) as f64 / 50.0;
    record.say(&format!(
        "first tries at the cut machine are served {ratio:.2} times as often as elsewhere (at least \
         0.67); {failed} fail there (at most {allowed:.0})"
    ));
    if ratio < 2.0 / 3.0 && failed as f64 > allowed {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
