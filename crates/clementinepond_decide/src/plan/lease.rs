//! Life cycle of the plan lease.
//!
//! An observer counts the lease on its own clock, from the time at which it first
//! saw the object's version. The holder counts the lease from the time at which it
//! sent the write. The lease therefore ends for the holder first.

use super::{PlanObject, PlanSettings};
use clementinepond_types::{FencingNumber, LocalTime, ObjectVersion, TimeSpan};

/// Version of the plan object that this VM has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenObject {
    /// Version; zero while there is no object.
    pub version: ObjectVersion,
    /// Content; none while there is no object.
    pub value: Option<PlanObject>,
    /// Time at which this version was first seen.
    pub first_seen: LocalTime,
}

impl SeenObject {
    /// Returns the time from which the holder can no longer issue orders.
    #[must_use]
    pub fn authority_end(&self, settings: &PlanSettings) -> LocalTime {
        match &self.value {
            Some(object) => self.first_seen + settings.lengthened(object.authority_duration()),
            None => self.first_seen,
        }
    }

    /// Returns the time after which no order of the holder can take effect.
    #[must_use]
    pub fn effect_end(&self, settings: &PlanSettings) -> LocalTime {
        match &self.value {
            Some(object) => self.first_seen + settings.lengthened(object.effect_duration()),
            None => self.first_seen,
        }
    }
}

/// Write of the plan object whose outcome is unknown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingWrite {
    /// Object written.
    pub object: PlanObject,
    /// Version that the object must have; zero creates it.
    pub if_version: ObjectVersion,
    /// Time of the first send.
    pub sent_at: LocalTime,
    /// Whether the reply was lost, so that the object must be read again.
    pub answer_lost: bool,
}

/// State of a VM that watches the lease.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Follower {
    /// Object as last seen; none before the first read.
    pub seen: Option<SeenObject>,
}

/// State of a VM that has sent the write that acquires the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Acquiring {
    /// Write that acquires the lease.
    pub write: PendingWrite,
    /// Time after which no order of earlier holders can take effect.
    pub effect_end: LocalTime,
}

/// State of a holder while orders of earlier holders may still take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// Term of this holder.
    pub term: LeaseTerm,
    /// Time after which no order of earlier holders can take effect.
    pub effect_end: LocalTime,
}

/// State of a holder once no order of earlier holders can take effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holding {
    /// Term of this holder.
    pub term: LeaseTerm,
}

/// Holder's view of its lease, from acquisition to expiry or release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseTerm {
    /// Random number of the acquisition.
    pub nonce: u64,
    /// Fencing number of the orders.
    pub fencing: FencingNumber,
    /// Time from which no order may be issued unless the lease is renewed.
    pub deadline: LocalTime,
    /// Version of the object as last known.
    pub version: ObjectVersion,
    /// Number of the last write within the acquisition.
    pub renewals: u64,
    /// Time at which the last write was sent; the origin makes a new one due.
    pub written_at: LocalTime,
    /// Longest time from an order's send to its deadline, as written.
    pub order_span: TimeSpan,
    /// Longest time after its deadline at which an order may still act, as written.
    pub arrival_margin: TimeSpan,
    /// Pending write, if any.
    pub write: Option<PendingWrite>,
}

impl LeaseTerm {
    /// Abandons a write whose outcome is unknown and makes the next one due.
    pub fn abandon_write(&mut self) {
        self.write = None;
        self.written_at = LocalTime::ORIGIN;
    }
}

/// Lease in one state of its life cycle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanLease<S> {
    /// Data of this state.
    pub state: S,
}

impl PlanLease<Follower> {
    /// Creates a follower, with the object as last seen if there is one.
    #[must_use]
    pub const fn watch(seen: Option<SeenObject>) -> Self {
        Self {
            state: Follower { seen },
        }
    }

    /// Records a version of the object; a version already seen or an older one is
    /// ignored.
    pub fn record(&mut self, version: ObjectVersion, value: Option<PlanObject>, now: LocalTime) {
        let known = self.state.seen.as_ref().map(|seen| seen.version);
        let is_new = match (known, &value) {
            (None, _) => true,
            (Some(known), Some(_)) => version > known,
            // The object was deleted: a missing object has version zero, so a
            // repeated observation has the known version.
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

    /// Returns the state after the acquiring write is sent.
    #[must_use]
    pub const fn acquire(write: PendingWrite, effect_end: LocalTime) -> PlanLease<Acquiring> {
        PlanLease {
            state: Acquiring { write, effect_end },
        }
    }
}

impl PlanLease<Acquiring> {
    /// Returns the state after the acquiring write is stored.
    ///
    /// The lease counts from `counted_from`.
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
    /// Returns the state once no order of earlier holders can take effect.
    ///
    /// From now on this VM's own order times apply.
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

/// Phase of the lease on this VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeasePhase {
    /// Another VM, or nobody, holds the lease.
    Follower(PlanLease<Follower>),
    /// The write that acquires the lease is pending.
    Acquiring(PlanLease<Acquiring>),
    /// Held by this VM; orders of earlier holders may still take effect.
    Waiting(PlanLease<Waiting>),
    /// Held by this VM; orders may be sent.
    Holding(PlanLease<Holding>),
}

impl LeasePhase {
    /// Returns the term; none unless this VM holds the lease.
    #[must_use]
    pub const fn term(&self) -> Option<&LeaseTerm> {
        match self {
            Self::Waiting(lease) => Some(&lease.state.term),
            Self::Holding(lease) => Some(&lease.state.term),
            _ => None,
        }
    }

    /// Returns the term for modification; none unless this VM holds the lease.
    pub const fn term_mut(&mut self) -> Option<&mut LeaseTerm> {
        match self {
            Self::Waiting(lease) => Some(&mut lease.state.term),
            Self::Holding(lease) => Some(&mut lease.state.term),
            _ => None,
        }
    }

    /// Returns the name of the phase as the status shows it.
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
