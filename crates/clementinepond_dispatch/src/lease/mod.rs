//! Placement lease, kept in one object of the store.
//!
//! One VM at a time sends orders to endpoints. The lease holder renews the object and
//! stops sending orders before the lease ends, measured on a clock that keeps running
//! during suspension. A successor waits for a full lease duration after it has read the
//! object, unless the holder has released the lease or reported its expiry. It takes
//! the lease by a conditional update, which fails if the object has changed, and sends
//! its first order only after the minimum gap between the orders of two holders.

use clementinepond_types::{LocalTime, TimeSpan, VmId};
use serde::{Deserialize, Serialize};

/// Duration of the lease, counted from the sending of a renewal.
pub const LEASE_DURATION: TimeSpan = TimeSpan::from_millis(1_400);
/// Time before the end of the lease from which the holder sends no orders, so that
/// orders in flight still arrive before the end.
const STOP_MARGIN: TimeSpan = TimeSpan::from_millis(300);
/// Interval between renewals.
const RENEWAL_INTERVAL: TimeSpan = TimeSpan::from_millis(450);
/// Interval between checks whether another VM's lease has expired.
const POLL_INTERVAL: TimeSpan = TimeSpan::from_millis(100);
/// Delay between the calls to take the lease, and after a failed call.
const RETRY_DELAY: TimeSpan = TimeSpan::from_millis(250);
/// Margin added to the endpoints' minimum gap between the orders of two holders.
const ORDER_GAP_MARGIN: TimeSpan = TimeSpan::from_millis(600);

/// Content of the lease object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Lease holder; `None` once the lease was released.
    pub holder: Option<VmId>,
    /// Previous holder, while its orders may still take effect.
    pub previous: Option<VmId>,
    /// Random number of the holder's process; identifies its own update when the reply
    /// was lost.
    pub incarnation: u64,
    /// Number of updates by that process.
    pub update: u64,
}

/// Lease object as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredLease {
    /// Revision of the object; 0 when there is none.
    pub revision: u64,
    /// Content; `None` when there is none or it cannot be parsed.
    pub record: Option<LeaseRecord>,
    /// Whether the store came back from a copy at some time, so that a record of another
    /// holder may be lost.
    pub may_lack_holder: bool,
}

/// Input of the lease state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time has passed.
    Tick {
        /// Whether a live peer reports that it holds the lease.
        holder_live: bool,
        /// Delay after a tick with a live holder before this VM may try to take the
        /// lease, so that better suited VMs try first.
        takeover_delay: TimeSpan,
        /// Whether this VM reaches endpoints; one that does not leaves the lease to others.
        can_order: bool,
    },
    /// The object was read.
    Read(StoredLease),
    /// The update took effect.
    Written {
        /// New revision of the object.
        revision: u64,
    },
    /// A VM reports that its lease has expired and when it sent its last order.
    Expired {
        /// VM whose lease has expired.
        vm: VmId,
        /// Time of that VM's last order.
        last_order: LocalTime,
    },
    /// The update failed since the object has another revision.
    Conflict(StoredLease),
    /// No reply came; the update may have taken effect.
    Unknown,
    /// The process is about to stop.
    Release,
}

/// Action that the I/O layer performs, or a change to act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEffect {
    /// Read the object.
    Read,
    /// Write the object if it has the expected revision.
    Write {
        /// Expected revision; 0 creates the object.
        expected: u64,
        /// New content of the object.
        record: LeaseRecord,
    },
    /// This VM now holds the lease and may send orders from `orders_allowed_from` on.
    Acquired {
        /// Fencing number of the lease.
        fence: u64,
        /// Time from which orders may be sent.
        orders_allowed_from: LocalTime,
        /// Whether the object, as last read, named no other VM as holder or previous
        /// holder; orders may then be sent at once.
        is_resumed: bool,
    },
    /// This VM no longer holds the lease.
    Lost,
}

#[derive(Debug, Clone)]
struct HeldLease {
    fence: u64,
    revision: u64,
    valid_until: LocalTime,
    orders_allowed_from: LocalTime,
    previous: Option<VmId>,
}

