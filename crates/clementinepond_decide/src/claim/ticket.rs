//! Life cycle of a call at the VM that received it.

use super::key::{BodyFingerprint, ClaimKey, KeyDate};
use super::message::RunReport;
use clementinepond_types::LocalTime;

/// Stage in which the call waits for the grant or another final answer of the owner.
#[derive(Debug, Clone)]
pub(crate) struct Requesting {
    pub(crate) next_send: LocalTime,
    /// Time at which the call is refused unless the owner has answered.
    pub(crate) owner_deadline: LocalTime,
    /// Whether the owner answered that another call under the key is running.
    pub(crate) joined: bool,
}

/// Stage in which the call may be dispatched or is running.
#[derive(Debug, Clone)]
pub(crate) struct Granted;

/// Stage in which the run has ended and the owner has not acknowledged the report.
#[derive(Debug, Clone)]
pub(crate) struct Reporting {
    pub(crate) report: RunReport,
    pub(crate) next_send: LocalTime,
    /// Time at which the ticket is dropped.
    pub(crate) until: LocalTime,
}

/// Stage in which the call has ended without a run; a grant that arrives late is
/// answered with the report `NotRun`.
#[derive(Debug, Clone)]
pub(crate) struct Closed {
    pub(crate) next_send: LocalTime,
    /// Time at which the ticket is dropped.
    pub(crate) until: LocalTime,
}

/// Call in stage `S` of its life cycle.
#[derive(Debug, Clone)]
pub(crate) struct CallTicket<S> {
    pub(crate) key: ClaimKey,
    pub(crate) fingerprint: BodyFingerprint,
    pub(crate) date: KeyDate,
    /// Latest time of dispatch.
    pub(crate) deadline: LocalTime,
    pub(crate) stage: S,
}

impl<S> CallTicket<S> {
    /// Moves the call to another stage.
    pub(crate) fn enter<T>(self, stage: T) -> CallTicket<T> {
        CallTicket {
            key: self.key,
            fingerprint: self.fingerprint,
            date: self.date,
            deadline: self.deadline,
            stage,
        }
    }
}

/// Call in any stage of its life cycle.
#[derive(Debug, Clone)]
pub(crate) enum TicketEntry {
    Requesting(CallTicket<Requesting>),
    Granted(CallTicket<Granted>),
    Reporting(CallTicket<Reporting>),
    Closed(CallTicket<Closed>),
}
