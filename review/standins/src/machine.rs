//! Entry VM as a process, started with the command of the deploy file.

use serde_json::json;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

pub struct Machine {
    pub name: String,
    zone: String,
    store: SocketAddrV4,
    folder: PathBuf,
    child: Child,
    pub frontend: SocketAddrV4,
    readiness: SocketAddrV4,
    peers: SocketAddrV4,
    metrics: SocketAddrV4,
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Machine {
    /// Starts a machine on free ports; its log goes to a file in `folder`.
    pub fn start(name: &str, zone: &str, store: SocketAddrV4, folder: &Path) -> Self {
        let free: SocketAddrV4 = "127.0.0.1:0".parse().unwrap();
        let (child, addresses) = spawn(name, zone, store, folder, [free; 4]);
        let [frontend, readiness, peers, metrics] = addresses;
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            store,
            folder: folder.to_owned(),
            child,
            frontend,
            readiness,
            peers,
            metrics,
        }
    }

    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(id)
            .status();
        assert!(status.is_ok_and(|status| status.success()));
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Starts the process again, with the same settings and addresses.
    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let addresses = [self.frontend, self.readiness, self.peers, self.metrics];
        let (child, _) = spawn(&self.name, &self.zone, self.store, &self.folder, addresses);
        self.child = child;
    }

    pub async fn is_ready(&self) -> bool {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let asked = async {
            let mut stream = tokio::net::TcpStream::connect(self.readiness).await.ok()?;
            let call = "GET /readyz HTTP/1.1\r\nHost: probe\r\nConnection: close\r\n\r\n";
            stream.write_all(call.as_bytes()).await.ok()?;
            let mut head = vec![0; 12];
            stream.read_exact(&mut head).await.ok()?;
            Some(head == b"HTTP/1.1 200")
        };
        let second = std::time::Duration::from_secs(1);
        matches!(tokio::time::timeout(second, asked).await, Ok(Some(true)))
    }
}

/// Starts a process with the template's settings, the figures being those of the site.
fn spawn(
    name: &str,
    zone: &str,
    store: SocketAddrV4,
    folder: &Path,
    listen: [SocketAddrV4; 4],
) -> (Child, [SocketAddrV4; 4]) {
    let settings = folder.join(format!("{name}.conf"));
    let text = json!({
        "vm": name,
        "data_centre": zone,
        "listen": {
            "callers": listen[0].to_string(),
            "readiness": listen[1].to_string(),
            "peers": listen[2].to_string(),
            "metrics": listen[3].to_string(),
        },
        "store": { "address": store.to_string() },
        "retry": { "ratio": 0.2, "allowance": 52, "window_s": 10 },
        "orders": { "holder_gap_ms": 3000 },
        "shutdown": { "grace_s": 8 },
        "peers": { "interval_ms": null },
        "capacity": { "link_mbps": 1000.0, "cpu_share": 0.25 },
    });
    std::fs::write(&settings, text.to_string()).unwrap();
    let program = std::env::var("PROGRAM").unwrap();
    let mut child = Command::new(program)
        .arg("entry")
        .arg("--settings")
        .arg(&settings)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut output = BufReader::new(child.stdout.take().unwrap());
    let mut first = String::new();
    output.read_line(&mut first).unwrap();
    let address = |key: &str| -> SocketAddrV4 {
        let mut words = first.split_whitespace();
        let word = words.find_map(|word| word.strip_prefix(key));
        word.and_then(|word| word.parse().ok())
            .unwrap_or_else(|| panic!("no {key} in {first}"))
    };
    let addresses = ["callers=", "readiness=", "peers=", "metrics="].map(address);
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder.join(format!("{name}.log")));
    let mut log = log.unwrap();
    log.write_all(first.as_bytes()).unwrap();
    std::thread::spawn(move || std::io::copy(&mut output, &mut log));
    (child, addresses)
}
