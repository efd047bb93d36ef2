//! Reach of the endpoints: this VM's own links to them, and those of its peers.

use super::EntryNode;
use crate::clock::BootClock;
use crate::forward::ask_reach;
use crate::http::{ConnectFailure, open_endpoint_connection};
use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::peer::PeerMessage;
use clementinepond_dispatch::reach::PathChange;
use clementinepond_types::{EndpointId, TimeSpan, VmId};
use derive_more::{Display, FromStr};
use rand::RngExt;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Maximum time for a connection that shows whether an endpoint is reached.
const PROBE_TIMEOUT: TimeSpan = TimeSpan::from_millis(250);

/// Whether an endpoint is reached, best first.
#[derive(Debug, Display, FromStr, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub(crate) enum ReachVerdict {
    /// It accepts connections.
    Reached,
    /// It accepts those of a peer only.
    LinkFailed,
    /// It refuses connections: its process has ended.
    Refused,
    /// No connection can be made.
    Unreachable,
}

impl EntryNode {
    /// Returns whether a peer may reach an endpoint to which a direct connection failed.
    pub(crate) fn may_forward(&self, endpoint: NameHash) -> bool {
        let now = BootClock::now();
        self.state.borrow().paths.may_forward(endpoint, now) && self.forwarder(&[]).is_some()
    }

    /// Returns a peer that reaches the endpoints and is not in `excluded`, and its address.
    pub(crate) fn forwarder(&self, excluded: &[VmId]) -> Option<(VmId, SocketAddrV4)> {
        let data_centre = self.settings().data_centre.clone();
        let draw = || rand::rng().random();
        let state = self.state.borrow();
        state
            .peers
            .forwarder(&data_centre, excluded, draw, BootClock::now())
    }

    /// Records that a peer reached an endpoint to which this VM could not connect.
    pub(crate) fn record_failed_link(&self, id: &EndpointId, failure: ConnectFailure) {
        let endpoint = NameHash::of(id.as_str());
        log::info!("event=link_failed endpoint={id} reason=\"{failure}\"");
        self.pool.forget(id);
        let change = {
            let mut guard = self.state.borrow_mut();
            let state = &mut *guard;
            // The failures are this VM's own.
            state.health.remove(id);
            state.ejected_here.remove(&endpoint);
            state.paths.record_failed_link(endpoint, BootClock::now())
        };
        self.apply_path_change(change);
    }

    /// Records that neither this VM nor a peer reached an endpoint.
    pub(crate) fn record_endpoint_down(&self, id: &EndpointId) {
        let endpoint = NameHash::of(id.as_str());
        let mut state = self.state.borrow_mut();
        state.paths.record_down(endpoint, BootClock::now());
    }

    fn apply_path_change(&self, change: PathChange) {
        let is_cut = match change {
            PathChange::Same => return,
            PathChange::Cut => true,
            PathChange::Restored => false,
        };
        log::warn!("event=endpoints_cut is_cut={is_cut}");
        if is_cut {
            self.pool.forget_endpoints();
            let mut state = self.state.borrow_mut();
            state.health.clear();
            state.ejected_here.clear();
        }
        let recipients = {
            let state = self.state.borrow();
            state.peers.recipients(None, BootClock::now())
        };
        let message = PeerMessage::Reach {
            incarnation: self.incarnation,
            is_cut,
        };
        self.send_through_relays(message, recipients);
    }

    /// Opens a connection to find out whether an endpoint is reached.
    pub(crate) async fn connect_verdict(&self, address: SocketAddrV4) -> ReachVerdict {
        match open_endpoint_connection(address, PROBE_TIMEOUT).await {
            Ok(_) => ReachVerdict::Reached,
            Err(ConnectFailure::Refused) => ReachVerdict::Refused,
            Err(_) => ReachVerdict::Unreachable,
        }
    }

    /// Finds out whether an endpoint is reached; peers tell a fault of the endpoint from
    /// one of this VM's link.
    pub(crate) async fn check_endpoint(
        &self,
        id: &EndpointId,
        address: SocketAddrV4,
    ) -> ReachVerdict {
        let endpoint = NameHash::of(id.as_str());
        let was_forwarded = self.state.borrow().paths.is_forwarded(endpoint);
        let own = if was_forwarded {
            ReachVerdict::Unreachable
        } else {
            self.connect_verdict(address).await
        };
        if own == ReachVerdict::Reached {
            return own;
        }
        match ask_reach(self, id).await {
            Some(ReachVerdict::Reached) if was_forwarded => ReachVerdict::Reached,
            Some(ReachVerdict::Reached) => {
                let failure = match own {
                    ReachVerdict::Refused => ConnectFailure::Refused,
                    _ => ConnectFailure::Timeout,
                };
                self.record_failed_link(id, failure);
                ReachVerdict::LinkFailed
            }
            Some(verdict) => verdict,
            None => own,
        }
    }

    /// Checks in the background whether an endpoint that does not answer is reached.
    pub(crate) fn spawn_endpoint_check(self: &Rc<Self>, id: &EndpointId, address: SocketAddrV4) {
        let endpoint = NameHash::of(id.as_str());
        if !self.state.borrow_mut().checked_endpoints.insert(endpoint) {
            return;
        }
        let (node, id) = (Rc::clone(self), id.clone());
        tokio::task::spawn_local(async move {
            let verdict = node.check_endpoint(&id, address).await;
            log::debug!("event=endpoint_checked endpoint={id} verdict={verdict}");
            node.state.borrow_mut().checked_endpoints.remove(&endpoint);
        });
    }

    /// Tries a direct connection to an endpoint whose link failed, if one is due.
    pub(crate) fn probe_failed_links(self: &Rc<Self>) {
        let due = {
            let mut guard = self.state.borrow_mut();
            let state = &mut *guard;
            let Some(endpoint) = state.paths.due_probe(BootClock::now()) else {
                return;
            };
            let is_due = |entry: &&EndpointId| NameHash::of(entry.as_str()) == endpoint;
            let mut ids = state.directory.all().map(|known| &known.entry.id);
            let id = ids.find(is_due).cloned();
            id.and_then(|id| Some((state.directory.get(&id)?.entry.address, id)))
        };
        let Some((address, id)) = due else {
            return;
        };
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            if node.connect_verdict(address).await != ReachVerdict::Reached {
                return;
            }
            log::info!("event=link_restored endpoint={id}");
            let endpoint = NameHash::of(id.as_str());
            let change = node.state.borrow_mut().paths.record_connected(endpoint);
            node.apply_path_change(change);
        });
    }
}
