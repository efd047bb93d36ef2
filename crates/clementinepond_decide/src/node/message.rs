//! Messages between VMs.

use super::DemandReport;
use crate::claim::ClaimMessage;
use crate::configuration::ConfigurationMessage;
use crate::crash::CrashMessage;
use crate::limit::LimitMessage;
use crate::roster::RosterMessage;
use derive_more::From;
use serde::{Deserialize, Serialize};

/// Message from one VM to another, by the reducer that handles it.
#[derive(Debug, Clone, PartialEq, From, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Message of the roster.
    Roster(RosterMessage),
    /// Message of the configuration.
    Configuration(ConfigurationMessage),
    /// Message of the rate limits.
    Limit(LimitMessage),
    /// Message of the claims.
    Claim(ClaimMessage),
    /// Message of the crash guard.
    Crash(CrashMessage),
    /// Demand for models at the sender.
    Demand(DemandReport),
}
