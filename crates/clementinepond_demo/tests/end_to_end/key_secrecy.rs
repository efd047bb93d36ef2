//! A caller's key is in no log line and reaches no endpoint.

use crate::support::{KEY, complete, plan};
use clementinepond_demo::RunningFleet;
use std::io::Write;
use std::sync::{Arc, Mutex};

/// Collects log lines.
#[derive(Clone, Default)]
struct LineBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LineBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn neither_logs_nor_endpoints_nor_traces_hold_the_key() {
    let lines = LineBuffer::default();
    env_logger::Builder::new()
        .filter_level(log::LevelFilter::Trace)
        .target(env_logger::Target::Pipe(Box::new(lines.clone())))
        .init();
    let fleet = RunningFleet::start(plan()).await.unwrap();
    for stream in [false, true] {
        complete(fleet.vms[0].caller, "diesel ledger", stream).await;
    }
    let traces = fleet.vms[0]
        .administer(hyper::Method::GET, "/v1/traces", None)
        .await
        .unwrap();
    assert!(traces.body.to_string().contains("attempt"));
    assert!(!traces.body.to_string().contains(KEY));
    let status = fleet.vms[0]
        .administer(hyper::Method::GET, "/v1/status", None)
        .await
        .unwrap();
    assert!(!status.body.to_string().contains(KEY));
    for engine in &fleet.engines {
        assert!(!engine.record().contains(KEY));
    }
    fleet.stop().await;
    let text = String::from_utf8_lossy(&lines.0.lock().unwrap()).into_owned();
    assert!(text.contains("event=request_ended"));
    assert!(!text.contains(KEY));
}
