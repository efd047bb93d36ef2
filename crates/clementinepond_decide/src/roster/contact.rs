//! Decides whether this VM may use the parts that its table assigns to it.
//!
//! A VM that is missing from the platform's list and not seen for the hold-offs
//! is assumed to have stopped and is removed. A VM that was paused for longer
//! than `validity` may therefore have been removed in the meantime. It uses no
//! parts until it has either written the table itself, which makes the remover's
//! conditional update fail, or been in contact with members after the `settle`
//! time, which brings it their updates.

use super::{ContactRule, MembershipStage, RosterMutation, RosterState};
use clementinepond_types::{LocalTime, PartCount, VmId};

impl RosterState {
    /// Records that the process runs, and suspends the use of parts if it has
    /// expired.
    pub(super) fn record_run(&mut self, now: LocalTime) {
        let expiry = self.valid_until();
        if self.own_entry().is_some()
            && self.suspended.is_none()
            && now > expiry
            && !self.mutated(RosterMutation::UseAfterPause)
        {
            self.suspended = Some(now);
        }
        self.last_run = now;
        self.end_suspension();
    }

    /// Returns the time at which the use of parts expires.
    pub(super) fn valid_until(&self) -> LocalTime {
        if self.mutated(RosterMutation::UseAfterPause) {
            return LocalTime::NEVER;
        }
        let running = self.last_run + self.settings.validity;
        running.min(self.contact_expiry())
    }

    /// Returns the time at which the contact that the rule requires expires.
    fn contact_expiry(&self) -> LocalTime {
        match self.settings.contact_rule {
            ContactRule::AfterPause => LocalTime::NEVER,
            ContactRule::AnyPeer => self.contact_until(1),
            ContactRule::Majority => self.contact_until(self.others().div_ceil(2)),
        }
    }

    /// Returns whether this VM should write the table to prove contact: the use of parts
    /// is suspended, or the required contact expires within half of `validity`.
    pub(super) fn needs_contact(&self, now: LocalTime) -> bool {
        let soon = now + self.settings.validity.fraction(1, 2);
        self.suspended.is_some() || self.contact_expiry() < soon
    }

    fn others(&self) -> usize {
        self.own_table()
            .map_or(0, |object| object.value.members.len().saturating_sub(1))
    }

    /// Returns the time until which contact with `needed` members, at least 1, or with
    /// the platform is recent enough.
    fn contact_until(&self, needed: usize) -> LocalTime {
        let Some(object) = self.own_table() else {
            return LocalTime::ORIGIN;
        };
        if self.others() == 0 && self.mutated(RosterMutation::TrustWhenAlone) {
            return LocalTime::NEVER;
        }
        let mut times: Vec<LocalTime> = self
            .contacts
            .iter()
            .filter(|(vm, _)| object.value.members.contains_key(*vm))
            .map(|(_, &time)| time)
            .collect();
        times.sort_unstable();
        let peers = times
            .len()
            .checked_sub(needed.max(1))
            .and_then(|index| times.get(index))
            .copied();
        peers
            .max(self.platform_contact)
            .map_or(LocalTime::ORIGIN, |at| at + self.settings.validity)
    }

    /// Records that a peer with no newer table acknowledged a probe sent at
    /// `sent`.
    pub(super) fn record_contact(&mut self, vm: &VmId, sent: LocalTime) {
        let known = self.contacts.entry(vm.clone()).or_insert(sent);
        *known = sent.max(*known);
        self.end_suspension();
    }

    /// Records that this VM's update of the table, sent at `sent`, took effect.
    pub(super) fn record_written(&mut self, sent: LocalTime) {
        self.platform_contact = self.platform_contact.max(Some(sent));
        if self.suspended.is_some_and(|since| sent >= since) {
            self.suspended = None;
        }
    }

    /// Ends the suspension after contact with enough peers since the settle time.
    fn end_suspension(&mut self) {
        let Some(since) = self.suspended else {
            return;
        };
        let settled = since + self.settings.settle;
        let others = self.others();
        let needed = match self.settings.contact_rule {
            ContactRule::Majority => others.div_ceil(2).max(1),
            ContactRule::AfterPause | ContactRule::AnyPeer => 1,
        };
        let recent = self.contacts.values().filter(|&&sent| sent >= settled);
        if recent.count() >= needed {
            self.suspended = None;
        }
    }

    /// Returns the parts that this VM may use now.
    pub(super) fn usable_parts(&self) -> PartCount {
        if self.suspended.is_some() || self.is_leaving() {
            return PartCount::default();
        }
        let held = self
            .own_entry()
            .map_or_else(PartCount::default, |member| member.parts);
        match self.release {
            Some(release) => held.min(release.keep),
            None => held,
        }
    }

    /// Returns the fleet share that this VM may use now.
    pub(super) fn usable_share(&self) -> PartCount {
        self.own_table()
            .map_or_else(PartCount::default, |object| object.value.share)
    }

    /// Returns whether a graceful shutdown has begun.
    pub(super) fn is_leaving(&self) -> bool {
        matches!(
            self.stage,
            MembershipStage::Releasing | MembershipStage::Released
        )
    }
}
