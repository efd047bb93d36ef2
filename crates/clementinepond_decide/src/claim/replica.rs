//! Copies of claims that this VM holds as a replica of other owners.

use super::effect::ClaimEffect;
use super::key::{ClaimKey, ShardNumber};
use super::message::{ClaimMessage, CollectedCopies, CopyRecord, CopyState};
use super::owner::ShardEntry;
use super::settings::ClaimMutation;
use super::state::ClaimState;
use clementinepond_types::{LocalTime, VmId};
use std::collections::BTreeMap;

/// Copied claim with the time at which it was received.
#[derive(Debug, Clone)]
pub(crate) struct HeldCopy {
    pub(crate) record: CopyRecord,
    pub(crate) received_at: LocalTime,
}

impl HeldCopy {
    /// Returns the record with its remaining time reduced by the time since receipt.
    pub(crate) fn at(&self, now: LocalTime) -> CopyRecord {
        let mut record = self.record.clone();
        if let CopyState::Running { time_left, .. } = &mut record.state {
            *time_left = time_left.saturating_sub(now.since(self.received_at));
        }
        record
    }
}

/// Copies of one shard's claims.
#[derive(Debug, Clone)]
pub(crate) struct ReplicaShard {
    /// Term of the owner that sent the copies; zero if there are none.
    pub(crate) term: u64,
    /// Smallest term whose copies are still acknowledged.
    pub(crate) promised: u64,
    pub(crate) records: BTreeMap<ClaimKey, HeldCopy>,
}

impl ReplicaShard {
    fn new(term: u64) -> Self {
        Self {
            term,
            promised: term,
            records: BTreeMap::new(),
        }
    }

    fn apply(&mut self, record: CopyRecord, now: LocalTime) {
        let stale = self
            .records
            .get(&record.key)
            .is_some_and(|held| held.record.sequence >= record.sequence);
        if stale {
            return;
        }
        let held = HeldCopy {
            received_at: now,
            record,
        };
        self.records.insert(held.record.key, held);
    }

    /// Drops records that the platform holds, except answers, which it does not store.
    fn drop_flushed(&mut self, flushed: u64) {
        self.records.retain(|_, held| {
            held.record.sequence > flushed
                || matches!(held.record.state, CopyState::Answered(Some(_)))
        });
    }

    /// Drops the oldest answers until the rest fits a budget in bytes; keeps all whose
    /// records the platform does not hold yet.
    fn trim_answers(&mut self, flushed: u64, budget: usize) {
        let mut answers: Vec<(u64, ClaimKey, usize)> = self
            .records
            .values()
            .filter_map(|held| match &held.record.state {
                CopyState::Answered(Some(answer)) => {
                    Some((held.record.sequence, held.record.key, answer.size()))
                }
                _ => None,
            })
            .collect();
        answers.sort_by_key(|&(sequence, ..)| sequence);
        let mut total: usize = answers.iter().map(|&(.., size)| size).sum();
        for (sequence, key, size) in answers {
            if total <= budget || sequence > flushed {
                return;
            }
            total -= size;
            self.records.remove(&key);
        }
    }
}

/// Returns the newest term of the shard that this VM knows as owner or replica.
fn known_term(state: &ClaimState, shard: ShardNumber) -> u64 {
    let owned = state.shards.get(&shard).map_or(0, ShardEntry::term);
    let promised = state
        .replicas
        .get(&shard)
        .map_or(0, |replica| replica.promised);
    owned.max(promised)
}

/// Accepts to be a replica for the owner of a term, unless a newer term is known.
pub(crate) fn enlist(
    state: &ClaimState,
    from: VmId,
    shard: ShardNumber,
    term: u64,
) -> Vec<ClaimEffect> {
    if term < known_term(state, shard) {
        return Vec::new();
    }
    vec![ClaimEffect::Send {
        to: from,
        message: ClaimMessage::Enlisted {
            shard,
            term,
            incarnation: state.incarnation,
        },
    }]
}

/// Stores copies and acknowledges them, or refuses them if a newer term is known.
pub(crate) fn copy(
    state: &mut ClaimState,
    from: VmId,
    shard: ShardNumber,
    term: u64,
    flushed: u64,
    records: Vec<CopyRecord>,
    now: LocalTime,
) -> Vec<ClaimEffect> {
    let known = known_term(state, shard);
    if term < known && state.settings.mutation != ClaimMutation::AcknowledgeOldTerm {
        return vec![ClaimEffect::Send {
            to: from,
            message: ClaimMessage::CopyRefused { shard, term: known },
        }];
    }
    let copied = records
        .iter()
        .map(|record| (record.key, record.sequence))
        .collect();
    let replica = state
        .replicas
        .entry(shard)
        .or_insert_with(|| ReplicaShard::new(term));
    if term > replica.term {
        // An owner sends copies only after its stored object contains all copies of
        // earlier terms.
        *replica = ReplicaShard::new(term);
    }
    for record in records {
        replica.apply(record, now);
    }
    replica.drop_flushed(flushed);
    replica.trim_answers(flushed, state.settings.answer_budget);
    vec![ClaimEffect::Send {
        to: from,
        message: ClaimMessage::CopyAcknowledged {
            shard,
            term,
            incarnation: state.incarnation,
            copied,
        },
    }]
}

/// Returns copies to a new owner and promises to acknowledge no older term.
pub(crate) fn collect(
    state: &mut ClaimState,
    shard: ShardNumber,
    term: u64,
    former: u64,
    after: Option<ClaimKey>,
    now: LocalTime,
) -> CollectedCopies {
    let limit = state.settings.batch_limit;
    let replica = state.replicas.entry(shard).or_insert_with(|| ReplicaShard {
        term: 0,
        promised: term,
        records: BTreeMap::new(),
    });
    replica.promised = replica.promised.max(term);
    // The object of the former term contains all copies of earlier terms.
    let is_former = replica.term == former;
    let mut rest = replica
        .records
        .values()
        .filter(|held| is_former && after.is_none_or(|key| held.record.key > key));
    let records: Vec<CopyRecord> = rest.by_ref().take(limit).map(|held| held.at(now)).collect();
    CollectedCopies::Records {
        records,
        more: rest.next().is_some(),
    }
}
