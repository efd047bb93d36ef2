//! Runs that this VM asked for or has in flight.

use super::identity::{EndpointIncarnation, EndpointLoss, RequestFingerprint};
use clementinepond_types::{EndpointId, LocalTime};

/// The run waits for the arbiter.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) candidates: Vec<EndpointId>,
    pub(crate) deadline: LocalTime,
    pub(crate) next_send: LocalTime,
    /// Moment after which this VM decides alone.
    pub(crate) patience: LocalTime,
}

/// The run may be sent to one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Permitted {
    pub(crate) endpoint: EndpointId,
}

/// The run is at an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct InFlight {
    pub(crate) loss: EndpointLoss,
    pub(crate) started_at: LocalTime,
    /// Whether the arbiter counts the run.
    pub(crate) announced: bool,
}

impl InFlight {
    pub(crate) fn new(
        endpoint: EndpointId,
        incarnation: EndpointIncarnation,
        started_at: LocalTime,
        announced: bool,
    ) -> Self {
        Self {
            loss: EndpointLoss {
                endpoint,
                incarnation,
            },
            started_at,
            announced,
        }
    }
}

/// One run in a stage of its life cycle.
#[derive(Debug, Clone)]
pub(crate) struct RequestRun<S> {
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) stage: S,
}

/// One run in any stage.
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
