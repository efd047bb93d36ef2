//! State shared by the handlers for operators.

use crate::clock::LocalClock;
use crate::configuration::ConfigurationSnapshot;
use crate::node::NodeHandle;
use crate::platform::PlatformClient;
use crate::telemetry::{MetricSet, TraceLog};
use clementinepond_types::{DataCentreId, KeyDigest, VmId};
use std::sync::Arc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// State shared by the handlers for operators.
#[derive(Debug, Clone)]
pub(crate) struct AdminState {
    pub(crate) vm: VmId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) clock: LocalClock,
    pub(crate) credential_digest: KeyDigest,
    pub(crate) platform: PlatformClient,
    pub(crate) node: NodeHandle,
    pub(crate) snapshot: watch::Receiver<Arc<ConfigurationSnapshot>>,
    pub(crate) metrics: Arc<MetricSet>,
    pub(crate) trace_log: Arc<TraceLog>,
    /// Whether the load balancer may send callers to this VM.
    pub(crate) ready: watch::Receiver<bool>,
    pub(crate) stopping: CancellationToken,
}
