//! Detection of endpoints that crashed while they ran a request.

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
pub(crate) fn suspect_crash(node: &Rc<EntryNode>, fingerprint: u64, picked: &PickedEndpoint) {
    let node = Rc::clone(node);
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
        log::info!(
            "event=crash_suspected endpoint={id} fingerprint={fingerprint:016x} count={count}"
        );
        node.broadcast(PeerMessage::Crash { fingerprint });
    });
}
