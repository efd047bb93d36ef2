//! State of the crash guard on one VM.

use super::arbiter::PermitTable;
use super::completion::CompletionTable;
use super::identity::{CrashTicket, RequestFingerprint};
use super::loss::LossTable;
use super::message::{LossReport, SuspectReport};
use super::run::RunEntry;
use super::settings::{CrashSettings, CrashSharing};
use super::suspect::SuspectTable;
use super::verdict::{Verdict, VerdictTable, VerdictView};
use clementinepond_types::{DataCentreId, EndpointId, Epoch, LocalTime, ObjectVersion, VmId};
use std::collections::{BTreeMap, BTreeSet};

/// Prefix of the hash input that selects the arbiter among the VMs.
const ARBITER_SEED: &str = "crash-arbiter";

/// Updates that wait for the next broadcast.
#[derive(Debug, Clone, Default)]
pub(crate) struct UpdateQueue {
    pub(crate) losses: Vec<LossReport>,
    pub(crate) suspects: Vec<SuspectReport>,
    pub(crate) verdicts: Vec<Verdict>,
    /// Whether the list of endpoints where this VM runs suspects is to be sent.
    pub(crate) occupied_changed: bool,
    /// Earliest time of the next broadcast.
    pub(crate) next_send: LocalTime,
}

impl UpdateQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.losses.is_empty()
            && self.suspects.is_empty()
            && self.verdicts.is_empty()
            && !self.occupied_changed
    }
}

/// State of the synchronization with the stored verdict object.
#[derive(Debug, Clone, Default)]
pub(crate) struct VerdictStore {
    /// Last known version of the object; `None` if it does not exist or is not known.
    pub(crate) version: Option<ObjectVersion>,
    /// Whether the object was read since the start or since the last write whose outcome
    /// is unknown.
    pub(crate) loaded: bool,
    /// Whether the verdicts changed since the last write.
    pub(crate) dirty: bool,
    /// Whether a read or write is unanswered.
    pub(crate) in_flight: bool,
    /// Earliest time of the next read or write.
    pub(crate) next_call: LocalTime,
}

/// Counts for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashCounts {
    /// Runs in flight at endpoints.
    pub in_flight: usize,
    /// Runs that wait for a permit.
    pub waiting: usize,
    /// Lost endpoint processes that are kept, dismissed ones included.
    pub losses: usize,
    /// Requests with kept losses, cleared ones included.
    pub suspects: usize,
    /// Permits that this VM granted or that were registered with it.
    pub permits: usize,
}

/// State of the crash guard on one VM.
#[derive(Debug, Clone)]
pub struct CrashState {
    pub(crate) settings: CrashSettings,
    pub(crate) vm: VmId,
    pub(crate) rosters: BTreeMap<DataCentreId, (Epoch, Vec<VmId>)>,
    pub(crate) runs: BTreeMap<CrashTicket, RunEntry>,
    pub(crate) losses: LossTable,
    pub(crate) suspects: SuspectTable,
    pub(crate) verdicts: VerdictTable,
    pub(crate) permits: PermitTable,
    pub(crate) completions: CompletionTable,
    /// Endpoints where each other VM runs suspects, and the expiry of that information.
    pub(crate) occupied: BTreeMap<VmId, (Vec<EndpointId>, LocalTime)>,
    pub(crate) updates: UpdateQueue,
    pub(crate) store: VerdictStore,
    /// Time from which this VM grants permits.
    pub(crate) arbiter_ready_at: LocalTime,
    pub(crate) next_sweep: LocalTime,
}

impl CrashState {
    /// Creates a crash guard without rosters, losses or verdicts.
    #[must_use]
    pub fn new(settings: CrashSettings, vm: VmId) -> Self {
        Self {
            settings,
            vm,
            rosters: BTreeMap::new(),
            runs: BTreeMap::new(),
            losses: LossTable::default(),
            suspects: SuspectTable::default(),
            verdicts: VerdictTable::default(),
            permits: PermitTable::default(),
            completions: CompletionTable::default(),
            occupied: BTreeMap::new(),
            updates: UpdateQueue::default(),
            store: VerdictStore::default(),
            arbiter_ready_at: LocalTime::ORIGIN,
            next_sweep: LocalTime::ORIGIN,
        }
    }

    /// Returns the verdicts in the form shown to operators.
    #[must_use]
    pub fn verdicts(&self, now: LocalTime) -> Vec<VerdictView> {
        self.verdicts.views(now)
    }

    /// Returns whether a request is blocked by an unexpired verdict.
    #[must_use]
    pub fn is_refused(&self, fingerprint: RequestFingerprint, now: LocalTime) -> bool {
        self.verdicts.is_refused(fingerprint, now)
    }

    /// Returns the counts for metrics.
    #[must_use]
    pub fn counts(&self) -> CrashCounts {
        let in_flight = |entry: &&RunEntry| matches!(entry, RunEntry::InFlight(_));
        let waiting = |entry: &&RunEntry| matches!(entry, RunEntry::Waiting(_));
        CrashCounts {
            in_flight: self.runs.values().filter(in_flight).count(),
            waiting: self.runs.values().filter(waiting).count(),
            losses: self.losses.len(),
            suspects: self.suspects.len(),
            permits: self.permits.len(),
        }
    }

    /// Returns every other VM in the rosters.
    pub(crate) fn peers(&self) -> Vec<VmId> {
        let members = self.rosters.values().flat_map(|(_, members)| members);
        members.filter(|vm| **vm != self.vm).cloned().collect()
    }

    /// Returns the endpoints where this VM runs suspects.
    pub(crate) fn own_occupied(&self) -> Vec<EndpointId> {
        let occupied = self.runs.values().filter_map(|entry| match entry {
            RunEntry::Permitted(run) => Some(run.stage.endpoint.clone()),
            RunEntry::InFlight(run) if run.stage.is_registered => {
                Some(run.stage.loss.endpoint.clone())
            }
            RunEntry::Waiting(_) | RunEntry::InFlight(_) => None,
        });
        let distinct: BTreeSet<EndpointId> = occupied.collect();
        distinct.into_iter().collect()
    }

    /// Returns the endpoints where any VM runs suspects.
    pub(crate) fn all_occupied(&self, now: LocalTime) -> Vec<EndpointId> {
        let others = self.occupied.values();
        let current = others.filter(|(_, until)| now < *until);
        let mut all: BTreeSet<EndpointId> = self.own_occupied().into_iter().collect();
        all.extend(current.flat_map(|(endpoints, _)| endpoints.iter().cloned()));
        all.into_iter().collect()
    }

    /// Returns the VM that grants permits: with [`CrashSharing::Arbiter`] the VM with the
    /// largest hash in all rosters, or this VM while no roster is known; otherwise this VM.
    pub(crate) fn arbiter(&self) -> VmId {
        if self.settings.sharing != CrashSharing::Arbiter {
            return self.vm.clone();
        }
        let members = self.rosters.values().flat_map(|(_, members)| members);
        members
            .max_by_key(|vm| (arbiter_weight(vm), (*vm).clone()))
            .unwrap_or(&self.vm)
            .clone()
    }
}

fn arbiter_weight(vm: &VmId) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(ARBITER_SEED.as_bytes());
    hasher.update(vm.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
