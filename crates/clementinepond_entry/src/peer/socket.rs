//! Datagrams exchanged with peers.

use super::traffic::{PeerTraffic, TrafficKind};
use crate::clock::BootClock;
use crate::node::{EntryNode, increment};
use clementinepond_dispatch::peer::{PeerEnvelope, PeerMessage, SMALL_FLEET_MAX_VMS};
use clementinepond_dispatch::suspect::CrashEvent;
use clementinepond_types::{LocalTime, TimeSpan, VmId};
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

/// Maximum size of a datagram.
const DATAGRAM_LIMIT_BYTES: usize = 60_000;
/// Interval between log lines on the bytes sent to peers.
const TRAFFIC_REPORT_INTERVAL: TimeSpan = TimeSpan::from_secs(5);

/// Encoded message to peers.
#[derive(Debug)]
pub(crate) struct PeerDatagram {
    bytes: Vec<u8>,
    kind: TrafficKind,
}

/// UDP socket for messages to peers.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    me: VmId,
    pub(crate) traffic: PeerTraffic,
}

impl PeerSocket {
    pub(crate) fn new(socket: UdpSocket, me: VmId) -> Self {
        Self {
            socket,
            me,
            traffic: PeerTraffic::default(),
        }
    }

    /// Encodes a message of this VM as a datagram; `None` with a log line if that fails.
    pub(crate) fn encode_own(&self, message: PeerMessage) -> Option<PeerDatagram> {
        self.encode(&PeerEnvelope {
            from: self.me.clone(),
            message,
        })
    }

    /// Encodes a message as a datagram; `None` with a log line if that fails.
    pub(crate) fn encode(&self, envelope: &PeerEnvelope) -> Option<PeerDatagram> {
        let kind = TrafficKind::of(&envelope.message);
        match postcard::to_allocvec(envelope) {
            Ok(bytes) if bytes.len() <= DATAGRAM_LIMIT_BYTES => Some(PeerDatagram { bytes, kind }),
            Ok(bytes) => {
                log::error!("event=message_too_large bytes={}", bytes.len());
                None
            }
            Err(error) => {
                log::error!("event=message_unwritable error=\"{error}\"");
                None
            }
        }
    }

    /// Sends a datagram without retrying if it gets lost; heartbeats and placement updates
    /// are sent again at the next interval anyway.
    pub(crate) fn send(&self, datagram: &PeerDatagram, to: SocketAddrV4) {
        match self.socket.try_send_to(&datagram.bytes, to.into()) {
            Ok(length) => self.traffic.record(datagram.kind, length),
            Err(error) => {
                increment(&self.traffic.dropped);
                log::debug!("event=message_dropped to={to} error=\"{error}\"");
            }
        }
    }
}

/// Receives and applies messages until the VM stops.
pub(crate) async fn run_receiver(
    node: Rc<EntryNode>,
    socket: Rc<PeerSocket>,
    stop: CancellationToken,
) {
    let started_at = BootClock::now();
    let mut buffer = vec![0; DATAGRAM_LIMIT_BYTES];
    loop {
        let received = tokio::select! {
            () = stop.cancelled() => return,
            received = socket.socket.recv_from(&mut buffer) => received,
        };
        let (length, from) = match received {
            Ok((length, SocketAddr::V4(from))) => (length, from),
            Ok(_) => continue,
            Err(error) => {
                log::debug!("event=message_unread error=\"{error}\"");
                continue;
            }
        };
        match postcard::from_bytes::<PeerEnvelope>(&buffer[..length]) {
            Ok(envelope) => apply(&node, &socket, envelope, from, started_at),
            Err(error) => log::warn!("event=message_malformed from={from} error=\"{error}\""),
        }
    }
}

