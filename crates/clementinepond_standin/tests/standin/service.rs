//! Tests of runs, reports and faults of the service.

use crate::client::TestClient;
use clementinepond_standin::fault::FaultRate;
use clementinepond_standin::service::{ServiceOptions, ServiceServer};
use clementinepond_types::TimeSpan;
use serde_json::json;
use tokio_util::sync::{CancellationToken, DropGuard};

async fn start() -> (ServiceServer, TestClient, DropGuard) {
    let cancel = CancellationToken::new();
    let options = ServiceOptions {
        incarnation: Some(4),
        ..ServiceOptions::default()
    };
    let server = ServiceServer::start(options, cancel.clone()).await.unwrap();
    let client = TestClient::new(server.address());
    (server, client, cancel.drop_guard())
}

#[tokio::test]
async fn runs_are_counted_and_requests_echoed() {
    let (server, client, _guard) = start().await;
    let headers = [("x-request-id", "r-1")];
    for run in 1..3 {
        let answer = client
            .send("POST", "/attendance/7", &headers, "mark")
            .await
            .unwrap();
        assert_eq!(answer.headers["x-request-id"], "r-1");
        assert_eq!(
            answer.json(),
            json!({"id": "r-1", "method": "POST", "path": "/attendance/7", "body": "mark", "run": run})
        );
    }
    let record = server.record();
    assert_eq!(
        (record.runs_of_request("r-1"), record.runs_of_body("mark")),
        (2, 2)
    );
    server.set_draining(true);
    let report = client.get("/report").await.json();
    assert_eq!(
        report,
        json!({"endpoint": "service", "incarnation": 4, "report_number": 1, "running": 0,
            "queued": 0, "draining": true})
    );
}

#[tokio::test]
async fn resets_abort_connections_before_and_after_run() {
    let (server, client, _guard) = start().await;
    server.set_faults(|faults| faults.resets_after_read = FaultRate::next(1));
    assert!(client.send("POST", "/a", &[], "one").await.is_none());
    assert_eq!(server.record().runs, 0);
    server.set_faults(|faults| faults.resets_after_run = FaultRate::next(1));
    assert!(client.send("POST", "/a", &[], "two").await.is_none());
    assert_eq!(server.record().runs_of_body("two"), 1);
    server.set_faults(|faults| faults.refusals = FaultRate::next(1));
    let refused = client.send("POST", "/a", &[], "three").await.unwrap();
    assert_eq!(
        (refused.status, &refused.headers["x-not-run"]),
        (503, &"true".parse().unwrap())
    );
    server.set_faults(|faults| faults.crossed_answers = FaultRate::next(1));
    let crossed = client
        .send("POST", "/a", &[("x-request-id", "r-4")], "four")
        .await
        .unwrap();
    assert_eq!(crossed.headers["x-request-id"], "other-r-4");
    assert_eq!(server.record().runs, 2);
}

#[tokio::test]
async fn crash_restarts_with_new_incarnation_on_same_address() {
    let (server, client, _guard) = start().await;
    server.set_faults(|faults| {
        faults.crash_markers = vec!["poison".into()];
        faults.down_for = Some(TimeSpan::ZERO);
    });
    assert!(client.send("POST", "/a", &[], "poison").await.is_none());
    let report = loop {
        if let Some(answer) = client.send("GET", "/report", &[], "").await {
            break answer.json();
        }
    };
    assert_eq!(report["incarnation"], 5);
    assert_eq!(server.record().runs_of_body("poison"), 1);
}
