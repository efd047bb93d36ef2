//! What the edges send to the node task.

use super::CallerCall;
use clementinepond_decide::node::NodeEvent;
use clementinepond_decide::request::RequestProfile;
use clementinepond_decide::route::EndpointState;
use clementinepond_types::{EndpointId, KeyDigest, RequestTicket};
use serde::Serialize;
use tokio::sync::oneshot;

/// What the edges send to the node task.
#[derive(Debug)]
pub(crate) enum NodeInput {
    /// An event without a caller.
    Event(NodeEvent),
    /// A caller's request.
    Arrival {
        ticket: RequestTicket,
        profile: RequestProfile,
        key: Option<KeyDigest>,
        call: CallerCall,
    },
    /// A question of the administration API.
    Status(oneshot::Sender<NodeStatus>),
    /// Keys that no longer work.
    KeysWithdrawn(Vec<KeyDigest>),
}

/// What the administration API shows of the node.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct NodeStatus {
    pub(crate) running_requests: usize,
    pub(crate) endpoints: Vec<EndpointStatus>,
}

/// What the administration API shows of one endpoint.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct EndpointStatus {
    pub(crate) endpoint: Box<str>,
    pub(crate) data_centre: Box<str>,
    pub(crate) leaving: bool,
    pub(crate) running: u32,
    pub(crate) queued: u32,
    pub(crate) in_flight: u32,
    pub(crate) models: Vec<Box<str>>,
}

impl EndpointStatus {
    pub(crate) fn new(endpoint: &EndpointId, state: &EndpointState) -> Self {
        let report = state.report.as_ref();
        Self {
            endpoint: endpoint.as_str().into(),
            data_centre: state.profile.data_centre.as_str().into(),
            leaving: state.is_leaving(),
            running: report.map_or(0, |report| report.running),
            queued: report.map_or(0, |report| report.queued),
            in_flight: state.in_flight,
            models: report.map_or_else(Vec::new, |report| {
                report.models.keys().map(|id| id.as_str().into()).collect()
            }),
        }
    }
}
