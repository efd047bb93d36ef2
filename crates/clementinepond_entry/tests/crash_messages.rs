//! Sizes of the messages about requests that crash endpoints.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::peer::{
    BlockedReport, CompletionReport, CrashReport, LostRunReport, PeerEnvelope, PeerMessage,
};
use clementinepond_dispatch::suspect::{CrashSuspect, EndpointCrash};

/// Maximum size of a datagram that the VMs send.
const DATAGRAM_LIMIT_BYTES: usize = 60_000;

fn encoded_bytes(message: PeerMessage) -> usize {
    let from = "edge-kyushu-b-1".parse().unwrap();
    postcard::to_allocvec(&PeerEnvelope { from, message })
        .unwrap()
        .len()
}

fn crash_report(runs: usize, blocks: u64) -> PeerMessage {
    let run = |number: usize| LostRunReport {
        suspects: [CrashSuspect::Request(u64::MAX - number as u64)]
            .into_iter()
            .chain((0..blocks).map(|block| CrashSuspect::Block(0xffff_0000 + block)))
            .collect(),
        sent_ms_ago: 1_500,
    };
    PeerMessage::Crash(CrashReport {
        crash: EndpointCrash {
            endpoint: NameHash::of("i-5643d99beb"),
            started_ms: 1_800_000_000_000,
        },
        lost_ms_ago: 8,
        runs: (0..runs).map(run).collect(),
    })
}

fn blocked_suspects(count: u64) -> PeerMessage {
    let blocked = |number| BlockedReport {
        suspect: CrashSuspect::Block(0xffff_0000 + number),
        since_ms_ago: 80_000_000,
        unseen_ms: 80_000_000,
    };
    PeerMessage::BlockedSuspects {
        blocked: (0..count).map(blocked).collect(),
        is_reply: true,
    }
}

#[test]
fn messages_about_crashes_fit_into_a_datagram() {
    let suspects = vec![CrashSuspect::Block(0xffff_0000)];
    let completions = vec![CompletionReport {
        suspect: suspects[0],
        completed_ms_ago: 20_000,
    }];
    let usual = [
        ("report of one run", crash_report(1, 3), 90),
        ("report of 16 runs", crash_report(16, 3), 700),
        ("query", PeerMessage::ClearanceQuery { suspects }, 30),
        ("answer", PeerMessage::Completions(completions), 40),
        (
            "digest",
            PeerMessage::BlockedDigest { digest: u64::MAX },
            30,
        ),
        ("list of one", blocked_suspects(1), 40),
    ];
    for (name, message, limit) in usual {
        let bytes = encoded_bytes(message);
        println!("{name}: {bytes} bytes");
        assert!(bytes <= limit, "{name}: {bytes} bytes");
    }
    for (name, message) in [
        ("report of a VM's 200 runs", crash_report(200, 8)),
        ("full list", blocked_suspects(512)),
    ] {
        let bytes = encoded_bytes(message);
        println!("{name}: {bytes} bytes");
        assert!(bytes <= DATAGRAM_LIMIT_BYTES, "{name}: {bytes} bytes");
    }
}
