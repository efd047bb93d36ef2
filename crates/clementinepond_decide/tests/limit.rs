//! Limits on one and on a few VMs, event by event.

#![expect(clippy::unwrap_used, reason = "a failed helper fails its test")]

use clementinepond_decide::limit::{
    AccountLimit, AccountTable, AdmissionAsk, LimitEffect, LimitEvent, LimitMessage, LimitMutation,
    LimitSettings, LimitState, RefusalReason, RemoteCentre, RosterView, TicketId, reduce,
};
use clementinepond_types::{
    AccountId, Epoch, LocalTime, ObjectVersion, PartCount, PriorityClass, TimeSpan, TokenCount,
    TokenRate, VmId,
};
use std::collections::BTreeMap;

const SECOND: u64 = 1_000_000;

fn account() -> AccountId {
    "kumamoto-coop".parse().unwrap()
}

fn vm(index: usize) -> VmId {
    format!("vm-{index}").parse().unwrap()
}

fn table(version: u64, rate: u64, burst: u64) -> LimitEvent {
    let limit = AccountLimit {
        rate: TokenRate::new(rate),
        burst: TokenCount::new(burst),
    };
    LimitEvent::AccountsChanged(AccountTable {
        version: ObjectVersion::new(version),
        limits: BTreeMap::from([(account(), limit)]),
    })
}

fn ask(ticket: u64, prompt: u64, output: u64, priority: u8) -> LimitEvent {
    LimitEvent::Ask(AdmissionAsk {
        ticket: TicketId::new(ticket),
        account: account(),
        prompt: TokenCount::new(prompt),
        output: TokenCount::new(output),
        priority: PriorityClass::new(priority),
        deadline: LocalTime::NEVER,
    })
}

fn started(ticket: u64) -> LimitEvent {
    LimitEvent::Started {
        ticket: TicketId::new(ticket),
    }
}

fn settle(ticket: u64, used: u64) -> LimitEvent {
    LimitEvent::Settle {
        ticket: TicketId::new(ticket),
        used: TokenCount::new(used),
    }
}

/// One VM in each data centre, with messages that arrive at once.
struct SmallFleet {
    states: Vec<LimitState>,
    now: u64,
    cut: Vec<usize>,
    loses_returns: bool,
    effects: Vec<LimitEffect>,
}

impl SmallFleet {
    /// Launches `count` data centres with equal shares.
    fn launch(count: usize, mutation: LimitMutation) -> Self {
        let settings = LimitSettings {
            clock_drift_ppm: 0,
            mutation,
            ..LimitSettings::default()
        };
        let share = 1_024 / u32::try_from(count).unwrap();
        let states = (0..count).map(|index| LimitState::new(settings.clone(), vm(index), 7));
        let mut fleet = Self {
            states: states.collect(),
            now: 0,
            cut: Vec::new(),
            loses_returns: false,
            effects: Vec::new(),
        };
        for index in 0..count {
            let others = (0..count).filter(|other| *other != index);
            let view = RosterView {
                epoch: Epoch::new(1),
                parts: PartCount::new(1_024),
                share: PartCount::new(share),
                members: vec![vm(index)],
                remote: others
                    .map(|other| RemoteCentre {
                        data_centre: format!("dc-{other}").parse().unwrap(),
                        members: vec![vm(other)],
                    })
                    .collect(),
            };
            fleet.tell(index, LimitEvent::PartsChanged(view));
            fleet.tell(index, table(1, 100, 1_000));
        }
        fleet
    }

    /// Lets the start wait pass and the buckets fill.
    fn start(count: usize, mutation: LimitMutation) -> Self {
        let mut fleet = Self::launch(count, mutation);
        fleet.pass(30 * SECOND);
        fleet
    }

    fn tell(&mut self, index: usize, event: LimitEvent) {
        let now = LocalTime::from_micros(self.now);
        for effect in reduce(&mut self.states[index], event, now) {
            match effect {
                LimitEffect::Send { to, message } => self.deliver(index, &to, message),
                other => self.effects.push(other),
            }
        }
    }

