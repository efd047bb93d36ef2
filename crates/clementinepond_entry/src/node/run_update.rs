//! Announcements to the peers of requests sent to engines.
//!
//! The queue of an engine changes faster than heartbeats arrive, so VMs that relied on
//! heartbeats alone would all choose the same engine.

use super::EntryNode;
use clementinepond_dispatch::load::{EndpointLoad, NameHash};
use clementinepond_dispatch::peer::{PeerMessage, RunUpdate, SentRun};
use clementinepond_types::{LocalTime, VmId};

/// Maximum rate of datagrams that announce requests; above it, several requests share a
/// datagram. At this rate the smallest VMs spend a fiftieth of their processor on them.
const DATAGRAMS_PER_S: f64 = 800.0;

/// Queue of requests that have not been announced yet.
#[derive(Debug, Default)]
pub(crate) struct RunOutbox {
    runs: Vec<SentRun>,
    /// Datagrams that may be sent now; negative after a broadcast beyond the budget.
    credit: f64,
    /// Time up to which the credit was added.
    credited_at: LocalTime,
}

impl RunOutbox {
    /// Returns the requests to announce now, and charges one datagram per peer to the
    /// budget.
    fn due(&mut self, peers: usize, now: LocalTime) -> Vec<SentRun> {
        let seconds = now.since(self.credited_at).micros() as f64 / 1e6;
        self.credited_at = now;
        self.credit = (self.credit + seconds * DATAGRAMS_PER_S).min(DATAGRAMS_PER_S);
        if self.runs.is_empty() || self.credit <= 0.0 {
            return Vec::new();
        }
        self.credit -= peers as f64;
        std::mem::take(&mut self.runs)
    }
}

impl EntryNode {
    /// Announces a request that is being sent to an engine.
    pub(super) fn announce_run(&self, run: SentRun, now: LocalTime) {
        self.state.borrow_mut().unannounced.runs.push(run);
        self.flush_runs(now);
    }

    /// Announces queued requests if the datagram budget allows it.
    pub(crate) fn flush_runs(&self, now: LocalTime) {
        let due = {
            let mut guard = self.state.borrow_mut();
            let state = &mut *guard;
            let peers = state.peers.all().count();
            state.unannounced.due(peers, now)
        };
        if !due.is_empty() {
            self.broadcast(PeerMessage::Runs(RunUpdate {
                incarnation: self.incarnation,
                runs: due,
            }));
        }
    }

    /// Applies a peer's announcement of its requests.
    pub(crate) fn apply_runs(&self, from: &VmId, update: RunUpdate, now: LocalTime) {
        let Some(table) = self.table() else {
            return;
        };
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        state.peers.record_contact(from, update.incarnation, now);
        for run in update.runs {
            // The usage of a process that is not known yet arrives with its first heartbeat.
            if let Some((account, admitted)) = &run.account
                && let Some(policy) = table.account(account)
                && let Some(units) =
                    state
                        .peers
                        .record_admitted(from, update.incarnation, account, *admitted)
            {
                state.limiter.record_remote(policy, units, now);
            }
            let known = state.directory.get(&run.endpoint);
            let service = known.and_then(|known| table.service(&known.entry.service));
            let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
                continue;
            };
            let key = NameHash::of(run.endpoint.as_str());
            let run_load = EndpointLoad {
                runs: 1,
                context_tokens: run.context_tokens,
            };
            state
                .loads
                .start_remote(from, key, run_load, run.prefill_tokens, now);
            state.prefix_cache.record_prefill(
                key,
                run.weights,
                &run.blocks,
                engine.kv_capacity,
                now,
            );
        }
    }
}
