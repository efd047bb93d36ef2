//! Blocked suspects: how VMs learn of them, and what they do with requests in flight.

use crate::crash_support::{
    CRASHING_BLOCK, SHARED_BLOCK, crashing_runs, is_served, ready_vms, stream, unique_call,
};
use crate::support::{Deployment, endpoint_options, expect_answer, stream_events, wait_until};
use clementinepond_dispatch::peer::{BlockedReport, PeerEnvelope, PeerMessage};
use clementinepond_dispatch::suspect::CrashSuspect;
use clementinepond_platform_standin::{CallOutcome, RawRequest, RawStep, raw_head, send_call};
use serde_json::json;
use std::time::Duration;
use tokio::net::UdpSocket;

#[tokio::test(flavor = "multi_thread")]
async fn request_that_an_endpoint_has_queued_is_withdrawn_when_its_block_is_blocked() {
    let deployment = Deployment::start(0).await;
    let options = endpoint_options("engines", "raw-0", &["m0"]);
    let script = |request: &RawRequest| {
        let mut steps = stream(request, true);
        steps.insert(0, RawStep::Pause(Duration::from_secs(2)));
        steps
    };
    let engine = deployment.raw_endpoint(options, script).await;
    let entries = ready_vms(&deployment, 1).await;
    let call = unique_call("/chat/queued", &[SHARED_BLOCK, CRASHING_BLOCK]);
    let queued = tokio::spawn(send_call(entries[0].callers, call));
    wait_until("the engine has the request", || {
        crashing_runs(&deployment) == 1
    })
    .await;
    let name = format!("block-{CRASHING_BLOCK:0>16}");
    deployment.store.put("cpond-suspects", &name, json!({}));
    let (status, _) = expect_answer(queued.await.unwrap());
    assert_eq!(status, 502);
    wait_until("the VM logs it", || {
        entries[0].has_logged("outcome=withdrawn")
    })
    .await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(engine.crashes(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_is_not_taken_up_elsewhere_when_its_block_is_blocked_meanwhile() {
    let deployment = Deployment::start(0).await;
    let mut engines = Vec::new();
    for index in 0..2 {
        let options = endpoint_options("engines", &format!("raw-{index}"), &["m0"]);
        let script = |request: &RawRequest| {
            let mut bytes = raw_head(request, "");
            bytes.extend_from_slice(stream_events(1..=3).as_bytes());
            let pause = Duration::from_secs(1);
            vec![RawStep::Write(bytes), RawStep::Pause(pause), RawStep::Reset]
        };
        engines.push(deployment.raw_endpoint(options, script).await);
    }
    let entries = ready_vms(&deployment, 1).await;
    let call = unique_call("/batch/cut", &[SHARED_BLOCK, CRASHING_BLOCK]);
    let cut = tokio::spawn(send_call(entries[0].callers, call));
    wait_until("an engine has the request", || {
        crashing_runs(&deployment) == 1
    })
    .await;
    let name = format!("block-{CRASHING_BLOCK:0>16}");
    deployment.store.put("cpond-suspects", &name, json!({}));
    let outcome = cut.await.unwrap();
    assert!(matches!(outcome, CallOutcome::Broken { .. }), "{outcome:?}");
    assert_eq!(crashing_runs(&deployment), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn blocked_block_in_the_store_is_followed_until_an_operator_deletes_it() {
    let deployment = Deployment::start(1).await;
    let entries = ready_vms(&deployment, 2).await;
    let name = format!("block-{CRASHING_BLOCK:0>16}");
    deployment.store.put("cpond-suspects", &name, json!({}));
    deployment
        .store
        .put("cpond-suspects", "not-a-suspect", json!({}));
    for entry in &entries {
        wait_until("the VM reads the store", || {
            entry.has_logged("suspect_blocked")
        })
        .await;
        let call = unique_call("/chat/x", &[SHARED_BLOCK, CRASHING_BLOCK]);
        let (status, body) = expect_answer(send_call(entry.callers, call).await);
        assert_eq!(status, 503);
        assert!(body.contains("crashes_endpoints"), "{body}");
        wait_until("the VM logs it", || entry.has_logged("request_blocked")).await;
    }
    deployment.store.delete("cpond-suspects", &name);
    for entry in &entries {
        wait_until("the VM follows", || entry.has_logged("suspect_unblocked")).await;
        let call = unique_call("/chat/x", &[SHARED_BLOCK, CRASHING_BLOCK]);
        assert!(is_served(&send_call(entry.callers, call).await));
    }
    // No VM writes it again.
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(deployment.store.spec("cpond-suspects", &name), None);
}

#[tokio::test(flavor = "multi_thread")]
async fn blocked_block_reaches_a_peer_that_missed_its_announcement() {
    let deployment = Deployment::start(1).await;
    let entries = ready_vms(&deployment, 2).await;
    for entry in &entries {
        wait_until("the VM knows its peer", || entry.has_logged("peer_learned")).await;
    }
    deployment.store.set_down(true);
    let message = PeerMessage::BlockedSuspects {
        blocked: vec![BlockedReport {
            suspect: CrashSuspect::Block(0xbad0_c0de),
            since_ms_ago: 10,
            unseen_ms: 10,
        }],
        is_reply: true,
    };
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let envelope = PeerEnvelope {
        from: "vm-gone".parse().unwrap(),
        message,
    };
    let bytes = postcard::to_allocvec(&envelope).unwrap();
    socket.send_to(&bytes, entries[0].peers).await.unwrap();
    for entry in &entries {
        wait_until("the VM knows the block", || {
            entry.has_logged("suspect_blocked")
        })
        .await;
        let call = unique_call("/chat/x", &[SHARED_BLOCK, CRASHING_BLOCK]);
        let (status, _) = expect_answer(send_call(entry.callers, call).await);
        assert_eq!(status, 503);
    }
}
