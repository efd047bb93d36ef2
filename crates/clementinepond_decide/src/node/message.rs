//! What VMs send each other.

use super::DemandReport;
use crate::claim::ClaimMessage;
use crate::configuration::ConfigurationMessage;
use crate::crash::CrashMessage;
use crate::limit::LimitMessage;
use crate::roster::RosterMessage;
use derive_more::From;
use serde::{Deserialize, Serialize};

/// One message between two VMs.
#[derive(Debug, Clone, PartialEq, From, Serialize, Deserialize)]
pub enum PeerMessage {
    /// About the roster.
    Roster(RosterMessage),
    /// About the configuration.
    Configuration(ConfigurationMessage),
    /// About limits.
    Limit(LimitMessage),
    /// About claims.
    Claim(ClaimMessage),
    /// About crashes.
    Crash(CrashMessage),
    /// About the demand for models.
    Demand(DemandReport),
}
