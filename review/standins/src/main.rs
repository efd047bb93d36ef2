//! Stand-ins and drivers of the review's cases: `review_standins CASE RECORD TROUBLE`.
//!
//! `PROGRAM` names the deploy file's program. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. A TROUBLE of 0 leaves the disruption out.

mod blocked;
mod cut;
mod drain;
mod machine;
mod one;
mod record;
mod runner;
mod server;
mod site;
mod store;

use record::Record;
use std::path::{Path, PathBuf};
use tokio::signal::unix::{SignalKind, signal};

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

/// Folder for settings and logs of the machines; removed at the end unless `KEEP` is set.
pub struct Scratch(pub PathBuf);

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

#[tokio::main]
async fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, path, trouble] = &words[..] else {
        eprintln!("usage: review_standins CASE RECORD TROUBLE");
        std::process::exit(2);
    };
    let has_trouble = trouble != "0";
    let record = Record::create(Path::new(path)).unwrap();
    record.say(&format!("case {case} trouble={has_trouble}"));
    let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let scratch = Scratch(folder);
    let limit = std::time::Duration::from_secs(110);
    let mut terminate = signal(SignalKind::terminate()).unwrap();
    let mut interrupt = signal(SignalKind::interrupt()).unwrap();
    let played = tokio::time::timeout(limit, async {
        match case.as_str() {
            "restored-lease" => one::restored_lease(&record, &scratch, has_trouble).await,
            "foreign-start" => drain::foreign_start(&record, &scratch).await,
            "cut-chunked" => cut::cut_chunked(&record, &scratch, has_trouble).await,
            "foreign-entry" => drain::foreign_entry(&record, &scratch, has_trouble).await,
            "shared-parts" => blocked::shared_parts(&record, &scratch, has_trouble).await,
            _ => Verdict::CouldNotRun("no such case".to_owned()),
        }
    });
    // Dropping the case ends the machines that it started.
    let verdict = tokio::select! {
        played = played => played.unwrap_or_else(|_| Verdict::CouldNotRun("time ran out".to_owned())),
        _ = terminate.recv() => Verdict::CouldNotRun("stopped".to_owned()),
        _ = interrupt.recv() => Verdict::CouldNotRun("stopped".to_owned()),
    };
    let (status, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "THE RULE WAS BROKEN".to_owned()),
        Verdict::CouldNotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record.say(&format!("exit {status}: {text}"));
    drop(scratch);
    std::process::exit(status);
}
