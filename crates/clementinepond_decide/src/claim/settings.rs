//! Settings of claims.

use clementinepond_types::{DataCentreId, TimeSpan};
use serde::{Deserialize, Serialize};

/// Guard that a test switches off, to show that an invariant needs it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ClaimMutation {
    /// Every guard is on.
    #[default]
    None,
    /// Grants before the claim is durable.
    GrantBeforeDurable,
    /// Replicas acknowledge owners of any term.
    AcknowledgeOldTerm,
    /// A new owner grants without the records of a witness.
    SkipCollect,
    /// Copies count before the stored object names their holders.
    CopyBeforeWitness,
    /// A run without report is granted again.
    ForgetUnreportedRun,
    /// A report that nothing ran releases whatever claim is running.
    ReleaseAnyHolder,
    /// A grant that comes after the call ended is passed on.
    GrantClosedTicket,
    /// The oldest records make room for new claims.
    ForgetWhenFull,
    /// Dated keys are accepted at any age.
    AcceptOldKey,
    /// A write without answer counts as stored.
    TrustUnknownStore,
}

/// Settings of claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimSettings {
    /// Data centres that own shards; the same everywhere.
    pub data_centres: Vec<DataCentreId>,
    /// Number of shards; the same everywhere, and fixed.
    pub shard_count: u32,
    /// Replicas beside the owner, where the data centre has that many VMs.
    pub replica_count: usize,
    /// Longest time that a granted claim waits for its platform write.
    pub commit_interval: TimeSpan,
    /// Shortest time between two writes of one shard.
    pub commit_gap: TimeSpan,
    /// Wait for replicas before a claim is written at once.
    pub copy_timeout: TimeSpan,
    /// Silence after which a replica is replaced.
    pub replica_timeout: TimeSpan,
    /// Time between repeats of an unanswered message.
    pub resend_interval: TimeSpan,
    /// Longest wait for a shard's owner before a call is refused.
    pub owner_wait: TimeSpan,
    /// Longest time from a call's arrival to its dispatch.
    pub ask_limit: TimeSpan,
    /// Time after which a run without report is unknown.
    pub run_limit: TimeSpan,
    /// Time for which a report is repeated.
    pub report_limit: TimeSpan,
    /// Time for which claims under undated keys are kept.
    pub retention: TimeSpan,
    /// Age at which dated keys are refused.
    pub dated_retention: TimeSpan,
    /// Largest difference of wall clocks, and of a key's date from them.
    pub clock_margin: TimeSpan,
    /// Largest shard object, in bytes.
    pub object_limit: usize,
    /// Largest answer that is kept for repeats, in bytes.
    pub answer_limit: usize,
    /// Sum of the answers that one shard keeps, in bytes.
    pub answer_budget: usize,
    /// Largest number of records in one message.
    pub batch_limit: usize,
    /// Guard that is off.
    #[serde(skip)]
    pub mutation: ClaimMutation,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            data_centres: Vec::new(),
            shard_count: 64,
            replica_count: 2,
            commit_interval: TimeSpan::from_secs(5),
            commit_gap: TimeSpan::from_millis(250),
            copy_timeout: TimeSpan::from_millis(20),
            replica_timeout: TimeSpan::from_secs(2),
            resend_interval: TimeSpan::from_millis(100),
            owner_wait: TimeSpan::from_secs(2),
            ask_limit: TimeSpan::from_secs(300),
            run_limit: TimeSpan::from_secs(3_600),
            report_limit: TimeSpan::from_secs(3_600),
            retention: TimeSpan::from_secs(86_400),
            dated_retention: TimeSpan::from_secs(3_600),
            clock_margin: TimeSpan::from_secs(60),
            object_limit: 1_000_000,
            answer_limit: 16_384,
            answer_budget: 262_144,
            batch_limit: 256,
            mutation: ClaimMutation::None,
        }
    }
}

impl ClaimSettings {
    /// Returns the time for which a record is kept after it was last changed.
    #[must_use]
    pub(crate) fn retention_of(&self, dated: bool) -> TimeSpan {
        if dated {
            // A key may be dated ahead by the margin, judged by a clock that
            // is behind by the margin, and asked for until the ask limit.
            self.dated_retention + self.clock_margin + self.clock_margin + self.ask_limit
        } else {
            self.retention + self.ask_limit
        }
    }
}
