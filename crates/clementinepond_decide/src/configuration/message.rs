//! Messages between VMs about the configuration.

use super::{ContentDelta, ContentDigest, WithdrawalEntry, WithdrawnDigest};
use clementinepond_types::{ObjectVersion, VmId};
use serde::{Deserialize, Serialize};

/// Text of a version, complete or as a difference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ContentUpdate {
    /// Complete text.
    Whole {
        /// Text of the version.
        text: Box<str>,
        /// Digest of the text.
        digest: ContentDigest,
    },
    /// Difference to an earlier version.
    Delta(ContentDelta),
}

/// Message between VMs about the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// Sends a version.
    Update {
        /// Number of the version.
        version: ObjectVersion,
        /// Text of the version.
        update: ContentUpdate,
        /// VMs to which the receiver forwards it.
        subtree: Vec<VmId>,
    },
    /// Requests the newest version.
    Request {
        /// Version that a difference may be based on; `None` for the complete text.
        have: Option<ObjectVersion>,
    },
    /// Sends withdrawn keys.
    Withdrawals {
        /// Withdrawn keys.
        entries: Vec<WithdrawalEntry>,
        /// VMs to which the receiver forwards them.
        subtree: Vec<VmId>,
    },
    /// Confirms that withdrawn keys are held.
    WithdrawalsAcknowledged {
        /// Withdrawn keys.
        entries: Vec<WithdrawalEntry>,
    },
    /// Requests the withdrawn keys of groups whose digests differ.
    WithdrawalsRequest {
        /// Sender's digest of each group.
        groups: Vec<WithdrawnDigest>,
    },
}
