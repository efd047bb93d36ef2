//! State of one call of the reducer.

use super::{NodeEffect, NodeEvent, NodeState, PeerMessage};
use crate::request::RequestEvent;
use clementinepond_types::{LocalTime, VmId};
use std::collections::VecDeque;

/// Reducer of one event and of the events that it causes at this VM.
pub(super) struct NodeReducer<'a> {
    pub(super) state: &'a mut NodeState,
    pub(super) now: LocalTime,
    pub(super) pending: VecDeque<NodeEvent>,
    pub(super) effects: Vec<NodeEffect>,
}

impl NodeReducer<'_> {
    /// Queues an event behind those that are pending in this call.
    pub(super) fn enqueue(&mut self, event: NodeEvent) {
        self.pending.push_back(event);
    }

    pub(super) fn enqueue_request(&mut self, event: RequestEvent) {
        self.enqueue(NodeEvent::Request(event));
    }

    /// Sends a message; a message to this VM itself is queued as an event.
    pub(super) fn send(&mut self, to: VmId, message: impl Into<PeerMessage>) {
        let message = Box::new(message.into());
        if to == self.state.vm {
            let from = to;
            self.enqueue(NodeEvent::Received { from, message });
        } else {
            self.effects.push(NodeEffect::Send { to, message });
        }
    }
}