/// State machine of one VM for the placement lease.
#[derive(Debug)]
pub struct PlacementLease {
    me: VmId,
    incarnation: u64,
    update: u64,
    order_gap: TimeSpan,
    held: Option<HeldLease>,
    last_read: Option<(StoredLease, LocalTime)>,
    /// VM that reported its lease as expired, the time of its last order, and the time
    /// of the report.
    expired: Option<(VmId, LocalTime, LocalTime)>,
    /// Time of the last order of the holder from which this VM takes over; `None`
    /// unless that holder reported it.
    previous_last_order: Option<LocalTime>,
    /// Time at which the pending call was sent; `None` when no call is pending.
    call_started_at: Option<LocalTime>,
    next_call: LocalTime,
    is_released: bool,
}

impl PlacementLease {
    /// Creates the state machine.
    ///
    /// `order_gap` is the time within which an endpoint must not see orders of two
    /// holders, and `stagger` the delay before the first attempt.
    #[must_use]
    pub fn new(
        me: VmId,
        incarnation: u64,
        order_gap: TimeSpan,
        stagger: TimeSpan,
        now: LocalTime,
    ) -> Self {
        Self {
            me,
            incarnation,
            update: 0,
            order_gap,
            held: None,
            last_read: None,
            expired: None,
            previous_last_order: None,
            call_started_at: None,
            next_call: now + stagger,
            is_released: false,
        }
    }

    /// Returns the fencing number if this VM may send orders now.
    #[must_use]
    pub fn fence(&self, now: LocalTime) -> Option<u64> {
        let held = self.held.as_ref()?;
        let may_order = now >= held.orders_allowed_from && now + STOP_MARGIN < held.valid_until;
        may_order.then_some(held.fence)
    }

    /// Returns the fencing number if this VM holds the lease, even if it may not send
    /// orders yet.
    #[must_use]
    pub fn held_fence(&self, now: LocalTime) -> Option<u64> {
        self.held
            .as_ref()
            .filter(|held| now < held.valid_until)
            .map(|held| held.fence)
    }

    /// Handles an event and returns the resulting effects.
    pub fn reduce(&mut self, event: LeaseEvent, now: LocalTime) -> Vec<LeaseEffect> {
        match event {
            LeaseEvent::Tick {
                holder_live,
                takeover_delay,
                can_order,
            } => self.tick(holder_live, takeover_delay, can_order, now),
            LeaseEvent::Read(stored) => {
                self.call_started_at = None;
                self.record_read(stored, now)
            }
            LeaseEvent::Written { revision } => self.record_write(revision, now),
            LeaseEvent::Expired { vm, last_order } => {
                self.expired = Some((vm, last_order, now));
                Vec::new()
            }
            LeaseEvent::Conflict(stored) => {
                self.call_started_at = None;
                self.next_call = now + RETRY_DELAY;
                self.record_read(stored, now)
            }
            LeaseEvent::Unknown => {
                self.call_started_at = None;
                self.next_call = now + RETRY_DELAY;
                // A read shows whether the update took effect.
                self.last_read = None;
                Vec::new()
            }
            LeaseEvent::Release => self.release(),
        }
    }

    fn tick(
        &mut self,
        holder_live: bool,
        takeover_delay: TimeSpan,
        can_order: bool,
        now: LocalTime,
    ) -> Vec<LeaseEffect> {
        let mut effects = Vec::new();
        if self
            .held
            .as_ref()
            .is_some_and(|held| now >= held.valid_until)
        {
            self.held = None;
            self.last_read = None;
            effects.push(LeaseEffect::Lost);
        }
        if !can_order {
            // The lease expires unless a call in flight renews it once more.
            return effects;
        }
        if self.is_released || self.call_started_at.is_some() || now < self.next_call {
            return effects;
        }
        if let Some(held) = &self.held {
            let expected = held.revision;
            let previous = held
                .previous
                .clone()
                .filter(|_| now < held.orders_allowed_from);
            let call = if self.last_read.is_none() {
                LeaseEffect::Read
            } else {
                self.write(expected, previous)
            };
            self.call_started_at = Some(now);
            self.next_call = now + RENEWAL_INTERVAL;
            effects.push(call);
        } else if !holder_live {
            effects.extend(self.try_acquire(now));
        } else {
            self.last_read = None;
            self.next_call = now + takeover_delay;
        }
        effects
    }

