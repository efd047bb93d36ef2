//! Peers of a VM that the test plays itself; they claim a state but do not hand it out.

use clementinepond_dispatch::peer::{PeerEnvelope, PeerHeartbeat, PeerMessage};
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// Number of peers; enough for a fleet in which few VMs watch the store.
pub(crate) const PEERS: u64 = 13;

/// What the peers claim in their heartbeats.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PeerClaim {
    /// Revision of the directory.
    pub(crate) directory: u64,
    /// Bandwidth of the link; that of the VM is 10 Mbit/s.
    pub(crate) link_mbps: u32,
}

/// Peers that share one address and leave requests for endpoints' entries unanswered.
pub(crate) struct FakePeers {
    socket: Arc<UdpSocket>,
    vm: SocketAddrV4,
    /// Version of the configuration that the peers claim to have.
    configuration: Arc<AtomicU64>,
    /// Whether the VM has closed each connection that is left unanswered.
    unanswered: Arc<Mutex<Vec<bool>>>,
    /// Whether the VM has requested the configuration, which is refused.
    is_asked: Arc<AtomicBool>,
    /// Versions of the configuration that the VM announced.
    announced: Arc<Mutex<Vec<u64>>>,
}

impl FakePeers {
    pub(crate) async fn start(vm: SocketAddrV4, claim: PeerClaim) -> Self {
        let (listener, socket) = loop {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            // The UDP port of the same number may be in use.
            if let Ok(socket) = UdpSocket::bind(listener.local_addr().unwrap()).await {
                break (listener, Arc::new(socket));
            }
        };
        let peers = Self {
            socket: Arc::clone(&socket),
            vm,
            configuration: Arc::new(AtomicU64::new(0)),
            unanswered: Arc::default(),
            is_asked: Arc::default(),
            announced: Arc::default(),
        };
        let configuration = Arc::clone(&peers.configuration);
        tokio::spawn(send_heartbeats(
            Arc::clone(&socket),
            vm,
            claim,
            configuration,
        ));
        tokio::spawn(record_announced(socket, Arc::clone(&peers.announced)));
        let unanswered = Arc::clone(&peers.unanswered);
        let is_asked = Arc::clone(&peers.is_asked);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(hold(stream, Arc::clone(&unanswered), Arc::clone(&is_asked)));
            }
        });
        peers
    }

    /// Sets the version of the configuration that the heartbeats claim.
    pub(crate) fn claim_configuration(&self, version: u64) {
        self.configuration.store(version, Ordering::Relaxed);
    }

    /// Announces a version of the configuration outside the heartbeats.
    pub(crate) async fn announce(&self, version: u64) {
        let message = PeerMessage::Configuration {
            incarnation: 0,
            version,
        };
        send(&self.socket, self.vm, 0, message).await;
    }

    pub(crate) fn is_asked_for_configuration(&self) -> bool {
        self.is_asked.load(Ordering::Relaxed)
    }

    pub(crate) fn has_heard(&self, version: u64) -> bool {
        self.announced.lock().unwrap().contains(&version)
    }

    /// Returns the number of requests left unanswered so far.
    pub(crate) fn unanswered(&self) -> usize {
        self.unanswered.lock().unwrap().len()
    }

    /// Returns whether the VM has given up an unanswered request.
    pub(crate) fn is_closed(&self, index: usize) -> bool {
        self.unanswered.lock().unwrap()[index]
    }
}

async fn send(socket: &UdpSocket, vm: SocketAddrV4, peer: u64, message: PeerMessage) {
    let envelope = PeerEnvelope {
        from: format!("peer-{peer}").parse().unwrap(),
        message,
    };
    let bytes = postcard::to_allocvec(&envelope).unwrap();
    // The VM may not listen yet, or no longer.
    let _ = socket.send_to(&bytes, vm).await;
}

async fn record_announced(socket: Arc<UdpSocket>, announced: Arc<Mutex<Vec<u64>>>) {
    let mut buffer = vec![0; 60_000];
    while let Ok(length) = socket.recv(&mut buffer).await {
        let envelope: PeerEnvelope = postcard::from_bytes(&buffer[..length]).unwrap();
        if let PeerMessage::Configuration { version, .. } = envelope.message {
            announced.lock().unwrap().push(version);
        }
    }
}

/// Refuses a request for the configuration; holds any other until the VM closes it.
async fn hold(mut stream: TcpStream, unanswered: Arc<Mutex<Vec<bool>>>, is_asked: Arc<AtomicBool>) {
    let mut buffer = [0; 1_024];
    let length = stream.read(&mut buffer).await.unwrap_or(0);
    if !String::from_utf8_lossy(&buffer[..length]).contains("since=") {
        is_asked.store(true, Ordering::Relaxed);
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

async fn send_heartbeats(
    socket: Arc<UdpSocket>,
    vm: SocketAddrV4,
    claim: PeerClaim,
    configuration: Arc<AtomicU64>,
) {
    for number in 1.. {
        for peer in 0..PEERS {
            let heartbeat = PeerHeartbeat {
                incarnation: peer,
                number,
                data_centre: "dc-a".parse().unwrap(),
                configuration: configuration.load(Ordering::Relaxed),
                directory: claim.directory,
                link_mbps: claim.link_mbps,
                has_store: true,
                is_cut: false,
                is_stopping: false,
                store_age_ms: 0,
                lease_fence: None,
                expired_order_age_ms: None,
                accounts: Vec::new(),
                loads: Vec::new(),
                demand: Vec::new(),
                ejected: Vec::new(),
            };
            let message = PeerMessage::Heartbeat(Box::new(heartbeat));
            send(&socket, vm, peer, message).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
