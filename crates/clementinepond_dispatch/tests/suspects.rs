//! Evidence against requests that crash endpoints, and what clears it.

use clementinepond_dispatch::fleet::PromptBlock;
use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::suspect::{
    BlockedSuspect, CrashEffect, CrashEvent, CrashGuard, CrashSuspect, EndpointCrash, LostRun,
    SendVerdict, suspects_of,
};
use clementinepond_types::{LocalTime, TimeSpan};

const CULPRIT: CrashSuspect = CrashSuspect::Block(0xbad);
const RIDER: CrashSuspect = CrashSuspect::Block(0x51de);
const SHARED: CrashSuspect = CrashSuspect::Block(0x5a);

/// Guard with its clock, endpoints and requests.
struct Vm {
    guard: CrashGuard,
    now: LocalTime,
    endpoints: u64,
    requests: u64,
}

impl Vm {
    /// Returns a VM that has had no request.
    fn idle() -> Self {
        Self {
            guard: CrashGuard::default(),
            now: LocalTime::from_micros(1_000_000_000),
            endpoints: 0,
            requests: 0,
        }
    }

    /// Returns a VM at which requests with the shared block have completed.
    fn new() -> Self {
        let mut vm = Self::idle();
        for _ in 0..50 {
            vm.complete(&[SHARED]);
        }
        vm
    }

    fn wait(&mut self, millis: u64) -> Vec<CrashEffect> {
        self.now = self.now + TimeSpan::from_millis(millis);
        self.guard.reduce(CrashEvent::Tick, self.now)
    }

    /// Returns a run of a request that no other equals, sent 50 ms ago.
    fn run(&mut self, blocks: &[CrashSuspect]) -> LostRun {
        self.requests += 1;
        let own = CrashSuspect::Request(self.requests);
        LostRun {
            suspects: [own].iter().chain(blocks).copied().collect(),
            sent_at: LocalTime::from_micros(self.now.micros() - 50_000),
        }
    }

    fn complete(&mut self, blocks: &[CrashSuspect]) -> Vec<CrashEffect> {
        let suspects = self.run(blocks).suspects;
        self.guard
            .reduce(CrashEvent::Completed { suspects }, self.now)
    }

    fn crash_of(&mut self, runs: Vec<LostRun>, is_own: bool) -> Vec<CrashEffect> {
        self.endpoints += 1;
        let crash = EndpointCrash {
            endpoint: NameHash::of(&self.endpoints.to_string()),
            started_ms: 1,
        };
        let lost_at = self.now;
        let event = if is_own {
            CrashEvent::OwnRunsLost {
                crash,
                lost_at,
                runs,
            }
        } else {
            CrashEvent::PeerRunsLost {
                crash,
                lost_at,
                runs,
            }
        };
        self.guard.reduce(event, self.now)
    }

    /// An endpoint crashes a second after the last one; it ran a request of this VM with
    /// each of the lists of blocks.
    fn crash(&mut self, runs: &[&[CrashSuspect]]) -> Vec<CrashEffect> {
        let mut effects = self.wait(1_000);
        let runs = runs.iter().map(|blocks| self.run(blocks)).collect();
        effects.extend(self.crash_of(runs, true));
        effects
    }

    /// Returns the suspects that are blocked once the peers had time to report completions.
    fn blocked(&mut self) -> Vec<CrashSuspect> {
        self.wait(400);
        let mut blocked: Vec<CrashSuspect> =
            self.guard.blocked().map(|known| known.suspect).collect();
        blocked.sort();
        blocked
    }

    fn verdict(&self, suspects: &[CrashSuspect]) -> SendVerdict {
        self.guard.verdict(suspects, self.now)
    }
}

#[test]
fn suspects_are_the_request_and_its_shared_blocks_from_the_most_specific() {
    let block = |id| PromptBlock { id, tokens: 10 };
    let suspects = suspects_of(7, &[block(1), block(2), block(1), block(9)]);
    let expected = [
        CrashSuspect::Request(7),
        CrashSuspect::Block(1),
        CrashSuspect::Block(2),
    ];
    assert_eq!(*suspects, expected);
    assert_eq!(*suspects_of(7, &[block(9)]), [CrashSuspect::Request(7)]);
    assert_eq!(*suspects_of(7, &[]), [CrashSuspect::Request(7)]);
}

#[test]
fn suspects_are_read_as_they_are_written() {
    for suspect in [CrashSuspect::Request(u64::MAX), CrashSuspect::Block(0x5c)] {
        assert_eq!(suspect.to_string().parse(), Ok(suspect));
    }
    for text in ["", "block", "block-", "block-xyz", "model-5c"] {
        assert!(text.parse::<CrashSuspect>().is_err(), "{text}");
    }
}

