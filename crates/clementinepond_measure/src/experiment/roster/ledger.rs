//! Upper bound of the parts that each VM process has in use.
//!
//! When a process stops using parts, grants on them remain valid for up to the
//! longest loan. A paused process may act until its deadline, and its grants
//! remain valid for the longest loan after that.

use clementinepond_decide::roster::{RosterTable, WHOLE_PARTS};
use clementinepond_types::VmId;
use std::collections::BTreeMap;

/// Parts and fleet share that count as in use until a true time in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct UseLevel {
    parts: u32,
    share: u32,
    until: u64,
}

/// Usage of one process: the current level, and earlier levels on which grants
/// may still be outstanding.
#[derive(Debug, Clone, Default)]
struct ProcessUse {
    data_centre: usize,
    current: Option<UseLevel>,
    outstanding: Vec<UseLevel>,
}

impl ProcessUse {
    fn parts(&self, now: u64) -> u32 {
        self.levels(now).map(|level| level.parts).max().unwrap_or(0)
    }

    fn product(&self, now: u64) -> u64 {
        self.levels(now)
            .map(|level| u64::from(level.parts) * u64::from(level.share))
            .max()
            .unwrap_or(0)
    }

    fn levels(&self, now: u64) -> impl Iterator<Item = &UseLevel> {
        self.current
            .iter()
            .chain(&self.outstanding)
            .filter(move |level| level.until >= now)
    }
}

/// VM and incarnation number of a process.
pub(crate) type ProcessKey = (VmId, u64);

/// Usage of all processes, and the violations found.
#[derive(Debug, Default)]
pub(crate) struct UsageLedger {
    processes: BTreeMap<ProcessKey, ProcessUse>,
    loan_micros: u64,
    /// Usage changes after which a data centre used more than all of its parts.
    pub(crate) over_whole: u64,
    /// Table updates that gave a VM fewer parts than it had in use.
    pub(crate) beyond_table: u64,
    /// Usage changes after which the fleet used more than its total share.
    pub(crate) over_fleet: u64,
}

impl UsageLedger {
    /// Creates an empty ledger; `loan_micros` is the longest loan.
    pub(crate) fn new(loan_micros: u64) -> Self {
        Self {
            loan_micros,
            ..Self::default()
        }
    }

    /// Records what a process may use until a deadline, and returns the time
    /// until which grants on a higher level may be outstanding, if any.
    pub(crate) fn record_use(
        &mut self,
        key: &ProcessKey,
        data_centre: usize,
        (parts, share): (u32, u32),
        deadline: u64,
        now: u64,
    ) -> Option<u64> {
        let loan = self.loan_micros;
        let process = self.processes.entry(key.clone()).or_default();
        process.data_centre = data_centre;
        let before = process.current.replace(UseLevel {
            parts,
            share,
            until: deadline.saturating_add(loan),
        });
        let lowered = before.filter(|level| level.parts > parts || level.share > share);
        let lowered = lowered.map(|level| UseLevel {
            until: level.until.min(now + loan),
            ..level
        });
        process.outstanding.retain(|level| level.until >= now);
        process.outstanding.extend(lowered);
        let higher = process
            .outstanding
            .iter()
            .filter(|level| level.parts > parts || level.share > share);
        let until = higher.map(|level| level.until).max();
        if before.is_none_or(|level| level.parts != parts || level.share != share) {
            self.check_sums(data_centre, now);
        }
        until
    }

    /// Records that a process ended; its grants stay valid for up to the
    /// longest loan.
    pub(crate) fn record_end(&mut self, key: &ProcessKey, now: u64) {
        let loan = self.loan_micros;
        if let Some(process) = self.processes.get_mut(key)
            && let Some(level) = process.current.take()
        {
            let until = level.until.min(now + loan);
            process.outstanding.push(UseLevel { until, ..level });
        }
    }

    /// Returns the number of parts that a data centre has in use.
    pub(crate) fn parts_in_use(&self, data_centre: usize, now: u64) -> u32 {
        self.processes
            .values()
            .filter(|process| process.data_centre == data_centre)
            .map(|process| process.parts(now))
            .sum()
    }

    fn check_sums(&mut self, data_centre: usize, now: u64) {
        if self.parts_in_use(data_centre, now) > WHOLE_PARTS {
            self.over_whole += 1;
        }
        let fleet: u64 = self
            .processes
            .values()
            .map(|process| process.product(now))
            .sum();
        if fleet > u64::from(WHOLE_PARTS) * u64::from(WHOLE_PARTS) {
            self.over_fleet += 1;
        }
    }

    /// Compares the usage of each VM with an updated table.
    pub(crate) fn check_table(&mut self, data_centre: usize, table: &RosterTable, now: u64) {
        self.processes.retain(|_, process| {
            process.current.is_some() || process.outstanding.iter().any(|level| level.until >= now)
        });
        let mut used: BTreeMap<&VmId, u32> = BTreeMap::new();
        for ((vm, _), process) in &self.processes {
            if process.data_centre == data_centre {
                *used.entry(vm).or_default() += process.parts(now);
            }
        }
        let is_beyond = |(vm, parts): (&&VmId, &u32)| {
            let entry = table.members.get(*vm);
            *parts > entry.map_or(0, |member| member.parts.get())
        };
        if used.iter().any(is_beyond) {
            self.beyond_table += 1;
        }
    }
}
