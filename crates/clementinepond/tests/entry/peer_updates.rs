//! Configurations that a VM learns from its peers, and tells them.

use crate::fake_peers::{FakePeers, PEERS, PeerClaim};
use crate::support::{Deployment, EntryProcess, call_to, configuration, expect_answer, wait_until};
use clementinepond_platform_standin::send_call;
use std::time::Duration;

async fn start(claim: PeerClaim) -> (Deployment, EntryProcess, FakePeers) {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    let peers = FakePeers::start(entry.peers, claim).await;
    wait_until("the VM knows its peers", || {
        entry.has_logged(&format!("peer=peer-{} ", PEERS - 1))
    })
    .await;
    (deployment, entry, peers)
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_does_not_wait_for_endpoint_snapshots() {
    let claim = PeerClaim {
        directory: u64::MAX,
        link_mbps: 1_000,
    };
    let (deployment, entry, peers) = start(claim).await;
    let before = peers.unanswered();
    wait_until("the VM asks a peer for entries", || {
        peers.unanswered() > before
    })
    .await;
    deployment.store.put("config", "main", configuration(9));
    peers.claim_configuration(9);
    wait_until("the VM applies the configuration", || {
        entry.has_logged("event=configuration_applied version=9")
    })
    .await;
    assert!(
        !peers.is_closed(before),
        "the VM applied the configuration only after its request for entries had timed out"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn large_configuration_over_narrow_link_is_read_completely() {
    let claim = PeerClaim {
        directory: 0,
        link_mbps: 1_000,
    };
    let (deployment, entry, peers) = start(claim).await;
    deployment.store.slow_reads(Duration::from_secs(2));
    deployment.store.put("config", "main", configuration(9));
    peers.claim_configuration(9);
    wait_until("the VM applies the configuration", || {
        entry.has_logged("event=configuration_applied version=9")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn announced_configuration_is_applied_without_heartbeat() {
    let claim = PeerClaim {
        directory: 0,
        link_mbps: 1_000,
    };
    let (deployment, entry, peers) = start(claim).await;
    deployment.store.put("config", "main", configuration(9));
    peers.announce(9).await;
    wait_until("the VM applies the configuration", || {
        entry.has_logged("event=configuration_applied version=9")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn watcher_announces_new_configuration_to_its_peers() {
    let claim = PeerClaim {
        directory: 0,
        link_mbps: 1,
    };
    let (deployment, entry, peers) = start(claim).await;
    deployment.store.put("config", "main", configuration(9));
    wait_until("the VM applies the configuration", || {
        entry.has_logged("event=configuration_applied version=9")
    })
    .await;
    wait_until("the peers hear of it", || peers.has_heard(9)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_route_is_not_denied_while_peer_has_newer_configuration() {
    let claim = PeerClaim {
        directory: 0,
        link_mbps: 1_000,
    };
    let (_deployment, entry, peers) = start(claim).await;
    let call = || send_call(entry.callers, call_to("/added/", None));
    assert_eq!(expect_answer(call().await).0, 404);
    // The store still holds the version that the VM has.
    peers.claim_configuration(9);
    wait_until("the VM asks a peer for the configuration", || {
        peers.is_asked_for_configuration()
    })
    .await;
    assert_eq!(expect_answer(call().await).0, 503);
}
