//! Idle connections to endpoints.

use super::{PooledConnection, ReuseRule};
use crate::clock::BootClock;
use clementinepond_types::EndpointId;
use fnv::FnvHashMap;
use std::cell::RefCell;

/// Maximum number of idle connections to an endpoint; limits file descriptors on small VMs.
const MAX_IDLE_CONNECTIONS: usize = 12;

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<FnvHashMap<EndpointId, Vec<PooledConnection>>>,
}

impl ConnectionPool {
    /// Removes and returns the connection that was used last, if the rule allows its reuse.
    pub(crate) fn take(&self, id: &EndpointId, rule: ReuseRule) -> Option<PooledConnection> {
        let now = BootClock::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(id)?;
        connections.retain(|connection| connection.is_usable(ReuseRule::Retryable, now));
        let index = connections
            .iter()
            .rposition(|connection| connection.is_usable(rule, now))?;
        Some(connections.remove(index))
    }

    /// Adds an idle connection, or closes it if the endpoint has enough of them.
    pub(crate) fn put(&self, id: &EndpointId, connection: PooledConnection) {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(id.clone()).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to an endpoint.
    pub(crate) fn forget(&self, id: &EndpointId) {
        self.idle.borrow_mut().remove(id);
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
