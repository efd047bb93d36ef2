//! State shared by the handlers for callers.

use crate::clock::LocalClock;
use crate::configuration::ConfigurationSnapshot;
use crate::node::NodeHandle;
use crate::telemetry::{MetricSet, TraceSource};
use clementinepond_settings::vm::{CallerSettings, RequestSettings};
use std::sync::Arc;
use tokio::sync::{Semaphore, watch};
use tokio_util::sync::CancellationToken;

/// State shared by the handlers for callers.
#[derive(Debug, Clone)]
pub(crate) struct CallerState {
    pub(crate) clock: LocalClock,
    pub(crate) caller: CallerSettings,
    pub(crate) request: RequestSettings,
    pub(crate) node: NodeHandle,
    pub(crate) snapshot: watch::Receiver<Arc<ConfigurationSnapshot>>,
    pub(crate) metrics: Arc<MetricSet>,
    pub(crate) traces: TraceSource,
    /// Free slots for concurrent requests.
    pub(crate) slots: Arc<Semaphore>,
    /// Token that is cancelled when the graceful shutdown begins.
    pub(crate) stopping: CancellationToken,
}

impl CallerState {
    pub(crate) fn snapshot(&self) -> Arc<ConfigurationSnapshot> {
        Arc::clone(&self.snapshot.borrow())
    }
}
