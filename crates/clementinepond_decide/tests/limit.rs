//! Tests of the limits on one and two VMs, driven event by event.

#![expect(clippy::unwrap_used, reason = "a failed helper fails its test")]

use clementinepond_decide::limit::{
    AccountLimit, AccountTable, AdmissionRequest, LimitEffect, LimitEvent, LimitMessage,
    LimitMutation, LimitSettings, LimitState, RefusalReason, RemoteDataCentre, RosterView,
    TicketId, reduce,
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

fn request(ticket: u64, prompt: u64, output: u64, priority: u8) -> LimitEvent {
    LimitEvent::Request(AdmissionRequest {
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

/// Fleet with one VM in each data centre; messages are delivered without delay.
struct TestFleet {
    states: Vec<LimitState>,
    now: u64,
    unreachable: Vec<usize>,
    drops_returns: bool,
    effects: Vec<LimitEffect>,
}

impl TestFleet {
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
            unreachable: Vec::new(),
            drops_returns: false,
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
                    .map(|other| RemoteDataCentre {
                        data_centre: format!("dc-{other}").parse().unwrap(),
                        members: vec![vm(other)],
                    })
                    .collect(),
            };
            fleet.apply(index, LimitEvent::PartsChanged(view));
            fleet.apply(index, table(1, 100, 1_000));
        }
        fleet
    }

    /// Launches data centres and advances until the start wait is over and the
    /// buckets are full.
    fn start(count: usize, mutation: LimitMutation) -> Self {
        let mut fleet = Self::launch(count, mutation);
        fleet.advance(30 * SECOND);
        fleet
    }

    fn apply(&mut self, index: usize, event: LimitEvent) {
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
        if self.unreachable.contains(&from) || self.unreachable.contains(&target) {
            return;
        }
        if self.drops_returns {
            message
                .reports
                .retain(|report| report.want > TokenCount::ZERO);
        }
        let from = vm(from);
        self.apply(target, LimitEvent::Received { from, message });
    }

    /// Advances the clock with a tick every 20 ms.
    fn advance(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += 20_000;
            for index in 0..self.states.len() {
                self.apply(index, LimitEvent::Tick);
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

/// Returns the tokens usable at once when a whole burst is reserved, the bucket
/// refills, the refilled tokens are requested and the burst is then refunded.
fn usable_at_once(mutation: LimitMutation) -> u64 {
    let mut fleet = TestFleet::start(1, mutation);
    fleet.apply(0, request(1, 0, 1_000, 0));
    fleet.apply(0, started(1));
    fleet.advance(10 * SECOND);
    let refilled = fleet.level(0);
    fleet.apply(0, request(2, refilled, 0, 0));
    fleet.apply(0, settle(1, 0));
    refilled + fleet.level(0)
}

#[test]
fn refund_does_not_overfill_refilled_bucket() {
    assert!(usable_at_once(LimitMutation::None) <= 1_000);
    assert!(usable_at_once(LimitMutation::ReserveWithoutHold) > 1_000);
}

/// Returns the tokens that a lender gains until a token loan has expired whose tokens
/// were spent and whose return was lost.
fn gained_by_expiry(mutation: LimitMutation) -> u64 {
    let mut fleet = TestFleet::start(2, mutation);
    fleet.apply(0, request(1, 900, 0, 0));
    assert!(is_admitted(&fleet.take_effects(), 1));
    fleet.apply(0, started(1));
    fleet.apply(0, settle(1, 900));
    let left = fleet.level(1);
    fleet.drops_returns = true;
    let expiry = fleet.now + LimitSettings::default().longest_grant_lifetime(1).micros();
    fleet.now = expiry + SECOND / 10;
    fleet.level(1) - left
}

#[test]
fn expired_token_loan_is_reclaimed_without_tokens() {
    // Refill of the lender's slice, half of 100 tokens per second, in at most 7 s.
    let refill = 50 * 7;
    assert!(gained_by_expiry(LimitMutation::None) <= refill);
    assert!(gained_by_expiry(LimitMutation::ReclaimFull) > refill);
}

fn rate_after_older_table(mutation: LimitMutation) -> u64 {
    let mut fleet = TestFleet::start(1, mutation);
    fleet.apply(0, table(3, 50, 500));
    fleet.apply(0, table(2, 100, 1_000));
    let now = LocalTime::from_micros(fleet.now);
    let status = fleet.states[0].account_status(&account(), now).unwrap();
    status.rate.micro() / 1_000_000
}

#[test]
fn older_table_is_ignored() {
    assert_eq!(rate_after_older_table(LimitMutation::None), 50);
    assert_eq!(rate_after_older_table(LimitMutation::AcceptOlderTable), 100);
}

#[test]
fn unservable_request_is_refused_at_once_with_retry_after() {
    let mut fleet = TestFleet::start(1, LimitMutation::None);
    fleet.apply(0, request(1, 1_000, 0, 0));
    fleet.apply(0, request(2, 300, 0, 0));
    let effects = fleet.take_effects();
    assert!(is_admitted(&effects, 1));
    let (reason, retry) = refusal(&effects, 2).expect("refused without waiting");
    assert_eq!(reason, RefusalReason::OverRate);
    let wait = retry.unwrap().micros();
    assert_eq!(wait, 3 * SECOND, "300 tokens at 100 tokens per second");
    fleet.apply(0, started(1));
    fleet.apply(0, settle(1, 1_000));
    fleet.advance(wait - 400_000);
    fleet.apply(0, request(3, 300, 0, 0));
    assert!(
        refusal(&fleet.take_effects(), 3).is_some(),
        "refused before the retry time"
    );
    fleet.advance(400_000);
    fleet.apply(0, request(4, 300, 0, 0));
    assert!(
        is_admitted(&fleet.take_effects(), 4),
        "admitted at the retry time"
    );
}

#[test]
fn request_over_burst_or_without_account_is_refused() {
    let mut fleet = TestFleet::start(1, LimitMutation::None);
    fleet.apply(0, request(1, 1_001, 0, 0));
    let (reason, retry) = refusal(&fleet.take_effects(), 1).unwrap();
    assert!(matches!(reason, RefusalReason::LargerThanBurst { .. }));
    assert!(reason.to_string().contains("shorten it or raise the burst"));
    assert_eq!(retry, None);
    let empty = AccountTable {
        version: ObjectVersion::new(9),
        limits: BTreeMap::new(),
    };
    fleet.apply(0, LimitEvent::AccountsChanged(empty));
    fleet.apply(0, request(2, 1, 0, 0));
    let (reason, _) = refusal(&fleet.take_effects(), 2).unwrap();
    assert_eq!(reason, RefusalReason::NoAccount);
}

#[test]
fn higher_priority_is_admitted_first() {
    let mut fleet = TestFleet::start(1, LimitMutation::None);
    fleet.apply(0, request(1, 1_000, 0, 0));
    fleet.apply(0, started(1));
    fleet.apply(0, request(2, 20, 0, 1));
    fleet.apply(0, request(3, 5, 0, 9));
    fleet.take_effects();
    fleet.advance(60_000);
    let effects = fleet.take_effects();
    assert!(is_admitted(&effects, 3) && !is_admitted(&effects, 2));
    fleet.advance(230_000);
    assert!(is_admitted(&fleet.take_effects(), 2));
}

#[test]
fn unreachable_data_centre_keeps_its_share() {
    let mut fleet = TestFleet::start(2, LimitMutation::None);
    fleet.unreachable = vec![1];
    fleet.apply(0, request(1, 400, 0, 0));
    fleet.apply(1, request(2, 500, 0, 0));
    fleet.apply(0, request(3, 600, 0, 0));
    fleet.advance(400_000);
    let effects = fleet.take_effects();
    assert!(is_admitted(&effects, 1) && is_admitted(&effects, 2));
    let (reason, _) = refusal(&effects, 3).unwrap();
    assert_eq!(reason, RefusalReason::OutOfReach);
}

#[test]
fn release_waits_for_return_of_token_loans() {
    let mut fleet = TestFleet::start(2, LimitMutation::None);
    fleet.apply(1, request(1, 900, 0, 0));
    assert!(is_admitted(&fleet.take_effects(), 1));
    fleet.apply(0, LimitEvent::Release);
    fleet.apply(0, LimitEvent::Tick);
    assert!(!fleet.take_effects().contains(&LimitEffect::Released));
    fleet.apply(1, settle(1, 900));
    fleet.advance(12 * SECOND);
    assert!(fleet.take_effects().contains(&LimitEffect::Released));
}

fn is_released_within_start_wait(mutation: LimitMutation) -> bool {
    let mut fleet = TestFleet::launch(1, mutation);
    fleet.apply(0, LimitEvent::Release);
    fleet.advance(SECOND);
    fleet.take_effects().contains(&LimitEffect::Released)
}

#[test]
fn release_after_restart_waits_for_earlier_grants() {
    assert!(!is_released_within_start_wait(LimitMutation::None));
    assert!(is_released_within_start_wait(LimitMutation::ReleaseEarly));
}
