//! Bytes sent to peers, by type of message.

use clementinepond_dispatch::peer::PeerMessage;
use std::cell::Cell;
use std::fmt::Write;

/// Type of a message to peers for which traffic is counted.
#[derive(Debug, Clone, Copy)]
pub(crate) enum TrafficKind {
    /// Heartbeats.
    Heartbeat,
    /// Announcements of requests.
    Runs,
    /// Changes to endpoints' entries.
    Entries,
    /// Updates of the placement.
    Placement,
    /// Origins of streams, and queries for them.
    Origins,
    /// All other datagrams.
    Other,
    /// Answers to snapshot requests.
    Snapshot,
}

impl TrafficKind {
    /// All types, in the order in which they are reported.
    pub(crate) const ALL: [Self; 7] = [
        Self::Heartbeat,
        Self::Runs,
        Self::Entries,
        Self::Placement,
        Self::Origins,
        Self::Other,
        Self::Snapshot,
    ];

    pub(crate) const fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Heartbeat(_) => Self::Heartbeat,
            PeerMessage::Runs(_) => Self::Runs,
            PeerMessage::Entries(_) => Self::Entries,
            PeerMessage::Placement(_) => Self::Placement,
            PeerMessage::Relayed { message, .. } => Self::of(message),
            PeerMessage::StreamOrigin { .. }
            | PeerMessage::StreamOriginQuery { .. }
            | PeerMessage::StreamOriginUnknown { .. } => Self::Origins,
            PeerMessage::AdapterWanted { .. }
            | PeerMessage::AdapterReady(_)
            | PeerMessage::Crash(_)
            | PeerMessage::ClearanceQuery { .. }
            | PeerMessage::Completions(_)
            | PeerMessage::BlockedDigest { .. }
            | PeerMessage::BlockedSuspects { .. }
            | PeerMessage::Reach { .. }
            | PeerMessage::Rejection { .. }
            | PeerMessage::SendLimit(_)
            | PeerMessage::PermitQuery { .. }
            | PeerMessage::PermitReply { .. }
            | PeerMessage::Configuration { .. } => Self::Other,
        }
    }

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Runs => "runs",
            Self::Entries => "entries",
            Self::Placement => "placement",
            Self::Origins => "origins",
            Self::Other => "other",
            Self::Snapshot => "snapshot",
        }
    }
}

/// Bytes sent to peers since the start of the process.
#[derive(Debug, Default)]
pub(crate) struct PeerTraffic {
    bytes: [Cell<u64>; TrafficKind::ALL.len()],
    /// Datagrams that the socket did not accept.
    pub(crate) dropped: Cell<u64>,
}

impl PeerTraffic {
    pub(crate) fn record(&self, kind: TrafficKind, bytes: usize) {
        let counter = &self.bytes[kind as usize];
        counter.set(counter.get() + bytes as u64);
    }

    pub(crate) fn bytes(&self, kind: TrafficKind) -> u64 {
        self.bytes[kind as usize].get()
    }

    /// Logs the bytes sent since the counts in `reported`, which it updates.
    pub(crate) fn log_since(&self, reported: &mut [u64; TrafficKind::ALL.len()]) {
        let mut fields = String::new();
        for (kind, before) in TrafficKind::ALL.into_iter().zip(reported) {
            let total = self.bytes(kind);
            // Writing to a string cannot fail.
            let _ = write!(fields, " {}={}", kind.name(), total - *before);
            *before = total;
        }
        log::info!("event=peer_traffic{fields} dropped={}", self.dropped.get());
    }
}
