//! Detection of endpoints that crashed while they ran a request.

use super::admission::AdmittedRequest;
use crate::clock::BootClock;
use crate::http::{ConnectFailure, open_connection};
use crate::node::{EntryNode, PickedEndpoint};
use clementinepond_dispatch::peer::PeerMessage;
use clementinepond_types::TimeSpan;
use std::rc::Rc;

/// Maximum time for a connection that shows whether an endpoint crashed or only its
/// connection was lost.
const CRASH_PROBE_TIMEOUT: TimeSpan = TimeSpan::from_millis(250);

/// Records a crash against a request if its endpoint refuses connections after it lost
/// the request, and reports the crash to the peers.
pub(crate) fn suspect_crash(
    node: &Rc<EntryNode>,
    request: &Rc<AdmittedRequest>,
    picked: &PickedEndpoint,
) {
    let node = Rc::clone(node);
    let request = Rc::clone(request);
    let fingerprint = request.fingerprint;
    let address = picked.address;
    let id = picked.id.clone();
    tokio::task::spawn_local(async move {
        let probe = open_connection(address, CRASH_PROBE_TIMEOUT).await;
        if !matches!(probe, Err(ConnectFailure::Refused)) {
            return;
        }
        let now = BootClock::now();
        let count = node
            .state
            .borrow_mut()
            .suspects
            .record_crash(fingerprint, now);
        let blocks: Vec<String> = request
            .profile
            .blocks
            .iter()
            .map(|block| format!("{:x}", block.id))
            .collect();
        log::info!(
            "event=crash_suspected request={} endpoint={id} fingerprint={fingerprint:016x} blocks={} count={count}",
            request.profile.id.as_ref().map_or("-", |id| id.as_str()),
            blocks.join(",")
        );
        node.broadcast(PeerMessage::Crash { fingerprint });
    });
}
