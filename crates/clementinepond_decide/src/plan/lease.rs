//! Life cycle of the plan lease.
//!
//! An observer judges the lease's end on its own clock from the moment at
//! which it first saw the object's version. The holder counts the lease from
//! its own send of the write. The holder's end therefore comes first.

use super::{PlanObject, PlanSettings};
use clementinepond_types::{FencingNumber, LocalTime, ObjectVersion, TimeSpan};

/// Version of the plan object that this VM has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenObject {
    /// Version; zero while there is no object.
    pub version: ObjectVersion,
    /// Content; none while there is no object.
    pub value: Option<PlanObject>,
    /// Moment at which this version was first seen.
    pub first_seen: LocalTime,
}

impl SeenObject {
    /// Returns the moment at which the holder's authority has certainly ended.
    #[must_use]
    pub fn authority_end(&self, settings: &PlanSettings) -> LocalTime {
        match &self.value {
            Some(object) => self.first_seen + settings.lengthened(object.authority_duration()),
            None => self.first_seen,
        }
    }

    /// Returns the moment after which no order of the holder can take effect.
    #[must_use]
    pub fn effect_end(&self, settings: &PlanSettings) -> LocalTime {
        match &self.value {
            Some(object) => self.first_seen + settings.lengthened(object.effect_duration()),
            None => self.first_seen,
        }
    }
}

/// Write of the plan object whose outcome is not known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingWrite {
    /// Content written.
    pub object: PlanObject,
    /// Version that the object must have.
    pub if_version: ObjectVersion,
    /// Moment of the first send.
    pub sent_at: LocalTime,
    /// Whether the answer was lost, so that the object must be read.
    pub answer_lost: bool,
}

/// State of a VM that watches the lease.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Follower {
    /// Object as last seen.
    pub seen: Option<SeenObject>,
}

/// State of a VM that has sent its first write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Acquiring {
    /// The write.
    pub write: PendingWrite,
    /// Moment after which no earlier order can take effect.
    pub effect_end: LocalTime,
}

/// State of a holder while orders of earlier holders may still arrive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// The lease.
    pub term: LeaseTerm,
    /// Moment after which no earlier order can take effect.
    pub effect_end: LocalTime,
}

/// State of a holder after the last order of earlier holders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holding {
    /// The lease.
    pub term: LeaseTerm,
}

/// The holder's view of its lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseTerm {
    /// Random number of the acquisition.
    pub nonce: u64,
    /// Fencing number of the orders.
    pub fencing: FencingNumber,
    /// End of the authority.
    pub deadline: LocalTime,
    /// Version of the object as last known.
    pub version: ObjectVersion,
    /// Number of the last write.
    pub renewals: u64,
    /// Moment of the last write's send.
    pub written_at: LocalTime,
    /// Longest time from an order's send to its deadline, as written.
    pub order_span: TimeSpan,
    /// Longest time that an order may act after its deadline, as written.
    pub arrival_margin: TimeSpan,
    /// Write under way.
    pub write: Option<PendingWrite>,
}

impl LeaseTerm {
    /// Gives up a write whose outcome is unknown; the next one follows soon.
    pub fn abandon_write(&mut self) {
        self.write = None;
        self.written_at = LocalTime::ORIGIN;
    }
}

/// The lease in one state of its life cycle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanLease<S> {
    /// Data of the state.
    pub state: S,
}

impl PlanLease<Follower> {
    /// Starts without knowledge, or with the object as last seen.
    #[must_use]
    pub const fn watch(seen: Option<SeenObject>) -> Self {
        Self {
            state: Follower { seen },
        }
    }

    /// Notes a version of the object; an older one changes nothing.
    pub fn record(&mut self, version: ObjectVersion, value: Option<PlanObject>, now: LocalTime) {
        let known = self.state.seen.as_ref().map(|seen| seen.version);
        let is_new = match (known, &value) {
            (None, _) => true,
            (Some(known), Some(_)) => version > known,
            // The object was deleted; its last version stays the lower bound.
            (Some(known), None) => known != version,
        };
        if is_new {
            self.state.seen = Some(SeenObject {
                version,
                value,
                first_seen: now,
            });
        }
    }

    /// Sends the first write.
    #[must_use]
    pub const fn acquire(write: PendingWrite, effect_end: LocalTime) -> PlanLease<Acquiring> {
        PlanLease {
            state: Acquiring { write, effect_end },
        }
    }
}

impl PlanLease<Acquiring> {
    /// Takes the lease after the write was seen to have landed.
    #[must_use]
    pub fn acquired(
        self,
        version: ObjectVersion,
        settings: &PlanSettings,
        counted_from: LocalTime,
    ) -> PlanLease<Waiting> {
        let write = self.state.write;
        let term = LeaseTerm {
            nonce: write.object.nonce,
            fencing: write.object.fencing,
            deadline: counted_from + settings.shortened(write.object.lease),
            version,
            renewals: write.object.renewals,
            written_at: write.sent_at,
            order_span: write.object.order_span,
            arrival_margin: write.object.arrival_margin,
            write: None,
        };
        PlanLease {
            state: Waiting {
                term,
                effect_end: self.state.effect_end,
            },
        }
    }
}

impl PlanLease<Waiting> {
    /// Goes on to hold, once earlier orders have died out.
    #[must_use]
    pub fn into_holding(self, settings: &PlanSettings) -> PlanLease<Holding> {
        let term = LeaseTerm {
            order_span: settings.order_span,
            arrival_margin: settings.arrival_margin,
            ..self.state.term
        };
        PlanLease {
            state: Holding { term },
        }
    }
}

/// The lease in whichever state it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeasePhase {
    /// Another VM, or nobody, holds the lease.
    Follower(PlanLease<Follower>),
    /// The first write is under way.
    Acquiring(PlanLease<Acquiring>),
    /// Held; orders of earlier holders may still arrive.
    Waiting(PlanLease<Waiting>),
    /// Held.
    Holding(PlanLease<Holding>),
}

impl LeasePhase {
    /// Returns the term, when the lease is held.
    #[must_use]
    pub const fn term(&self) -> Option<&LeaseTerm> {
        match self {
            Self::Waiting(lease) => Some(&lease.state.term),
            Self::Holding(lease) => Some(&lease.state.term),
            _ => None,
        }
    }

    /// Returns the term for a change, when the lease is held.
    pub const fn term_mut(&mut self) -> Option<&mut LeaseTerm> {
        match self {
            Self::Waiting(lease) => Some(&mut lease.state.term),
            Self::Holding(lease) => Some(&mut lease.state.term),
            _ => None,
        }
    }

    /// Returns the name of the state.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Follower(_) => "follower",
            Self::Acquiring(_) => "acquiring",
            Self::Waiting(_) => "waiting",
            Self::Holding(_) => "holding",
        }
    }
}
