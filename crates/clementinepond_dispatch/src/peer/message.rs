//! Messages between VMs, one a datagram.

use crate::fleet::PromptBlock;
use crate::load::{EndpointLoad, NameHash};
use clementinepond_types::{AccountId, AdapterId, DataCentreId, EndpointId, ModelId, VmId};
use serde::{Deserialize, Serialize};

/// Units of one account at one VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Account.
    pub account: AccountId,
    /// Units admitted since the VM's process started.
    pub admitted: u64,
    /// Units asked for a second, refused ones included.
    pub requested_per_s: u32,
    /// Level of the VM's copy of the bucket; below zero after use elsewhere.
    pub level: i64,
}

/// Demand for one model at one VM; whole tokens in messages.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct ModelDemand {
    /// Prompt tokens a second that no cache held.
    pub prefill_per_s: f32,
    /// Tokens generated a second.
    pub output_per_s: f32,
}

impl ModelDemand {
    /// Adds another demand.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            prefill_per_s: self.prefill_per_s + other.prefill_per_s,
            output_per_s: self.output_per_s + other.output_per_s,
        }
    }
}

impl From<(u32, u32)> for ModelDemand {
    fn from((prefill, output): (u32, u32)) -> Self {
        Self {
            prefill_per_s: prefill as f32,
            output_per_s: output as f32,
        }
    }
}

impl From<ModelDemand> for (u32, u32) {
    fn from(demand: ModelDemand) -> Self {
        (demand.prefill_per_s as u32, demand.output_per_s as u32)
    }
}

/// Regular news of a VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Random number of the process.
    pub incarnation: u64,
    /// Count of news sent by this process; older ones that come late are dropped.
    pub number: u64,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Version of the configuration in force; 0 when there is none.
    pub configuration: u64,
    /// Revision of the newest change of an endpoint's entry that the VM knows.
    pub directory: u64,
    /// Bandwidth of the VM's link, in megabits a second.
    pub link_mbps: u32,
    /// Whether the VM's own calls of the store work, as far as it makes any.
    pub has_store: bool,
    /// Milliseconds since the store last answered this VM's watches.
    pub store_age_ms: u32,
    /// Fencing number, when the VM holds the placement duty.
    pub lease_fence: Option<u64>,
    /// Milliseconds since the VM's last order, when it held the duty and its
    /// authority is over.
    pub expired_order_age_ms: Option<u32>,
    /// Accounts.
    pub accounts: Vec<AccountUsage>,
    /// Load put on endpoints.
    pub loads: Vec<(NameHash, EndpointLoad)>,
    /// Demand for models.
    pub demand: Vec<(NameHash, ModelDemand)>,
    /// Endpoints that the VM has set aside.
    pub ejected: Vec<NameHash>,
}

/// One adapter at one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AdapterLocation {
    /// Endpoint.
    pub endpoint: NameHash,
    /// Model and adapter, hashed together.
    pub adapter: NameHash,
}

/// News from the holder of the placement duty to all VMs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacementUpdate {
    /// Fencing number of the holder.
    pub fence: u64,
    /// Count of news under this fence.
    pub number: u64,
    /// Whether these are all adapters, or changes since the last news.
    pub is_complete: bool,
    /// Adapters that are loaded.
    pub adapters: Vec<AdapterLocation>,
    /// Adapters that are no longer loaded.
    pub removed: Vec<AdapterLocation>,
    /// Copies of models that are about to be unloaded: endpoint and model.
    pub closing: Vec<(NameHash, NameHash)>,
    /// Models being loaded, and the milliseconds until they are expected.
    pub loading: Vec<(NameHash, u32)>,
}

/// A request that a VM is sending to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SentRun {
    /// Engine.
    pub endpoint: EndpointId,
    /// Prompt tokens that the engine has to read.
    pub prefill_tokens: u32,
    /// Tokens of prompt and output that the run may come to hold.
    pub context_tokens: u32,
    /// Model, or model and adapter, under which the prompt is cached.
    pub weights: NameHash,
    /// Parts of the prompt, which the engine holds from now on.
    pub blocks: Vec<PromptBlock>,
    /// Account, and the units admitted for it since the VM's process started.
    pub account: Option<(AccountId, u64)>,
}

/// Requests that a VM is sending to engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunUpdate {
    /// Random number of the process.
    pub incarnation: u64,
    /// Requests, oldest first.
    pub runs: Vec<SentRun>,
}

/// One message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Regular news.
    Heartbeat(Box<PeerHeartbeat>),
    /// Requests being sent to engines.
    Runs(RunUpdate),
    /// News of placement.
    Placement(Box<PlacementUpdate>),
    /// Changes of endpoints' entries.
    Entries(EntryUpdate),
    /// A request waits for an adapter, or has used it.
    AdapterWanted {
        /// Endpoint that should load it.
        endpoint: EndpointId,
        /// Model.
        model: ModelId,
        /// Adapter.
        adapter: AdapterId,
    },
    /// An adapter is loaded.
    AdapterReady(AdapterLocation),
    /// A request crashed an endpoint.
    Crash {
        /// Fingerprint of the request.
        fingerprint: u64,
    },
}

/// One change of an endpoint's entry, as the store holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryChange {
    /// Name of the entry.
    pub name: Box<str>,
    /// Revision of the change.
    pub revision: u64,
    /// Content as JSON; none when the entry was deleted.
    pub spec: Option<Box<str>>,
}

/// Changes of endpoints' entries that follow each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryUpdate {
    /// Revision of the newest change before these.
    pub after: u64,
    /// Changes, oldest first.
    pub changes: Vec<EntryChange>,
}

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// Sender.
    pub from: VmId,
    /// Message.
    pub message: PeerMessage,
}