#[test]
fn block_of_different_requests_is_blocked_after_three_crashes() {
    let mut vm = Vm::new();
    for _ in 0..2 {
        vm.crash(&[&[CULPRIT, SHARED], &[SHARED]]);
    }
    assert_eq!(vm.blocked(), []);
    vm.crash(&[&[SHARED, CULPRIT], &[SHARED]]);
    assert_eq!(vm.blocked(), [CULPRIT]);
    assert_eq!(
        vm.verdict(&[CrashSuspect::Request(99), CULPRIT]),
        SendVerdict::Blocked(CULPRIT)
    );
    assert_eq!(vm.verdict(&[SHARED]), SendVerdict::Allowed);
}

#[test]
fn equal_requests_are_blocked_and_not_the_blocks_that_others_share() {
    let mut vm = Vm::new();
    let request = CrashSuspect::Request(7_777);
    for _ in 0..3 {
        vm.wait(1_000);
        let run = LostRun {
            suspects: [request, RIDER, SHARED].into(),
            sent_at: vm.now,
        };
        let other = vm.run(&[CULPRIT]);
        vm.crash_of(vec![run, other], true);
    }
    assert_eq!(vm.blocked(), []);
    vm.wait(1_000);
    let run = LostRun {
        suspects: [request, RIDER, SHARED].into(),
        sent_at: vm.now,
    };
    vm.crash_of(vec![run], true);
    assert_eq!(vm.blocked(), [request]);
    vm.wait(5_000);
    // The cause may still be the block, but not that of the other requests.
    assert_eq!(vm.verdict(&[RIDER]), SendVerdict::Alone([RIDER].into()));
    assert_eq!(vm.verdict(&[CULPRIT]), SendVerdict::Allowed);
}

#[test]
fn equal_requests_are_blocked_before_their_blocks_at_a_vm_without_other_requests() {
    let mut vm = Vm::idle();
    let request = CrashSuspect::Request(7_777);
    for crashes in 1..=5 {
        assert_eq!(vm.blocked(), [], "after {crashes} crashes");
        vm.wait(1_000);
        let run = LostRun {
            suspects: [request, RIDER].into(),
            sent_at: vm.now,
        };
        vm.crash_of(vec![run], true);
    }
    assert_eq!(vm.blocked(), [request]);
}

#[test]
fn completion_between_crashes_clears_a_suspect() {
    let mut vm = Vm::new();
    for _ in 0..8 {
        for _ in 0..2 {
            vm.crash(&[&[CULPRIT]]);
            assert_eq!(vm.blocked(), []);
        }
        vm.complete(&[CULPRIT]);
    }
}

#[test]
fn suspect_that_completed_before_is_blocked_only_after_five_crashes() {
    let mut vm = Vm::new();
    vm.complete(&[CULPRIT]);
    for _ in 0..4 {
        vm.crash(&[&[CULPRIT, SHARED]]);
        vm.complete(&[SHARED]);
    }
    assert_eq!(vm.blocked(), []);
    vm.crash(&[&[CULPRIT, SHARED]]);
    vm.complete(&[SHARED]);
    assert_eq!(vm.blocked(), [CULPRIT]);
}

#[test]
fn crashes_at_the_same_moment_count_once() {
    let mut vm = Vm::new();
    for _ in 0..9 {
        let run = vm.run(&[CULPRIT]);
        vm.crash_of(vec![run], true);
        vm.wait(20);
    }
    assert_eq!(vm.blocked(), []);
}

#[test]
fn request_sent_before_the_last_crash_is_no_further_evidence() {
    let mut vm = Vm::new();
    let sent_at = vm.now;
    for _ in 0..5 {
        vm.wait(1_000);
        let run = LostRun {
            suspects: [CULPRIT].into(),
            sent_at,
        };
        vm.crash_of(vec![run], true);
    }
    assert_eq!(vm.blocked(), []);
}

#[test]
fn suspect_that_meets_the_same_crashes_is_not_blocked_with_the_culprit() {
    let mut vm = Vm::new();
    for _ in 0..3 {
        vm.crash(&[&[CULPRIT, SHARED], &[RIDER, SHARED]]);
    }
    // Either may be the cause.
    assert_eq!(vm.blocked(), []);
    vm.crash(&[&[CULPRIT, SHARED]]);
    assert_eq!(vm.blocked(), [CULPRIT]);
    // The crashes are explained.
    vm.wait(5_000);
    assert_eq!(vm.verdict(&[RIDER]), SendVerdict::Allowed);
    for _ in 0..2 {
        vm.crash(&[&[RIDER, SHARED]]);
    }
    assert_eq!(vm.blocked(), [CULPRIT]);
}

