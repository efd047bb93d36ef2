//! Calls whose answers have no end.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

use super::{CallFailure, HttpClient};
use clementinepond_types::TimeSpan;
use hyper::Method;
use hyper::header::HeaderMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Time after which a call that does not end fails the test.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

/// Calls a server that writes a text and then some bytes again and again.
async fn call_endless(start: &'static str, repeated: &'static str, pause: Duration) -> CallFailure {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        panic!("the listener has no IPv4 address");
    };
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        assert!(stream.read(&mut request).await.unwrap() > 0);
        stream.write_all(start.as_bytes()).await.unwrap();
        while stream.write_all(repeated.as_bytes()).await.is_ok() {
            tokio::time::sleep(pause).await;
        }
    });
    let mut client = HttpClient::new(address);
    let timeout = TimeSpan::from_millis(500);
    let call = client.call(Method::GET, "/", HeaderMap::new(), Vec::new(), timeout);
    let outcome = tokio::time::timeout(HANG_TIMEOUT, call).await;
    outcome.expect("the call does not end").unwrap_err()
}

#[tokio::test]
async fn answer_that_trickles_without_end_times_out() {
    let local = LocalSet::new();
    let pause = Duration::from_millis(50);
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    let failure = local.run_until(call_endless(head, "x", pause)).await;
    assert_eq!(failure, CallFailure::Timeout);
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let failure = local
        .run_until(call_endless(chunked, "1\r\nx\r\n", pause))
        .await;
    assert_eq!(failure, CallFailure::Timeout);
}

#[tokio::test]
async fn head_without_end_fails() {
    let local = LocalSet::new();
    let filler = "X-Filler: 0123456789\r\n";
    let slow = Duration::from_millis(50);
    let failure = local
        .run_until(call_endless("HTTP/1.1 200 OK\r\n", filler, slow))
        .await;
    assert_eq!(failure, CallFailure::Timeout);
    let local = LocalSet::new();
    let long = "X-Filler: 0123456789\r\n".repeat(8_192).leak();
    let fast = Duration::ZERO;
    let failure = local
        .run_until(call_endless("HTTP/1.1 200 OK\r\n", long, fast))
        .await;
    assert_eq!(failure, CallFailure::Broken);
}
