//! Entry VMs in separate processes.

use crate::SoakError;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// Entry VM in a separate process.
#[derive(Debug)]
pub(crate) struct EntryProcess {
    name: String,
    program: PathBuf,
    store: SocketAddrV4,
    /// Folder for the settings and the log.
    folder: PathBuf,
    /// Running process; `None` before the first start or after a failed one.
    child: Option<Child>,
    pub(crate) caller_address: SocketAddrV4,
    pub(crate) readiness_address: SocketAddrV4,
}

impl EntryProcess {
    pub(crate) fn start(
        name: String,
        program: PathBuf,
        store: SocketAddrV4,
        folder: PathBuf,
    ) -> Result<Self, SoakError> {
        let unbound = SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0);
        let mut process = Self {
            name,
            program,
            store,
            folder,
            child: None,
            caller_address: unbound,
            readiness_address: unbound,
        };
        process.launch()?;
        Ok(process)
    }

    /// Starts the process, after killing a running one; later starts reuse the
    /// addresses for callers and readiness of the first.
    pub(crate) fn launch(&mut self) -> Result<(), SoakError> {
        self.stop();
        let settings = self.folder.join(format!("{}.jsonc", self.name));
        let text = json!({
            "vm": self.name,
            "data_centre": "dc-a",
            "listen": {
                "callers": self.caller_address.to_string(),
                "readiness": self.readiness_address.to_string(),
                "peers": "127.0.0.1:0",
                "metrics": "127.0.0.1:0",
            },
            "store": { "address": self.store.to_string() },
            "retry": { "ratio": 0.2, "allowance": 50.0, "window_s": 10.0 },
            "orders": { "holder_gap_ms": 3_000.0 },
            "shutdown": { "grace_s": 4.0 },
            "peers": { "interval_ms": null },
        });
        std::fs::write(&settings, text.to_string())?;
        let mut child = Command::new(&self.program)
            .arg("entry")
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or(SoakError::NotStarted)?;
        let mut output = BufReader::new(output);
        let mut first = String::new();
        output.read_line(&mut first)?;
        let address = |key: &str| -> Option<SocketAddrV4> {
            let word = first
                .split_whitespace()
                .find_map(|word| word.strip_prefix(key))?;
            word.parse().ok()
        };
        self.caller_address = address("callers=").ok_or(SoakError::NotStarted)?;
        self.readiness_address = address("readiness=").ok_or(SoakError::NotStarted)?;
        let log = self.folder.join(format!("{}.log", self.name));
        let mut log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)?;
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if writeln!(log, "{line}").is_err() {
                    return;
                }
            }
        });
        self.child = Some(child);
        Ok(())
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id().cast_signed()));
        if let Some(pid) = pid {
            // The process may have exited already, so an error is expected.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    fn stop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended already, so an error is expected.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.stop();
    }
}