#[test]
fn runs_of_peers_in_crashes_that_are_explained_are_no_evidence() {
    let mut vm = Vm::new();
    for _ in 0..3 {
        vm.crash(&[&[CULPRIT]]);
    }
    assert_eq!(vm.blocked(), [CULPRIT]);
    for _ in 0..5 {
        vm.wait(1_000);
        let runs = vec![vm.run(&[CULPRIT]), vm.run(&[RIDER])];
        vm.crash_of(runs, false);
    }
    vm.wait(5_000);
    assert_eq!(vm.verdict(&[RIDER]), SendVerdict::Allowed);
}

#[test]
fn blocks_that_only_occur_together_are_told_apart_by_the_more_specific_one() {
    let mut vm = Vm::new();
    for _ in 0..6 {
        vm.crash(&[&[RIDER, CULPRIT]]);
        vm.complete(&[SHARED]);
    }
    assert_eq!(vm.blocked(), [RIDER]);
}

#[test]
fn vm_that_loses_most_requests_blocks_none() {
    let mut vm = Vm::new();
    vm.wait(40_000);
    for _ in 0..8 {
        vm.crash(&[&[CULPRIT], &[SHARED], &[SHARED], &[SHARED]]);
        vm.complete(&[SHARED]);
    }
    assert_eq!(vm.blocked(), []);
}

#[test]
fn crashes_at_several_vms_count_together() {
    let mut vm = Vm::new();
    for _ in 0..2 {
        vm.wait(1_000);
        let run = vm.run(&[CULPRIT]);
        assert_eq!(vm.crash_of(vec![run], false), []);
    }
    vm.wait(1_000);
    let run = vm.run(&[CULPRIT]);
    // The peer that lost the run decides.
    assert_eq!(vm.crash_of(vec![run], false), []);
    assert_eq!(vm.blocked(), []);
    let effects = vm.crash(&[&[CULPRIT]]);
    assert!(effects.contains(&CrashEffect::QueryPeers(vec![CULPRIT])));
    assert_eq!(vm.blocked(), [CULPRIT]);
}

#[test]
fn incarnation_that_a_vm_does_not_know_yet_is_another_crash() {
    let mut vm = Vm::new();
    let crash = EndpointCrash {
        endpoint: NameHash::of("endpoint"),
        started_ms: 1,
    };
    for _ in 0..3 {
        vm.wait(2_000);
        let event = CrashEvent::OwnRunsLost {
            crash,
            lost_at: vm.now,
            runs: vec![vm.run(&[CULPRIT])],
        };
        vm.guard.reduce(event, vm.now);
    }
    assert_eq!(vm.blocked(), [CULPRIT]);
}

#[test]
fn completion_at_a_peer_keeps_a_suspect_from_being_blocked() {
    let mut vm = Vm::new();
    for _ in 0..3 {
        vm.crash(&[&[CULPRIT]]);
    }
    let completions = vec![(CULPRIT, vm.now)];
    vm.guard.reduce(CrashEvent::Cleared { completions }, vm.now);
    assert_eq!(vm.blocked(), []);
}

#[test]
fn vm_reports_completions_to_a_peer_that_is_about_to_block() {
    let mut vm = Vm::new();
    let suspects = vec![SHARED, CULPRIT];
    let effects = vm
        .guard
        .reduce(CrashEvent::ClearanceQueried { suspects }, vm.now);
    assert_eq!(
        effects,
        [CrashEffect::ReportCompletions(vec![(SHARED, vm.now)])]
    );
    // Until the peer has decided, what has never completed is not sent.
    assert!(matches!(vm.verdict(&[CULPRIT]), SendVerdict::Held { .. }));
    assert_eq!(vm.verdict(&[SHARED]), SendVerdict::Allowed);
    vm.wait(600);
    assert_eq!(vm.verdict(&[CULPRIT]), SendVerdict::Allowed);
}

#[test]
fn requests_with_an_unproven_suspect_pause_longer_after_each_crash() {
    let mut vm = Vm::new();
    let mut last = TimeSpan::ZERO;
    for _ in 0..2 {
        vm.crash(&[&[CULPRIT]]);
        let SendVerdict::Held { until } = vm.verdict(&[CULPRIT, SHARED]) else {
            panic!("not held: {:?}", vm.verdict(&[CULPRIT, SHARED]));
        };
        assert!(vm.now.until(until) > last);
        last = vm.now.until(until);
    }
    vm.now = vm.now + last;
    assert_eq!(
        vm.verdict(&[CULPRIT, SHARED]),
        SendVerdict::Alone([CULPRIT].into())
    );
    vm.complete(&[CULPRIT]);
    assert_eq!(vm.verdict(&[CULPRIT, SHARED]), SendVerdict::Allowed);
}

