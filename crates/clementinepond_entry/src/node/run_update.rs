//! Announcements of requests as they are sent to engines.
//!
//! An engine's queue is shorter than the time between two regular update, so VMs
//! that only knew the update would all turn to the same engine.

use super::EntryNode;
use clementinepond_dispatch::load::{EndpointLoad, NameHash};
use clementinepond_dispatch::peer::{PeerMessage, RunUpdate, SentRun};
use clementinepond_types::{LocalTime, VmId};

/// Datagrams a second that a VM spends on announcing its requests; beyond,
/// several requests share one. Costs the smallest VMs a fiftieth of their processor.
const DATAGRAMS_PER_S: f64 = 800.0;

/// Requests not announced yet.
#[derive(Debug, Default)]
pub(crate) struct RunOutbox {
    runs: Vec<SentRun>,
    /// Datagrams that may be sent at once.
    credit: f64,
    credited_at: LocalTime,
}

impl RunOutbox {
    /// Returns the requests to announce now, charging the budget for `peers` datagrams.
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
    /// Announces a request that is being sent.
    pub(super) fn announce_run(&self, run: SentRun, now: LocalTime) {
        self.state.borrow_mut().unannounced.runs.push(run);
        self.flush_runs(now);
    }

    /// Announces the requests that exceeded the budget before, if any.
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

    /// Takes over the requests that a peer announces.
    pub(crate) fn apply_runs(&self, from: &VmId, update: RunUpdate, now: LocalTime) {
        let Some(table) = self.table() else {
            return;
        };
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        state.peers.record_contact(from, update.incarnation, now);
        for run in update.runs {
            // Use of a process that is not known yet arrives with its first update.
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
