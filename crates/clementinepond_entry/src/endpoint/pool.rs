//! Idle connections to endpoints.

use super::{PooledConnection, ReuseRule};
use crate::clock::BootClock;
use clementinepond_types::{EndpointId, VmId};
use fnv::FnvHashMap;
use std::cell::RefCell;

/// Maximum number of idle connections to an endpoint or a peer; limits file descriptors on small VMs.
const MAX_IDLE_CONNECTIONS: usize = 12;

/// Server of an idle connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum PoolKey {
    /// Endpoint.
    Endpoint(EndpointId),
    /// Peer that forwards requests.
    Peer(VmId),
}

/// Idle connections by server.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<FnvHashMap<PoolKey, Vec<PooledConnection>>>,
}

impl ConnectionPool {
    /// Removes and returns the connection that was used last, if the rule allows its reuse.
    pub(crate) fn take(&self, key: &PoolKey, rule: ReuseRule) -> Option<PooledConnection> {
        let now = BootClock::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(key)?;
        connections.retain(|connection| connection.is_usable(ReuseRule::Retryable, now));
        let index = connections
            .iter()
            .rposition(|connection| connection.is_usable(rule, now))?;
        Some(connections.remove(index))
    }

    /// Adds an idle connection, or closes it if the server has enough of them.
    pub(crate) fn put(&self, key: PoolKey, connection: PooledConnection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(key).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn forget(&self, id: &EndpointId) {
        let key = PoolKey::Endpoint(id.clone());
        self.idle.borrow_mut().remove(&key);
    }

    /// Closes the idle connections to all endpoints.
    pub(crate) fn forget_endpoints(&self) {
        let is_peer = |key: &PoolKey| matches!(key, PoolKey::Peer(_));
        self.idle.borrow_mut().retain(|key, _| is_peer(key));
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn sweep(&self) {
        let now = BootClock::now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|connection| connection.is_usable(ReuseRule::Retryable, now));
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}
