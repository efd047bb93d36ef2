//! Whether this VM may use the parts that its table gives to it.
//!
//! A VM that the platform's list shows as gone for the hold-off is taken to
//! have stopped. A VM that was paused for longer than the validity may have
//! been removed meanwhile, so it uses nothing until it has either written the
//! table itself, which makes a remover's conditional update fail, or been in
//! contact with members for the settle time, which brings it their news.

use super::{ContactRule, MembershipStage, RosterMutation, RosterState};
use clementinepond_types::{LocalTime, PartCount, VmId};

impl RosterState {
    /// Notes that the process runs; detects a pause.
    pub(super) fn note_run(&mut self, now: LocalTime) {
        let lapse = self.valid_until();
        if self.own_entry().is_some()
            && self.suspended.is_none()
            && now > lapse
            && !self.mutated(RosterMutation::UseAfterPause)
        {
            self.suspended = Some(now);
        }
        self.last_run = now;
        self.end_suspension();
    }

    /// Returns the moment at which the use of parts lapses.
    pub(super) fn valid_until(&self) -> LocalTime {
        if self.mutated(RosterMutation::UseAfterPause) {
            return LocalTime::NEVER;
        }
        let running = self.last_run + self.settings.validity;
        running.min(self.contact_lapse())
    }

    /// Returns the moment at which the contact that the rule asks for lapses.
    fn contact_lapse(&self) -> LocalTime {
        match self.settings.contact_rule {
            ContactRule::AfterPause => LocalTime::NEVER,
            ContactRule::AnyPeer => self.contact_until(1),
            ContactRule::Majority => self.contact_until(self.others().div_ceil(2)),
        }
    }

    /// Returns whether an own update of the table is needed as contact.
    pub(super) fn needs_contact(&self, now: LocalTime) -> bool {
        let soon = now + self.settings.validity.fraction(1, 2);
        self.suspended.is_some() || self.contact_lapse() < soon
    }

    fn others(&self) -> usize {
        self.own_table()
            .map_or(0, |object| object.value.members.len().saturating_sub(1))
    }

    /// Returns until when contact with this many members, or the platform, counts.
    fn contact_until(&self, needed: usize) -> LocalTime {
        let Some(object) = self.own_table() else {
            return LocalTime::ORIGIN;
        };
        if self.others() == 0 && self.mutated(RosterMutation::TrustWhenAlone) {
            return LocalTime::NEVER;
        }
        let mut moments: Vec<LocalTime> = self
            .contacts
            .iter()
            .filter(|(vm, _)| object.value.members.contains_key(*vm))
            .map(|(_, &moment)| moment)
            .collect();
        moments.sort_unstable();
        let peers = moments
            .len()
            .checked_sub(needed.max(1))
            .and_then(|index| moments.get(index))
            .copied();
        peers
            .max(self.platform_contact)
            .map_or(LocalTime::ORIGIN, |at| at + self.settings.validity)
    }

    /// Notes that a peer with no newer table acknowledged a probe.
    pub(super) fn note_contact(&mut self, vm: &VmId, sent: LocalTime) {
        let known = self.contacts.entry(vm.clone()).or_insert(sent);
        *known = sent.max(*known);
        self.end_suspension();
    }

    /// Notes that an own update of the table took effect.
    pub(super) fn note_written(&mut self, sent: LocalTime) {
        self.platform_contact = self.platform_contact.max(Some(sent));
        if self.suspended.is_some_and(|since| sent >= since) {
            self.suspended = None;
        }
    }

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

    /// Returns the parts that may be used now.
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

    /// Returns the fleet share that may be used now.
    pub(super) fn usable_share(&self) -> PartCount {
        self.own_table()
            .map_or_else(PartCount::default, |object| object.value.share)
    }

    /// Returns whether a graceful shutdown began.
    pub(super) fn is_leaving(&self) -> bool {
        matches!(
            self.stage,
            MembershipStage::Releasing | MembershipStage::Released
        )
    }
}
