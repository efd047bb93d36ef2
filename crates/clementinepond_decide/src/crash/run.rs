//! Runs on this VM that wait for a permit, hold one, or are in flight.

use super::identity::{EndpointIncarnation, EndpointLoss, RequestFingerprint};
use clementinepond_types::{EndpointId, LocalTime};

/// Stage: waiting for a permit.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) candidates: Vec<EndpointId>,
    pub(crate) deadline: LocalTime,
    pub(crate) next_send: LocalTime,
    /// Time after which this VM decides without the arbiter; postponed by each answer
    /// of another VM.
    pub(crate) arbiter_deadline: LocalTime,
}

/// Stage: permitted; not sent to the endpoint yet.
#[derive(Debug, Clone)]
pub(crate) struct Permitted {
    pub(crate) endpoint: EndpointId,
}

/// Stage: in flight at an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct InFlight {
    /// Process that runs the request; counted as lost if the connection breaks.
    pub(crate) loss: EndpointLoss,
    pub(crate) started_at: LocalTime,
    /// Whether the run is registered with the arbiter.
    pub(crate) is_registered: bool,
}

impl InFlight {
    pub(crate) fn new(
        endpoint: EndpointId,
        incarnation: EndpointIncarnation,
        started_at: LocalTime,
        is_registered: bool,
    ) -> Self {
        Self {
            loss: EndpointLoss {
                endpoint,
                incarnation,
            },
            started_at,
            is_registered,
        }
    }
}

/// Run of a request, in stage `S`.
#[derive(Debug, Clone)]
pub(crate) struct RequestRun<S> {
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) stage: S,
}

/// Run of a request in any stage.
#[derive(Debug, Clone)]
pub(crate) enum RunEntry {
    Waiting(RequestRun<Waiting>),
    Permitted(RequestRun<Permitted>),
    InFlight(RequestRun<InFlight>),
}

impl RunEntry {
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        match self {
            Self::Waiting(run) => run.fingerprint,
            Self::Permitted(run) => run.fingerprint,
            Self::InFlight(run) => run.fingerprint,
        }
    }
}
