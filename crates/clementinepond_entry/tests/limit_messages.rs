//! Sizes of the messages about limits that endpoints state.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::peer::{LimitReport, PeerEnvelope, PeerMessage, PermitReply};

/// Maximum size of a message; each permit takes two of them.
const MESSAGE_LIMIT_BYTES: usize = 64;

#[test]
fn messages_about_limits_are_small() {
    let limit = LimitReport {
        endpoint: NameHash::of("i-5643d99beb"),
        rate: Some("1999.999".parse().unwrap()),
        known_ms_ago: 100_000_000,
    };
    let ticket = u64::MAX;
    let denied = PermitReply::Denied { retry_ms: 10_000 };
    let messages = [
        PeerMessage::SendLimit(limit.clone()),
        PeerMessage::PermitQuery { ticket, limit },
        PeerMessage::PermitReply {
            ticket,
            reply: denied,
        },
    ];
    for message in messages {
        let from = "edge-kyushu-b-1".parse().unwrap();
        let envelope = PeerEnvelope { from, message };
        let bytes = postcard::to_allocvec(&envelope).unwrap().len();
        assert!(bytes <= MESSAGE_LIMIT_BYTES, "{bytes} bytes: {envelope:?}");
    }
}
