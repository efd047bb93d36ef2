//! Baseline policy: one conditional platform write for each claim.
//!
//! The receiving VM creates an object named after the key and runs the call
//! if that succeeds. A retry finds the object and is answered that the call may
//! have run. No key can be claimed while the platform is unavailable.

use clementinepond_decide::claim::{
    ClaimEffect, ClaimEvent, ClaimKey, ClaimRefusal, ClaimTicket, ShardNumber, ShardObject,
    UnknownReason, VmIncarnation,
};
use clementinepond_decide::port::{ReadReply, StoreReply};
use clementinepond_types::{Epoch, LocalTime, TimeSpan, VmId};
use std::collections::BTreeMap;

/// Number of object names; large, so that two keys rarely share one.
const OBJECT_NAME_COUNT: u32 = u32::MAX;

/// Wait before a write is retried.
const RETRY_INTERVAL: TimeSpan = TimeSpan::from_millis(200);

#[derive(Debug)]
struct BaselineCall {
    ticket: ClaimTicket,
    write: u64,
    deadline: LocalTime,
    retry_at: LocalTime,
}

/// Claim state of one VM under the baseline policy.
#[derive(Debug)]
pub(super) struct BaselineClaims {
    vm: VmId,
    incarnation: u64,
    writes: u64,
    calls: BTreeMap<ShardNumber, Vec<BaselineCall>>,
}

impl BaselineClaims {
    pub(super) fn new(vm: VmId, incarnation: u64) -> Self {
        Self {
            vm,
            incarnation,
            writes: 0,
            calls: BTreeMap::new(),
        }
    }

    pub(super) fn apply(&mut self, event: ClaimEvent, now: LocalTime) -> Vec<ClaimEffect> {
        match event {
            ClaimEvent::Requested {
                ticket,
                account,
                route,
                key,
                deadline,
                ..
            } => {
                let name = ClaimKey::new(&account, &route, &key).shard(OBJECT_NAME_COUNT);
                self.request(name, ticket, deadline)
            }
            ClaimEvent::StoreReplied {
                shard,
                write,
                reply,
            } => self.stored(shard, write, reply, now),
            ClaimEvent::ReadReplied { shard, reply } => self.read(shard, reply, now),
            ClaimEvent::Tick => self.tick(now),
            _ => Vec::new(),
        }
    }

    fn request(
        &mut self,
        name: ShardNumber,
        ticket: ClaimTicket,
        deadline: LocalTime,
    ) -> Vec<ClaimEffect> {
        self.writes += 1;
        let write = self.writes;
        self.calls.entry(name).or_default().push(BaselineCall {
            ticket,
            write,
            deadline,
            retry_at: LocalTime::NEVER,
        });
        vec![self.store(name, write)]
    }

    fn store(&self, shard: ShardNumber, write: u64) -> ClaimEffect {
        let object = ShardObject {
            term: 1,
            epoch: Epoch::new(1),
            holder: self.vm.clone(),
            incarnation: VmIncarnation::new(self.incarnation),
            write,
            witnesses: Vec::new(),
            quarantine_left: TimeSpan::ZERO,
            running: Vec::new(),
            batches: Vec::new(),
        };
        ClaimEffect::Store {
            shard,
            expected: None,
            object,
        }
    }

    fn stored(
        &mut self,
        name: ShardNumber,
        write: u64,
        reply: StoreReply<ShardObject>,
        now: LocalTime,
    ) -> Vec<ClaimEffect> {
        match reply {
            StoreReply::Stored { .. } => self.granted(name, write, now),
            StoreReply::Conflict(Some(found)) => self.found(name, &found.value, now),
            StoreReply::Conflict(None) | StoreReply::Unknown => {
                vec![ClaimEffect::Read { shard: name }]
            }
        }
    }

    fn read(
        &mut self,
        name: ShardNumber,
        reply: ReadReply<ShardObject>,
        now: LocalTime,
    ) -> Vec<ClaimEffect> {
        match reply {
            ReadReply::Found(found) => self.found(name, &found.value, now),
            ReadReply::Missing | ReadReply::Unavailable => self.retry_or_refuse(name, now),
        }
    }

    fn found(
        &mut self,
        name: ShardNumber,
        object: &ShardObject,
        now: LocalTime,
    ) -> Vec<ClaimEffect> {
        let own =
            object.holder == self.vm && object.incarnation == VmIncarnation::new(self.incarnation);
        let mut effects = Vec::new();
        if own {
            effects = self.granted(name, object.write, now);
        }
        let others = self.calls.remove(&name).unwrap_or_default();
        effects.extend(others.into_iter().map(|call| ClaimEffect::Unknown {
            ticket: call.ticket,
            reason: UnknownReason::OutcomeLost,
        }));
        effects
    }

    fn granted(&mut self, name: ShardNumber, write: u64, now: LocalTime) -> Vec<ClaimEffect> {
        let Some(calls) = self.calls.get_mut(&name) else {
            return Vec::new();
        };
        let Some(index) = calls.iter().position(|call| call.write == write) else {
            return Vec::new();
        };
        let call = calls.remove(index);
        if now >= call.deadline {
            return vec![refused(call.ticket)];
        }
        vec![ClaimEffect::Granted {
            ticket: call.ticket,
            deadline: call.deadline,
        }]
    }

    /// Schedules a retry of pending calls and refuses those past their deadline.
    ///
    /// An abandoned write may still take effect; the key then stays claimed by
    /// a call that did not run, which is safe.
    fn retry_or_refuse(&mut self, name: ShardNumber, now: LocalTime) -> Vec<ClaimEffect> {
        let calls = self.calls.remove(&name).unwrap_or_default();
        let (expired, mut pending): (Vec<_>, Vec<_>) =
            calls.into_iter().partition(|call| now >= call.deadline);
        for call in &mut pending {
            call.retry_at = now + RETRY_INTERVAL;
        }
        if !pending.is_empty() {
            self.calls.insert(name, pending);
        }
        expired
            .into_iter()
            .map(|call| refused(call.ticket))
            .collect()
    }

    fn tick(&mut self, now: LocalTime) -> Vec<ClaimEffect> {
        let mut due = Vec::new();
        for (name, calls) in &mut self.calls {
            let is_due = calls.iter().any(|call| now >= call.retry_at);
            if let Some(call) = calls.first()
                && is_due
            {
                due.push((*name, call.write));
            }
            for call in calls {
                if is_due {
                    call.retry_at = LocalTime::NEVER;
                }
            }
        }
        due.into_iter()
            .map(|(name, write)| self.store(name, write))
            .collect()
    }
}

fn refused(ticket: ClaimTicket) -> ClaimEffect {
    ClaimEffect::Refused {
        ticket,
        reason: ClaimRefusal::DeadlinePassed,
    }
}