    fn deliver(&mut self, from: usize, to: &VmId, mut message: LimitMessage) {
        let target = (0..self.states.len()).find(|index| vm(*index) == *to);
        let target = target.unwrap();
        if self.cut.contains(&from) || self.cut.contains(&target) {
            return;
        }
        if self.loses_returns {
            message
                .reports
                .retain(|report| report.want > TokenCount::ZERO);
        }
        let from = vm(from);
        self.tell(target, LimitEvent::Received { from, message });
    }

    /// Lets time pass with a tick every 20 ms.
    fn pass(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 20_000;
            for index in 0..self.states.len() {
                self.tell(index, LimitEvent::Tick);
            }
        }
    }

    fn level(&mut self, index: usize) -> u64 {
        let now = LocalTime::from_micros(self.now);
        let status = self.states[index].account_status(&account(), now).unwrap();
        status.level.whole()
    }

    fn take_effects(&mut self) -> Vec<LimitEffect> {
        std::mem::take(&mut self.effects)
    }
}

fn is_admitted(effects: &[LimitEffect], number: u64) -> bool {
    effects.iter().any(|effect| {
        matches!(effect, LimitEffect::Admitted { ticket, .. } if *ticket == TicketId::new(number))
    })
}

fn refusal(effects: &[LimitEffect], number: u64) -> Option<(RefusalReason, Option<TimeSpan>)> {
    effects.iter().find_map(|effect| match effect {
        LimitEffect::Refused {
            ticket,
            reason,
            retry_after,
        } if *ticket == TicketId::new(number) => Some((*reason, *retry_after)),
        _ => None,
    })
}

/// Reserves a burst, lets time pass, spends what refilled and refunds.
fn spent_at_once(mutation: LimitMutation) -> u64 {
    let mut fleet = SmallFleet::start(1, mutation);
    fleet.tell(0, ask(1, 0, 1_000, 0));
    fleet.tell(0, started(1));
    fleet.pass(10 * SECOND);
    let refilled = fleet.level(0);
    fleet.tell(0, ask(2, refilled, 0, 0));
    fleet.tell(0, settle(1, 0));
    refilled + fleet.level(0)
}

#[test]
fn a_refund_never_raises_a_refilled_bucket() {
    assert!(spent_at_once(LimitMutation::None) <= 1_000);
    assert!(spent_at_once(LimitMutation::ForgetHolds) > 1_000);
}

/// Spends a lot whose return is lost; tells what the lender gains by its lapse.
fn gained_by_lapse(mutation: LimitMutation) -> u64 {
    let mut fleet = SmallFleet::start(2, mutation);
    fleet.tell(0, ask(1, 900, 0, 0));
    assert!(is_admitted(&fleet.take_effects(), 1));
    fleet.tell(0, started(1));
    fleet.tell(0, settle(1, 900));
    let left = fleet.level(1);
    fleet.loses_returns = true;
    let lapse = fleet.now + LimitSettings::default().longest_grant(1).micros();
    fleet.now = lapse + SECOND / 10;
    fleet.level(1) - left
}

#[test]
fn a_lender_resumes_a_lapsed_lot_empty() {
    let refill = 50 * 7;
    assert!(gained_by_lapse(LimitMutation::None) <= refill);
    assert!(gained_by_lapse(LimitMutation::ResumeFull) > refill);
}

fn rate_after_older_table(mutation: LimitMutation) -> u64 {
    let mut fleet = SmallFleet::start(1, mutation);
    fleet.tell(0, table(3, 50, 500));
    fleet.tell(0, table(2, 100, 1_000));
    let now = LocalTime::from_micros(fleet.now);
    let status = fleet.states[0].account_status(&account(), now).unwrap();
    status.rate.micro() / 1_000_000
}

#[test]
fn an_older_table_never_replaces_a_newer_one() {
    assert_eq!(rate_after_older_table(LimitMutation::None), 50);
    assert_eq!(rate_after_older_table(LimitMutation::AcceptOlderTable), 100);
}