fn apply(
    node: &Rc<EntryNode>,
    socket: &PeerSocket,
    envelope: PeerEnvelope,
    address: SocketAddrV4,
    started_at: LocalTime,
) {
    let from = envelope.from;
    if from == socket.me {
        return;
    }
    let now = BootClock::now();
    match envelope.message {
        PeerMessage::Heartbeat(heartbeat) => {
            node.apply_heartbeat(&from, address, heartbeat, started_at, now)
        }
        PeerMessage::Runs(update) => node.apply_runs(&from, update, now),
        PeerMessage::Placement(update) => node.apply_placement(*update, Some(&from), now),
        PeerMessage::Entries(update) => node.apply_entry_update(update),
        PeerMessage::AdapterReady(place) => node.apply_adapter_ready(place),
        PeerMessage::AdapterWanted {
            endpoint,
            model,
            adapter,
        } => node.apply_adapter_wanted(&from, &endpoint, &model, &adapter, now),
        PeerMessage::Relayed { relay_to, message } => {
            node.relay(from.clone(), (*message).clone(), relay_to);
            let message = *message;
            apply(
                node,
                socket,
                PeerEnvelope { from, message },
                address,
                started_at,
            );
        }
        PeerMessage::Configuration {
            incarnation,
            version,
        } => node.apply_announcement(&from, incarnation, version, now),
        PeerMessage::StreamOrigin {
            key,
            origin,
            time_left_ms,
        } => node.apply_origin(key, origin, TimeSpan::from_millis(time_left_ms.into())),
        PeerMessage::StreamOriginQuery { key } => node.answer_origin_query(key, address),
        PeerMessage::StreamOriginUnknown { key } => node.apply_origin_unknown(&from, key),
        PeerMessage::Crash(report) => node.apply_crash_report(report, address),
        PeerMessage::ClearanceQuery { suspects } => {
            node.apply_crash_event(CrashEvent::ClearanceQueried { suspects }, Some(address));
        }
        PeerMessage::Completions(reports) => node.apply_completion_reports(reports),
        PeerMessage::BlockedDigest { digest } => node.compare_blocked_digest(digest, address),
        PeerMessage::BlockedSuspects { blocked, is_reply } => {
            node.apply_blocked_reports(blocked, is_reply, address);
        }
        PeerMessage::Reach {
            incarnation,
            is_cut,
        } => {
            let mut state = node.state.borrow_mut();
            state.peers.record_reach(&from, incarnation, is_cut, now);
        }
        PeerMessage::Rejection { endpoint, most } => {
            let mut state = node.state.borrow_mut();
            state.rejections.record_peer_rejection(endpoint, most, now);
        }
        PeerMessage::SendLimit(report) => node.apply_limit_report(&report),
        PeerMessage::PermitQuery { ticket, limit } => {
            node.answer_permit_query(ticket, &limit, address);
        }
        PeerMessage::PermitReply { ticket, reply } => node.apply_permit_reply(ticket, reply),
    }
}

/// Sends heartbeats until the VM stops.
pub(crate) async fn run_heartbeats(
    node: Rc<EntryNode>,
    socket: Rc<PeerSocket>,
    stop: CancellationToken,
) {
    let mut number = 0;
    let mut reported = Default::default();
    let mut report_at = BootClock::now() + TRAFFIC_REPORT_INTERVAL;
    loop {
        let peers: Vec<SocketAddrV4> = {
            let state = node.state.borrow();
            state.peers.all().map(|(_, peer)| peer.address).collect()
        };
        let base = node.settings().peers.interval_ms as u64;
        // Beyond a small fleet the interval grows in proportion, which limits the rate of
        // datagrams per VM.
        let small = SMALL_FLEET_MAX_VMS as u64;
        let fleet = (peers.len() as u64 + 1).max(small);
        let interval = TimeSpan::from_millis(base * fleet / small);
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(interval.duration()) => {}
        }
        let now = BootClock::now();
        node.sweep_peers(now);
        node.flush_runs(now);
        number += 1;
        let heartbeat = node.own_heartbeat(number, now);
        if let Some(datagram) = socket.encode_own(PeerMessage::Heartbeat(Box::new(heartbeat))) {
            for peer in peers {
                socket.send(&datagram, peer);
            }
        }
        node.announce_blocked_digest();
        if now >= report_at {
            report_at = now + TRAFFIC_REPORT_INTERVAL;
            socket.traffic.log_since(&mut reported);
        }
    }
}
