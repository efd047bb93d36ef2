//! Settings of the claim part.

use clementinepond_types::{DataCentreId, TimeSpan};
use serde::{Deserialize, Serialize};

/// Guard that a mutation test disables to show that an invariant depends on it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ClaimMutation {
    /// All guards are enabled.
    #[default]
    None,
    /// Claims are granted before they are durable.
    GrantBeforeDurable,
    /// Replicas acknowledge copies of owners of any term.
    AcknowledgeOldTerm,
    /// A new owner grants without the records of a witness.
    SkipCollect,
    /// Copies count as durable before the stored object names their holders.
    CopyBeforeWitness,
    /// The claim of a run without a report becomes free.
    ForgetUnreportedRun,
    /// A `NotRun` report frees a running claim even if another call holds it.
    ReleaseAnyHolder,
    /// A grant that arrives after the call ended is passed to the I/O layer.
    GrantClosedTicket,
    /// A full shard drops its undated ended record that would expire first.
    ForgetWhenFull,
    /// Dated keys are accepted with any creation time, past or future.
    AcceptOldKey,
    /// A write with unknown outcome counts as stored.
    TrustUnknownStore,
}

/// Times, counts and sizes of the claim part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimSettings {
    /// Data centres that own shards; must be the same on all VMs.
    pub data_centres: Vec<DataCentreId>,
    /// Number of shards; must be the same on all VMs and never change.
    pub shard_count: u32,
    /// Number of replicas besides the owner, as far as the data centre has enough VMs.
    pub replica_count: usize,
    /// Longest time from a change of a shard to the write of its object.
    pub commit_interval: TimeSpan,
    /// Shortest time between the starts of two writes of one shard; also the retry
    /// delay of failed reads.
    pub commit_gap: TimeSpan,
    /// Time after which copies are sent again, and after which a change that is not
    /// durable is written without waiting for `commit_interval`.
    pub copy_timeout: TimeSpan,
    /// Time without an acknowledgement after which a replica is replaced.
    pub replica_timeout: TimeSpan,
    /// Time between resends of an unanswered request, report or takeover message.
    pub resend_interval: TimeSpan,
    /// Longest wait for the owner's first answer before a call is refused.
    pub owner_wait: TimeSpan,
    /// Longest time from a call's arrival to its dispatch.
    pub ask_limit: TimeSpan,
    /// Time after the dispatch deadline from which a run without a report is unknown.
    pub run_limit: TimeSpan,
    /// Time for which an unacknowledged report is resent, and for which a call that
    /// did not run still answers a late grant.
    pub report_limit: TimeSpan,
    /// Retention of claims under undated keys; `ask_limit` is added.
    pub retention: TimeSpan,
    /// Age from which dated keys are refused.
    pub dated_retention: TimeSpan,
    /// Largest accepted offset between wall clocks, and of a key's creation time into
    /// the future.
    pub clock_margin: TimeSpan,
    /// Largest size of a shard object, in bytes; new claims beyond it are refused.
    pub object_limit: usize,
    /// Largest size of an answer that is kept for retries, in bytes.
    pub answer_limit: usize,
    /// Largest total size of the answers that a shard keeps, in bytes.
    pub answer_budget: usize,
    /// Largest number of copied claims in one message.
    pub batch_limit: usize,
    /// Guard that a test disables.
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
    /// Returns the time for which a record is kept after its last change.
    #[must_use]
    pub(crate) fn retention_of(&self, dated: bool) -> TimeSpan {
        if dated {
            // The key's clock may be ahead by the margin, the clock that checks
            // its age may be behind by the margin, and a request is resent until
            // `ask_limit`.
            self.dated_retention + self.clock_margin + self.clock_margin + self.ask_limit
        } else {
            self.retention + self.ask_limit
        }
    }
}
