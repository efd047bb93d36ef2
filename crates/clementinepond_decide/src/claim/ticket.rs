//! The life cycle of one call at the VM that received it.

use super::key::{BodyFingerprint, ClaimKey, KeyDate};
use super::message::RunReport;
use clementinepond_types::LocalTime;

/// The call waits for the owner's answer.
#[derive(Debug, Clone)]
pub(crate) struct Requesting {
    pub(crate) next_send: LocalTime,
    pub(crate) owner_deadline: LocalTime,
    pub(crate) joined: bool,
}

/// The call may leave for an endpoint, or has left.
#[derive(Debug, Clone)]
pub(crate) struct Granted;

/// The run ended; the owner has not confirmed the report.
#[derive(Debug, Clone)]
pub(crate) struct Reporting {
    pub(crate) report: RunReport,
    pub(crate) next_send: LocalTime,
    pub(crate) until: LocalTime,
}

/// The call ended without a run; a late grant is answered by a report.
#[derive(Debug, Clone)]
pub(crate) struct Closed {
    pub(crate) next_send: LocalTime,
    pub(crate) until: LocalTime,
}

/// One call in a stage of its life cycle.
#[derive(Debug, Clone)]
pub(crate) struct CallTicket<S> {
    pub(crate) key: ClaimKey,
    pub(crate) fingerprint: BodyFingerprint,
    pub(crate) date: KeyDate,
    pub(crate) deadline: LocalTime,
    pub(crate) stage: S,
}

impl<S> CallTicket<S> {
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

/// One call in any stage.
#[derive(Debug, Clone)]
pub(crate) enum TicketEntry {
    Requesting(CallTicket<Requesting>),
    Granted(CallTicket<Granted>),
    Reporting(CallTicket<Reporting>),
    Closed(CallTicket<Closed>),
}
