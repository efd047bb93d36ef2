//! Exchange with the peers of crashes, completions and blocked suspects.

use super::message_age::{age_ms, time_before};
use super::{EntryNode, increment};
use crate::clock::BootClock;
use clementinepond_dispatch::peer::{
    BlockedReport, CompletionReport, CrashReport, LostRunReport, PeerMessage,
};
use clementinepond_dispatch::suspect::{
    BlockedSuspect, CrashEffect, CrashEvent, CrashSuspect, EndpointCrash, LostRun, SendVerdict,
};
use clementinepond_types::{LocalTime, TimeSpan, VmId};
use fnv::FnvHashSet;
use rand::RngExt;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Minimum interval between requests for peers' blocked suspects; the first answer usually
/// has all of them.
const SYNC_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// Maximum number of peers to which a VM sends its digest at each heartbeat; each VM gets
/// about as many, so that one that was cut off soon gets the first.
const MAX_DIGEST_RECIPIENTS: usize = 12;

/// Changes of the blocked suspects that are not in the store yet.
#[derive(Debug, Default)]
pub(crate) struct UnstoredSuspects {
    pub(crate) added: FnvHashSet<CrashSuspect>,
    pub(crate) removed: FnvHashSet<CrashSuspect>,
}

/// Marks suspects as having a request of this VM in flight until dropped.
#[derive(Debug)]
pub(crate) struct TrialGuard {
    node: Rc<EntryNode>,
    suspects: Box<[CrashSuspect]>,
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        for suspect in &self.suspects {
            state.trials.remove(suspect);
        }
    }
}

impl EntryNode {
    /// Records a crash and reports it to the peers.
    pub(crate) fn report_crash(
        &self,
        crash: EndpointCrash,
        lost_at: LocalTime,
        runs: Vec<LostRun>,
    ) {
        let now = BootClock::now();
        let report = CrashReport {
            crash,
            lost_ms_ago: age_ms(lost_at, now),
            runs: runs
                .iter()
                .map(|run| LostRunReport {
                    suspects: run.suspects.clone(),
                    sent_ms_ago: age_ms(run.sent_at, now),
                })
                .collect(),
        };
        self.broadcast(PeerMessage::Crash(report));
        let event = CrashEvent::OwnRunsLost {
            crash,
            lost_at,
            runs,
        };
        self.apply_crash_event(event, None);
    }

    /// Applies a peer's report of a crash.
    pub(crate) fn apply_crash_report(&self, report: CrashReport, sender: SocketAddrV4) {
        let now = BootClock::now();
        let runs = report.runs.into_iter().map(|run| LostRun {
            suspects: run.suspects,
            sent_at: time_before(now, run.sent_ms_ago),
        });
        let event = CrashEvent::PeerRunsLost {
            crash: report.crash,
            lost_at: time_before(now, report.lost_ms_ago),
            runs: runs.collect(),
        };
        self.apply_crash_event(event, Some(sender));
    }

    /// Records that a request completed.
    pub(crate) fn apply_completion(&self, suspects: Box<[CrashSuspect]>) {
        self.apply_crash_event(CrashEvent::Completed { suspects }, None);
    }

    /// Applies a peer's reports of completions.
    pub(crate) fn apply_completion_reports(&self, reports: Vec<CompletionReport>) {
        let now = BootClock::now();
        let completions = reports
            .into_iter()
            .map(|report| (report.suspect, time_before(now, report.completed_ms_ago)));
        let event = CrashEvent::Cleared {
            completions: completions.collect(),
        };
        self.apply_crash_event(event, None);
    }

    /// Applies a peer's list of blocked suspects; answers with this VM's list if the peer
    /// asks for it and lacks some.
    pub(crate) fn apply_blocked_reports(
        &self,
        reports: Vec<BlockedReport>,
        is_reply: bool,
        sender: SocketAddrV4,
    ) {
        let now = BootClock::now();
        let theirs: FnvHashSet<CrashSuspect> =
            reports.iter().map(|report| report.suspect).collect();
        let blocked = reports.into_iter().map(|report| BlockedSuspect {
            suspect: report.suspect,
            since: time_before(now, report.since_ms_ago),
            seen_at: time_before(now, report.unseen_ms),
        });
        let event = CrashEvent::BlockedElsewhere {
            blocked: blocked.collect(),
        };
        self.apply_crash_event(event, Some(sender));
        let is_lacking = {
            let state = self.state.borrow();
            let mut own = state.crash_guard.blocked();
            own.any(|known| !theirs.contains(&known.suspect))
        };
        if is_lacking && !is_reply {
            self.send_to(self.blocked_message(true, now), sender);
        }
    }

    /// Compares a peer's digest of its blocked suspects with this VM's, and exchanges the
    /// lists if they differ.
    pub(crate) fn compare_blocked_digest(&self, digest: u64, sender: SocketAddrV4) {
        let now = BootClock::now();
        {
            let mut state = self.state.borrow_mut();
            let is_equal = state.crash_guard.digest() == digest;
            if is_equal || now.since(state.blocked_synced_at) < SYNC_INTERVAL {
                return;
            }
            state.blocked_synced_at = now;
        }
        self.send_to(self.blocked_message(false, now), sender);
    }

