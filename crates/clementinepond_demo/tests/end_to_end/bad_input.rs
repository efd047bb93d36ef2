//! Oversized, half-sent and malformed requests on raw connections.

use crate::support::{KEY, complete, plan};
use clementinepond_demo::RunningFleet;
use hyper::StatusCode;
use serde_json::json;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends bytes, closes the sending side if told to, and reads all that comes.
async fn exchange(address: SocketAddr, bytes: &[u8], closes: bool) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // A server may refuse and close before it has read everything.
    let _ = stream.write_all(bytes).await;
    if closes {
        let _ = stream.shutdown().await;
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn head(length: usize) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: {length}\r\n\r\n"
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_refused_and_the_vm_goes_on() {
    let mut plan = plan();
    plan.settings = Some(json!({"caller": {"body_limit_bytes": 2048, "body_timeout": "200ms"}}));
    let fleet = RunningFleet::start(plan).await.unwrap();
    let address = fleet.vms[0].caller;

    let large = format!("{}{}", head(5_000), "x".repeat(5_000));
    let answer = exchange(address, large.as_bytes(), false).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert!(answer.contains("clementinepond-outcome: not-run"));

    let slow = format!("{}{{\"model\":", head(500));
    let answer = exchange(address, slow.as_bytes(), false).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");

    for garbage in [
        &b"\x00\x01\x02\r\n\r\n"[..],
        b"GET",
        b"POST / HTTP/9.9\r\n\r\n",
    ] {
        let answer = exchange(address, garbage, true).await;
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    }

    let answer = complete(address, "x", false).await;
    assert_eq!(answer.status, StatusCode::OK);
    for engine in &fleet.engines {
        let record = engine.record();
        assert!(
            record
                .calls()
                .iter()
                .all(|call| !call.body.contains("xxxx"))
        );
    }
    fleet.stop().await;
}
