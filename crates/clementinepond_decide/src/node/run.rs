//! One event and all that follows from it at once.

use super::{NodeEffect, NodeEvent, NodeState, PeerMessage};
use crate::request::RequestEvent;
use clementinepond_types::{LocalTime, VmId};
use std::collections::VecDeque;

/// One event and all that follows from it at once.
pub(super) struct NodeRun<'a> {
    pub(super) state: &'a mut NodeState,
    pub(super) now: LocalTime,
    pub(super) pending: VecDeque<NodeEvent>,
    pub(super) effects: Vec<NodeEffect>,
}

impl NodeRun<'_> {
    /// Lets an event follow the one that is being taken.
    pub(super) fn follow(&mut self, event: NodeEvent) {
        self.pending.push_back(event);
    }

    pub(super) fn follow_request(&mut self, event: RequestEvent) {
        self.follow(NodeEvent::Request(event));
    }

    /// Sends a message; one to this VM itself needs no network.
    pub(super) fn send(&mut self, to: VmId, message: impl Into<PeerMessage>) {
        let message = Box::new(message.into());
        if to == self.state.vm {
            let from = to;
            self.follow(NodeEvent::Received { from, message });
        } else {
            self.effects.push(NodeEffect::Send { to, message });
        }
    }
}
