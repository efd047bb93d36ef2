//! Room of brittle endpoints, and the exchange of their rejections with the peers.

use super::{EntryNode, NodeState, RefusalCause};
use crate::clock::BootClock;
use clementinepond_dispatch::directory::KnownEndpoint;
use clementinepond_dispatch::fleet::Stated;
use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::peer::PeerMessage;
use clementinepond_dispatch::rejection::EndpointRoom;
use clementinepond_types::{EndpointId, LocalTime, TimeSpan};

/// Stated retry delay while brittle endpoints have no free slot; a few short requests end in
/// it.
const ROOM_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(100);

impl EntryNode {
    /// Records how many rejections in a second an endpoint states to survive.
    pub(crate) fn record_brittleness(
        &self,
        id: &EndpointId,
        most: Stated<u32>,
        sent_at: LocalTime,
    ) {
        let endpoint = NameHash::of(id.as_str());
        let now = BootClock::now();
        let mut state = self.state.borrow_mut();
        if state.rejections.record_answer(endpoint, most, sent_at, now) {
            log::info!("event=endpoint_brittle endpoint={id} most={most:?}");
        }
    }

    /// Records that an endpoint had no room for a request, and reports it to the peers if the
    /// endpoint is brittle.
    pub(crate) fn record_rejection(&self, id: &EndpointId) {
        let endpoint = NameHash::of(id.as_str());
        let now = BootClock::now();
        let mut state = self.state.borrow_mut();
        let Some(most) = state.rejections.record_rejection(endpoint, now) else {
            return;
        };
        let recipients = state.peers.recipients(None, now);
        drop(state);
        let message = PeerMessage::Rejection { endpoint, most };
        self.send_through_relays(message, recipients);
    }
}

/// Returns the endpoints with room for a request.
///
/// `slots` are those of an engine, whose requests are announced to all VMs at once; `None`
/// takes those of each endpoint. Fails if no endpoint has room.
pub(super) fn with_room<'a>(
    state: &NodeState,
    endpoints: Vec<&'a KnownEndpoint>,
    slots: Option<u32>,
    now: LocalTime,
) -> Result<Vec<&'a KnownEndpoint>, RefusalCause> {
    let is_empty = endpoints.is_empty();
    let vms = state.peers.peer_counts(now).0 as u32 + 1;
    let has_room = |known: &&KnownEndpoint| {
        let endpoint = NameHash::of(known.entry.id.as_str());
        let room = EndpointRoom {
            slots: slots.unwrap_or(known.entry.slots),
            own_runs: state.loads.own(endpoint).runs,
            total_runs: state.loads.total(endpoint).runs,
            unannounced_vms: if slots.is_some() { 1 } else { vms },
        };
        state.rejections.has_room(endpoint, room, now)
    };
    let open: Vec<&KnownEndpoint> = endpoints.into_iter().filter(has_room).collect();
    if open.is_empty() && !is_empty {
        return Err(RefusalCause::Full(ROOM_RETRY_DELAY));
    }
    Ok(open)
}
