//! What every handler for callers shares.

use crate::clock::LocalClock;
use crate::configuration::ConfigurationSnapshot;
use crate::node::NodeHandle;
use crate::telemetry::{MetricSet, TraceSource};
use clementinepond_settings::vm::{CallerSettings, RequestSettings};
use std::sync::Arc;
use tokio::sync::{Semaphore, watch};
use tokio_util::sync::CancellationToken;

/// What every handler for callers shares.
#[derive(Debug, Clone)]
pub(crate) struct CallerState {
    pub(crate) clock: LocalClock,
    pub(crate) caller: CallerSettings,
    pub(crate) request: RequestSettings,
    pub(crate) node: NodeHandle,
    pub(crate) snapshot: watch::Receiver<Arc<ConfigurationSnapshot>>,
    pub(crate) metrics: Arc<MetricSet>,
    pub(crate) traces: TraceSource,
    /// Requests that may still start.
    pub(crate) slots: Arc<Semaphore>,
    /// Cancelled when the VM begins to stop.
    pub(crate) stopping: CancellationToken,
}

impl CallerState {
    pub(crate) fn snapshot(&self) -> Arc<ConfigurationSnapshot> {
        Arc::clone(&self.snapshot.borrow())
    }
}