#[test]
fn request_whose_blocks_are_sound_is_sent_again_at_once_after_its_first_crash() {
    let mut vm = Vm::new();
    let run = vm.run(&[SHARED]);
    let suspects = run.suspects.clone();
    vm.crash_of(vec![run.clone()], true);
    assert_eq!(
        vm.verdict(&suspects),
        SendVerdict::Alone([suspects[0]].into())
    );
    vm.wait(1_000);
    let sent_at = vm.now;
    vm.crash_of(vec![LostRun { sent_at, ..run }], true);
    assert!(matches!(vm.verdict(&suspects), SendVerdict::Held { .. }));
}

fn blocked_at(suspect: CrashSuspect, at: LocalTime) -> CrashEvent {
    CrashEvent::BlockedElsewhere {
        blocked: vec![BlockedSuspect {
            suspect,
            since: at,
            seen_at: at,
        }],
    }
}

#[test]
fn suspect_that_a_peer_blocked_is_blocked_unless_it_has_completed_since() {
    let mut vm = Vm::new();
    vm.complete(&[RIDER]);
    vm.wait(1_000);
    let blocked_since = vm.now;
    let effects = vm.guard.reduce(blocked_at(RIDER, blocked_since), vm.now);
    assert_eq!(effects, [CrashEffect::Adopted(RIDER)]);
    vm.wait(1_000);
    let effects = vm.complete(&[RIDER]);
    assert_eq!(effects, [CrashEffect::Unblocked(RIDER)]);
    let effects = vm.guard.reduce(blocked_at(RIDER, blocked_since), vm.now);
    assert_eq!(
        effects,
        [CrashEffect::ReportCompletions(vec![(RIDER, vm.now)])]
    );
    assert_eq!(vm.blocked(), []);
}

#[test]
fn crashes_that_a_suspect_blocked_at_a_peer_explains_are_no_evidence() {
    let mut vm = Vm::new();
    for _ in 0..2 {
        vm.crash(&[&[CULPRIT], &[RIDER]]);
    }
    vm.wait(5_000);
    assert_ne!(vm.verdict(&[RIDER]), SendVerdict::Allowed);
    vm.guard.reduce(blocked_at(CULPRIT, vm.now), vm.now);
    assert_eq!(vm.verdict(&[RIDER]), SendVerdict::Allowed);
}

#[test]
fn digest_names_the_set_of_blocked_suspects() {
    let (mut first, mut second) = (Vm::new(), Vm::new());
    assert_eq!(first.guard.digest(), 0);
    for (vm, order) in [
        (&mut first, [RIDER, CULPRIT]),
        (&mut second, [CULPRIT, RIDER]),
    ] {
        for suspect in order {
            vm.guard.reduce(blocked_at(suspect, vm.now), vm.now);
        }
    }
    assert_ne!(first.guard.digest(), 0);
    assert_eq!(first.guard.digest(), second.guard.digest());
    first.wait(1_000);
    first.complete(&[RIDER]);
    assert_ne!(first.guard.digest(), second.guard.digest());
}

#[test]
fn blocked_suspect_is_forgotten_a_day_after_its_last_request() {
    const HOUR_MS: u64 = 3_600_000;
    let mut vm = Vm::new();
    vm.guard.reduce(blocked_at(CULPRIT, vm.now), vm.now);
    for _ in 0..30 {
        assert_eq!(vm.wait(HOUR_MS), []);
        assert!(vm.guard.record_refusal(CULPRIT, vm.now));
        assert!(!vm.guard.record_refusal(CULPRIT, vm.now));
    }
    for _ in 0..23 {
        assert_eq!(vm.wait(HOUR_MS), []);
    }
    assert_eq!(vm.wait(HOUR_MS), [CrashEffect::Unblocked(CULPRIT)]);
}

#[test]
fn number_of_blocked_suspects_is_bounded() {
    let mut vm = Vm::new();
    for id in 0..2_000 {
        vm.wait(10);
        let suspect = CrashSuspect::Block(id);
        vm.guard.reduce(blocked_at(suspect, vm.now), vm.now);
    }
    let blocked: Vec<CrashSuspect> = vm.guard.blocked().map(|known| known.suspect).collect();
    assert_eq!(blocked.len(), 512);
    assert!(blocked.contains(&CrashSuspect::Block(1_999)));
}
