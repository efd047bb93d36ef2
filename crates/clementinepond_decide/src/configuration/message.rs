//! Messages between VMs about the configuration.

use super::{ContentDelta, ContentDigest, WithdrawalEntry, WithdrawnDigest};
use clementinepond_types::{ObjectVersion, VmId};
use serde::{Deserialize, Serialize};

/// Text of a version, whole or as a difference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ContentUpdate {
    /// The whole text.
    Whole {
        /// The text.
        text: Box<str>,
        /// Digest of the text.
        digest: ContentDigest,
    },
    /// The difference to an earlier version.
    Delta(ContentDelta),
}

/// Message between two VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// Carries a version.
    Update {
        /// The version.
        version: ObjectVersion,
        /// Its text.
        update: ContentUpdate,
        /// VMs to pass it on to.
        subtree: Vec<VmId>,
    },
    /// Asks for the newest version.
    Request {
        /// Version that the sender has.
        have: Option<ObjectVersion>,
    },
    /// Carries withdrawn keys.
    Withdrawals {
        /// The keys.
        entries: Vec<WithdrawalEntry>,
        /// VMs to pass them on to.
        subtree: Vec<VmId>,
    },
    /// Tells that keys were taken in.
    WithdrawalsAcknowledged {
        /// The keys.
        entries: Vec<WithdrawalEntry>,
    },
    /// Asks for the withdrawn keys of groups that differ.
    WithdrawalsRequest {
        /// Digest of each group that the sender has.
        groups: Vec<WithdrawnDigest>,
    },
}
