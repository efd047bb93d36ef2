//! Deployment of separate processes, in which one VM is killed.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const CREDENTIAL: &str = "operator-credential-of-the-test";
const KEY: &str = "cp-key-of-the-test";

/// Process that is killed when it is dropped.
struct TestProcess {
    child: Child,
    first_line: String,
}

impl TestProcess {
    /// Starts a command and waits for its first line of output.
    fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_clementinepond"))
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut first_line = String::new();
        let output = child.stdout.take().unwrap();
        BufReader::new(output).read_line(&mut first_line).unwrap();
        Self { child, first_line }
    }

    /// Returns the value of `name=value` in the first line.
    fn value(&self, name: &str) -> String {
        let mut words = self.first_line.split_whitespace();
        let found = words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
        found.unwrap().to_owned()
    }

    /// Sends SIGTERM and returns the exit code.
    fn terminate(mut self) -> Option<i32> {
        let id = self.child.id().to_string();
        Command::new("kill").args(["-TERM", &id]).status().unwrap();
        self.child.wait().unwrap().code()
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn digest(text: &str) -> String {
    clementinepond_daemon::key_digest(text).to_string()
}

fn configuration(engine: &str) -> Value {
    json!({
        "data_centres": {"dc-1": {"limit_parts": 1024}},
        "accounts": {"coop": {"rate": "100000tok/s", "burst": "1000000tok"}},
        "keys": {digest(KEY): {"account": "coop"}},
        "models": {"ledger": {"version": "1", "memory_mib": 1024}},
        "endpoints": {"engine": {
            "data_centre": "dc-1",
            "address": engine,
            "kind": {"engine": {
                "accelerators": 8, "memory_mib": 81920, "checks_fencing": true
            }},
        }},
    })
}

fn settings(vm: &str, platform: &str) -> String {
    json!({
        "vm": vm,
        "data_centre": "dc-1",
        "caller": {"listen": "127.0.0.1:0"},
        "admin": {"listen": "127.0.0.1:0", "credential_digest": digest(CREDENTIAL)},
        "peer": {"listen": "127.0.0.1:0", "secret": "secret-of-the-test"},
        "platform": {"address": platform},
        "membership": {
            "heartbeat_period": "250ms", "suspicion": "2s", "validity": "2s",
            "settle": "2s", "list_lag": "1s", "loan_span": "1500ms", "balance_period": "1s"
        },
        "limit": {"lot_span": "1s", "loan_interval": "300ms"},
        "telemetry": {"log_level": "off"},
    })
    .to_string()
}

async fn wait_until_ready(client: &reqwest::Client, vm: &TestProcess) {
    let url = format!("http://{}/readyz", vm.value("admin"));
    loop {
        let answer = client.get(&url).send().await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn request_completion(client: &reqwest::Client, vm: &TestProcess) -> u16 {
    let body = json!({"model": "ledger", "prompt": "x", "max_tokens": 4});
    let answer = client
        .post(format!("http://{}/v1/completions", vm.value("caller")))
        .bearer_auth(KEY)
        .body(body.to_string())
        .send()
        .await
        .unwrap();
    answer.status().as_u16()
}

#[tokio::test(flavor = "multi_thread")]
async fn remaining_vm_serves_after_kill_and_stops_gracefully() {
    let folder = std::env::temp_dir().join(format!("clementinepond-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let platform = TestProcess::start(&["stand-in", "platform"]);
    let engine = TestProcess::start(&[
        "stand-in",
        "engine",
        "--set",
        "models=[{\"model\":\"ledger\",\"version\":\"1\",\"memory_mib\":1024}]",
        "--set",
        "endpoint=engine",
    ]);
    let client = reqwest::Client::new();
    let address = platform.value("address");
    let stored = client
        .put(format!(
            "http://{address}/objects/configuration/fleet?if-version=0"
        ))
        .body(configuration(&engine.value("address")).to_string())
        .send()
        .await
        .unwrap();
    assert!(stored.status().is_success());
    let mut vms = Vec::new();
    for name in ["vm-1", "vm-2"] {
        let file = folder.join(format!("{name}.jsonc"));
        std::fs::write(&file, settings(name, &address)).unwrap();
        let file = file.to_str().unwrap().to_owned();
        vms.push(TestProcess::start(&["serve", "--settings", &file]));
    }
    for vm in &vms {
        wait_until_ready(&client, vm).await;
        assert_eq!(request_completion(&client, vm).await, 200);
    }
    drop(vms.remove(0));
    assert_eq!(request_completion(&client, &vms[0]).await, 200);
    assert_eq!(vms.remove(0).terminate(), Some(0));
    std::fs::remove_dir_all(&folder).unwrap();
}