#[test]
fn a_refusal_comes_at_once_and_says_when_to_come_back() {
    let mut fleet = SmallFleet::start(1, LimitMutation::None);
    fleet.tell(0, ask(1, 1_000, 0, 0));
    fleet.tell(0, ask(2, 300, 0, 0));
    let effects = fleet.take_effects();
    assert!(is_admitted(&effects, 1));
    let (reason, retry) = refusal(&effects, 2).expect("refused without waiting");
    assert_eq!(reason, RefusalReason::OverRate);
    let wait = retry.unwrap().micros();
    assert_eq!(wait, 3 * SECOND, "300 tokens at 100 a second");
    fleet.tell(0, started(1));
    fleet.tell(0, settle(1, 1_000));
    fleet.pass(wait - 400_000);
    fleet.tell(0, ask(3, 300, 0, 0));
    assert!(refusal(&fleet.take_effects(), 3).is_some(), "too early");
    fleet.pass(400_000);
    fleet.tell(0, ask(4, 300, 0, 0));
    assert!(is_admitted(&fleet.take_effects(), 4), "at the time told");
}

#[test]
fn requests_that_can_never_run_are_told_so() {
    let mut fleet = SmallFleet::start(1, LimitMutation::None);
    fleet.tell(0, ask(1, 1_001, 0, 0));
    let (reason, retry) = refusal(&fleet.take_effects(), 1).unwrap();
    assert!(matches!(reason, RefusalReason::LargerThanBurst { .. }));
    assert!(reason.to_string().contains("shorten it or raise the burst"));
    assert_eq!(retry, None);
    let empty = AccountTable {
        version: ObjectVersion::new(9),
        limits: BTreeMap::new(),
    };
    fleet.tell(0, LimitEvent::AccountsChanged(empty));
    fleet.tell(0, ask(2, 1, 0, 0));
    let (reason, _) = refusal(&fleet.take_effects(), 2).unwrap();
    assert_eq!(reason, RefusalReason::NoAccount);
}

#[test]
fn higher_priority_is_admitted_first() {
    let mut fleet = SmallFleet::start(1, LimitMutation::None);
    fleet.tell(0, ask(1, 1_000, 0, 0));
    fleet.tell(0, started(1));
    fleet.tell(0, ask(2, 20, 0, 1));
    fleet.tell(0, ask(3, 5, 0, 9));
    fleet.take_effects();
    fleet.pass(60_000);
    let effects = fleet.take_effects();
    assert!(is_admitted(&effects, 3) && !is_admitted(&effects, 2));
    fleet.pass(230_000);
    assert!(is_admitted(&fleet.take_effects(), 2));
}

#[test]
fn a_cut_off_data_centre_keeps_its_share() {
    let mut fleet = SmallFleet::start(2, LimitMutation::None);
    fleet.cut = vec![1];
    fleet.tell(0, ask(1, 400, 0, 0));
    fleet.tell(1, ask(2, 500, 0, 0));
    fleet.tell(0, ask(3, 600, 0, 0));
    fleet.pass(400_000);
    let effects = fleet.take_effects();
    assert!(is_admitted(&effects, 1) && is_admitted(&effects, 2));
    let (reason, _) = refusal(&effects, 3).unwrap();
    assert_eq!(reason, RefusalReason::OutOfReach);
}

#[test]
fn release_waits_until_every_right_is_back() {
    let mut fleet = SmallFleet::start(2, LimitMutation::None);
    fleet.tell(1, ask(1, 900, 0, 0));
    assert!(is_admitted(&fleet.take_effects(), 1));
    fleet.tell(0, LimitEvent::Release);
    fleet.tell(0, LimitEvent::Tick);
    assert!(!fleet.take_effects().contains(&LimitEffect::Released));
    fleet.tell(1, settle(1, 900));
    fleet.pass(12 * SECOND);
    assert!(fleet.take_effects().contains(&LimitEffect::Released));
}

fn is_released_at_start(mutation: LimitMutation) -> bool {
    let mut fleet = SmallFleet::launch(1, mutation);
    fleet.tell(0, LimitEvent::Release);
    fleet.pass(SECOND);
    fleet.take_effects().contains(&LimitEffect::Released)
}

#[test]
fn a_restarted_vm_leaves_after_its_earlier_grants_have_lapsed() {
    assert!(!is_released_at_start(LimitMutation::None));
    assert!(is_released_at_start(LimitMutation::ReleaseEarly));
}