    /// Returns the next call to take the lease while no holder is live; `None` if the
    /// lease has not expired yet.
    fn try_acquire(&mut self, now: LocalTime) -> Option<LeaseEffect> {
        let effect = match &self.last_read {
            None => LeaseEffect::Read,
            Some((stored, since)) => {
                let holder = stored
                    .record
                    .as_ref()
                    .and_then(|record| record.holder.clone());
                let is_own = holder.as_ref() == Some(&self.me);
                let is_free = holder.is_none() || is_own;
                // A holder that has reported its lease as expired since the read cannot
                // have renewed it; if it has, the conditional update fails.
                let has_expired = self.expired.as_ref().is_some_and(|(vm, _, reported_at)| {
                    holder.as_ref() == Some(vm) && reported_at > since
                });
                let expired_last_order =
                    self.expired.as_ref().map(|(_, last_order, _)| *last_order);
                self.previous_last_order = expired_last_order.filter(|_| has_expired);
                if !is_free && !has_expired && now.since(*since) < LEASE_DURATION {
                    self.next_call = now + POLL_INTERVAL;
                    return None;
                }
                let previous = previous_of(stored).filter(|previous| *previous != self.me);
                let expected = stored.revision;
                self.write(expected, previous)
            }
        };
        self.call_started_at = Some(now);
        self.next_call = now + RETRY_DELAY;
        Some(effect)
    }

    fn write(&mut self, expected: u64, previous: Option<VmId>) -> LeaseEffect {
        self.update += 1;
        LeaseEffect::Write {
            expected,
            record: LeaseRecord {
                holder: Some(self.me.clone()),
                previous,
                incarnation: self.incarnation,
                update: self.update,
            },
        }
    }

    fn record_read(&mut self, stored: StoredLease, now: LocalTime) -> Vec<LeaseEffect> {
        let is_own = stored
            .record
            .as_ref()
            .is_some_and(|record| record.incarnation == self.incarnation);
        if let Some(held) = &mut self.held {
            if is_own {
                // An update whose reply was lost took effect. It doesn't extend the
                // lease, since its time of sending is no longer known.
                held.revision = stored.revision;
                self.last_read = Some((stored, now));
                return Vec::new();
            }
            self.held = None;
            self.last_read = Some((stored, now));
            return vec![LeaseEffect::Lost];
        }
        let is_unchanged = self
            .last_read
            .as_ref()
            .is_some_and(|(seen, _)| seen.revision == stored.revision);
        if !is_unchanged {
            self.last_read = Some((stored, now));
        }
        Vec::new()
    }

    fn record_write(&mut self, revision: u64, now: LocalTime) -> Vec<LeaseEffect> {
        let sent_at = self.call_started_at.take().unwrap_or(now);
        let valid_until = sent_at + LEASE_DURATION;
        let before = self.last_read.take();
        let record = LeaseRecord {
            holder: Some(self.me.clone()),
            previous: None,
            incarnation: self.incarnation,
            update: self.update,
        };
        self.last_read = Some((
            StoredLease {
                revision,
                record: Some(record),
                may_lack_holder: false,
            },
            now,
        ));
        if let Some(held) = &mut self.held {
            held.revision = revision;
            held.valid_until = valid_until;
            return Vec::new();
        }
        let may_lack_holder = before
            .as_ref()
            .is_some_and(|(stored, _)| stored.may_lack_holder && stored.record.is_none());
        let previous = before
            .and_then(|(stored, _)| stored.record)
            .and_then(|record| {
                let holder = record.holder.filter(|holder| *holder != self.me);
                holder.or(record.previous)
            });
        let is_resumed = previous.is_none() && !may_lack_holder;
        let orders_allowed_from = if is_resumed {
            now
        } else {
            let last_order = self.previous_last_order.take().unwrap_or(now);
            now.max(last_order + self.order_gap + ORDER_GAP_MARGIN)
        };
        self.held = Some(HeldLease {
            fence: revision,
            revision,
            valid_until,
            orders_allowed_from,
            previous,
        });
        self.next_call = now + RENEWAL_INTERVAL;
        vec![LeaseEffect::Acquired {
            fence: revision,
            orders_allowed_from,
            is_resumed,
        }]
    }

    fn release(&mut self) -> Vec<LeaseEffect> {
        self.is_released = true;
        let Some(held) = self.held.take() else {
            return Vec::new();
        };
        self.update += 1;
        let record = LeaseRecord {
            holder: None,
            previous: Some(self.me.clone()),
            incarnation: self.incarnation,
            update: self.update,
        };
        vec![
            LeaseEffect::Write {
                expected: held.revision,
                record,
            },
            LeaseEffect::Lost,
        ]
    }
}

/// Returns the VM whose orders may still take effect after a successor takes the lease.
fn previous_of(stored: &StoredLease) -> Option<VmId> {
    let record = stored.record.as_ref()?;
    record.previous.clone().or_else(|| record.holder.clone())
}