    /// Sends the digest of this VM's blocked suspects to some peers, all of them in a small
    /// fleet, unless there are none.
    pub(crate) fn announce_blocked_digest(&self) {
        let digest = self.state.borrow().crash_guard.digest();
        if digest == 0 {
            return;
        }
        let mut peers: Vec<VmId> = {
            let state = self.state.borrow();
            state.peers.all().map(|(vm, _)| vm.clone()).collect()
        };
        if peers.len() > MAX_DIGEST_RECIPIENTS {
            let start = rand::rng().random_range(0..peers.len());
            peers.rotate_left(start);
            peers.truncate(MAX_DIGEST_RECIPIENTS);
        }
        self.send_to_each(PeerMessage::BlockedDigest { digest }, &peers);
    }

    fn blocked_message(&self, is_reply: bool, now: LocalTime) -> PeerMessage {
        let state = self.state.borrow();
        let blocked = state.crash_guard.blocked().map(|known| BlockedReport {
            suspect: known.suspect,
            since_ms_ago: age_ms(known.since, now),
            unseen_ms: age_ms(known.seen_at, now),
        });
        PeerMessage::BlockedSuspects {
            blocked: blocked.collect(),
            is_reply,
        }
    }

    /// Applies an event to the crash guard and carries out its effects; `sender` is the peer
    /// that it is from.
    pub(crate) fn apply_crash_event(&self, event: CrashEvent, sender: Option<SocketAddrV4>) {
        let now = BootClock::now();
        let effects = self.state.borrow_mut().crash_guard.reduce(event, now);
        for effect in effects {
            self.carry_out(effect, sender, now);
        }
    }

    fn carry_out(&self, effect: CrashEffect, sender: Option<SocketAddrV4>, now: LocalTime) {
        match effect {
            CrashEffect::QueryPeers(suspects) => {
                self.broadcast(PeerMessage::ClearanceQuery { suspects });
            }
            CrashEffect::ReportCompletions(completions) => {
                let reports = completions
                    .into_iter()
                    .map(|(suspect, at)| CompletionReport {
                        suspect,
                        completed_ms_ago: age_ms(at, now),
                    });
                let message = PeerMessage::Completions(reports.collect());
                if let Some(sender) = sender {
                    self.send_to(message, sender);
                }
            }
            CrashEffect::Blocked {
                suspect,
                crashes,
                loss_percent,
            } => {
                log::warn!(
                    "event=suspect_blocked suspect={suspect} source=evidence crashes={crashes} loss_percent={loss_percent}"
                );
                increment(&self.stats.suspects_blocked);
                self.suspect_blocked.notify_waiters();
                self.broadcast(self.blocked_message(true, now));
                self.record_unstored(suspect, true);
            }
            CrashEffect::Adopted(suspect) => {
                log::warn!("event=suspect_blocked suspect={suspect} source=peer_or_store");
                increment(&self.stats.suspects_blocked);
                self.suspect_blocked.notify_waiters();
            }
            CrashEffect::Unblocked(suspect) => {
                log::warn!("event=suspect_unblocked suspect={suspect}");
                self.record_unstored(suspect, false);
            }
        }
    }

    fn record_unstored(&self, suspect: CrashSuspect, is_blocked: bool) {
        let mut guard = self.state.borrow_mut();
        let unstored = &mut guard.unstored_suspects;
        let (to, from) = if is_blocked {
            (&mut unstored.added, &mut unstored.removed)
        } else {
            (&mut unstored.removed, &mut unstored.added)
        };
        from.remove(&suspect);
        to.insert(suspect);
        drop(guard);
        self.blocked_changed.notify_one();
    }

    /// Returns whether a request may be sent; a refusal keeps its suspect blocked.
    pub(crate) fn send_verdict(&self, suspects: &[CrashSuspect]) -> SendVerdict {
        let now = BootClock::now();
        let mut state = self.state.borrow_mut();
        let verdict = state.crash_guard.verdict(suspects, now);
        if let SendVerdict::Blocked(suspect) = verdict
            && state.crash_guard.record_refusal(suspect, now)
        {
            drop(state);
            self.broadcast(self.blocked_message(true, now));
        }
        verdict
    }

    /// Waits until one of the suspects is blocked.
    pub(crate) async fn await_blocked(&self, suspects: &[CrashSuspect]) {
        loop {
            let mut blocked = std::pin::pin!(self.suspect_blocked.notified());
            blocked.as_mut().enable();
            if self.state.borrow().crash_guard.is_blocked(suspects) {
                return;
            }
            blocked.await;
        }
    }

    /// Marks suspects as having a request in flight; `None` if one has another already.
    pub(crate) fn start_trial(
        self: &Rc<Self>,
        suspects: Box<[CrashSuspect]>,
    ) -> Option<TrialGuard> {
        let mut state = self.state.borrow_mut();
        if suspects.iter().any(|one| state.trials.contains(one)) {
            return None;
        }
        state.trials.extend(suspects.iter().copied());
        drop(state);
        Some(TrialGuard {
            node: Rc::clone(self),
            suspects,
        })
    }
}
