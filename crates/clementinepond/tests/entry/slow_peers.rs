//! Peers that claim a newer state but do not hand it out.

use crate::support::{Deployment, configuration, wait_until};
use clementinepond_dispatch::peer::{PeerEnvelope, PeerHeartbeat, PeerMessage};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Number of peers; enough for a fleet in which few VMs watch the store.
const PEERS: u64 = 13;

/// Peers that share one address and leave requests for endpoints' entries unanswered.
struct SlowPeers {
    address: SocketAddrV4,
    /// Version of the configuration that the peers claim to have.
    configuration: Arc<AtomicU64>,
    /// Whether the VM has closed each connection that is left unanswered.
    unanswered: Arc<Mutex<Vec<bool>>>,
}

impl SlowPeers {
    async fn start(vm: SocketAddrV4) -> Self {
        let (listener, socket) = loop {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            // The UDP port of the same number may be in use.
            if let Ok(socket) = UdpSocket::bind(listener.local_addr().unwrap()).await {
                break (listener, socket);
            }
        };
        let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
            unreachable!("the listener is bound to an IPv4 address");
        };
        let peers = Self {
            address,
            configuration: Arc::new(AtomicU64::new(0)),
            unanswered: Arc::default(),
        };
        tokio::spawn(send_heartbeats(
            socket,
            vm,
            Arc::clone(&peers.configuration),
        ));
        let unanswered = Arc::clone(&peers.unanswered);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(hold(stream, Arc::clone(&unanswered)));
            }
        });
        peers
    }

    fn unanswered(&self) -> usize {
        self.unanswered.lock().unwrap().len()
    }

    fn is_closed(&self, index: usize) -> bool {
        self.unanswered.lock().unwrap()[index]
    }
}

/// Holds a connection open until the VM closes it.
async fn hold(mut stream: TcpStream, unanswered: Arc<Mutex<Vec<bool>>>) {
    let mut buffer = [0; 1_024];
    let length = stream.read(&mut buffer).await.unwrap_or(0);
    if !String::from_utf8_lossy(&buffer[..length]).contains("since=") {
        return;
    }
    let index = {
        let mut unanswered = unanswered.lock().unwrap();
        unanswered.push(false);
        unanswered.len() - 1
    };
    while stream
        .read(&mut buffer)
        .await
        .is_ok_and(|length| length > 0)
    {}
    unanswered.lock().unwrap()[index] = true;
}

async fn send_heartbeats(socket: UdpSocket, vm: SocketAddrV4, configuration: Arc<AtomicU64>) {
    for number in 1.. {
        for peer in 0..PEERS {
            let heartbeat = PeerHeartbeat {
                incarnation: peer,
                number,
                data_centre: "dc-a".parse().unwrap(),
                configuration: configuration.load(Ordering::Relaxed),
                directory: u64::MAX,
                link_mbps: 1_000,
                has_store: true,
                store_age_ms: 0,
                lease_fence: None,
                expired_order_age_ms: None,
                accounts: Vec::new(),
                loads: Vec::new(),
                demand: Vec::new(),
                ejected: Vec::new(),
            };
            let envelope = PeerEnvelope {
                from: format!("peer-{peer}").parse().unwrap(),
                message: PeerMessage::Heartbeat(Box::new(heartbeat)),
            };
            let bytes = postcard::to_allocvec(&envelope).unwrap();
            // The VM may not listen yet, or no longer.
            let _ = socket.send_to(&bytes, vm).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_does_not_wait_for_endpoint_snapshots() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    let peers = SlowPeers::start(entry.peers).await;
    wait_until("the VM knows its peers", || {
        entry.has_logged(&format!("peer=peer-{} ", PEERS - 1))
    })
    .await;
    let before = peers.unanswered();
    wait_until("the VM asks a peer for entries", || {
        peers.unanswered() > before
    })
    .await;
    deployment.store.put("config", "main", configuration(9));
    peers.configuration.store(9, Ordering::Relaxed);
    wait_until("the VM applies the configuration", || {
        entry.has_logged("event=configuration_applied version=9")
    })
    .await;
    assert!(
        !peers.is_closed(before),
        "the VM applied the configuration only after its request to {} had timed out",
        peers.address
    );
}
