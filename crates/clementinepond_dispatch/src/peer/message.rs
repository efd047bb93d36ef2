//! Messages between VMs, one per datagram.

use crate::fleet::PromptBlock;
use crate::load::{EndpointLoad, NameHash};
use crate::send_limit::SendRate;
use crate::stream::{StreamKey, StreamOrigin};
use crate::suspect::{CrashSuspect, EndpointCrash};
use clementinepond_types::{AccountId, AdapterId, DataCentreId, EndpointId, ModelId, VmId};
use serde::{Deserialize, Serialize};

/// Usage of one account at one VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// ID of the account.
    pub account: AccountId,
    /// Units admitted since the VM's process started.
    pub admitted: u64,
    /// Units requested per second, including refused ones.
    pub requested_per_s: u32,
    /// Level of the VM's copy of the bucket, in units; may be negative.
    pub level: i64,
}

/// Demand for one model at one VM; rounded down to whole tokens in messages.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct ModelDemand {
    /// Prompt tokens per second that were not cached.
    pub prefill_per_s: f32,
    /// Requested output tokens per second.
    pub output_per_s: f32,
}

impl ModelDemand {
    /// Returns the sum of two demands.
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

/// Heartbeat of a VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Random number that identifies the process.
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the process; a heartbeat whose number is
    /// not higher than the last one's is dropped.
    pub number: u64,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Version of the configuration in use; 0 when there is none.
    pub configuration: u64,
    /// Revision of the newest change to an endpoint's entry that the VM knows.
    pub directory: u64,
    /// Bandwidth of the VM's link, in megabits per second.
    pub link_mbps: u32,
    /// Whether the VM's own calls to the store succeed; true when it makes none.
    pub has_store: bool,
    /// Whether the VM is cut off from the endpoints.
    pub is_cut: bool,
    /// Whether the VM is shutting down and takes no new duties.
    pub is_stopping: bool,
    /// Milliseconds since the store last answered this VM's watches.
    pub store_age_ms: u32,
    /// Fencing number if the VM holds the placement lease.
    pub lease_fence: Option<u64>,
    /// Milliseconds since the VM's last order if it held the placement lease and the
    /// lease has expired.
    pub expired_order_age_ms: Option<u32>,
    /// Usage of each account.
    pub accounts: Vec<AccountUsage>,
    /// Load that the VM's requests put on each endpoint.
    pub loads: Vec<(NameHash, EndpointLoad)>,
    /// Demand for each model.
    pub demand: Vec<(NameHash, ModelDemand)>,
    /// Endpoints that the VM has ejected.
    pub ejected: Vec<NameHash>,
}

/// Adapter at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AdapterLocation {
    /// Hash of the endpoint's name.
    pub endpoint: NameHash,
    /// Hash of the model and adapter names together.
    pub adapter: NameHash,
}

/// Update from the lease holder about the placement of models and adapters.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PlacementUpdate {
    /// Fencing number of the lease holder.
    pub fence: u64,
    /// Sequence number of the update under this fencing number.
    pub number: u64,
    /// Whether `adapters` lists all loaded adapters rather than the changes since the
    /// last update.
    pub is_complete: bool,
    /// Adapters that are loaded.
    pub adapters: Vec<AdapterLocation>,
    /// Adapters that are no longer loaded.
    pub removed: Vec<AdapterLocation>,
    /// Copies that are about to be unloaded, as endpoint and model.
    pub closing: Vec<(NameHash, NameHash)>,
    /// Models of the moves in progress, with the milliseconds until they are expected
    /// to serve.
    pub loading: Vec<(NameHash, u32)>,
}

/// Request that a VM is sending to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SentRun {
    /// Engine that receives the request.
    pub endpoint: EndpointId,
    /// Prompt tokens that the engine has to process.
    pub prefill_tokens: u32,
    /// Prompt and output tokens that the request may occupy in the KV cache.
    pub context_tokens: u32,
    /// Hash of the model, or of the model and adapter, under which the prompt is
    /// cached.
    pub weights: NameHash,
    /// Blocks of the prompt, which the engine caches from now on.
    pub blocks: Vec<PromptBlock>,
    /// Account, with the units admitted for it since the VM's process started.
    pub account: Option<(AccountId, u64)>,
}

/// Requests that a VM is sending to engines.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunUpdate {
    /// Random number that identifies the process.
    pub incarnation: u64,
    /// Requests in the order of sending.
    pub runs: Vec<SentRun>,
}

/// Message between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Periodic heartbeat.
    Heartbeat(Box<PeerHeartbeat>),
    /// Requests being sent to engines.
    Runs(RunUpdate),
    /// Update of the placement.
    Placement(Box<PlacementUpdate>),
    /// Changes to endpoints' entries.
    Entries(EntryUpdate),
    /// A request needs an adapter or has used it.
    AdapterWanted {
        /// Endpoint that should load the adapter.
        endpoint: EndpointId,
        /// Model of the adapter.
        model: ModelId,
        /// Requested adapter.
        adapter: AdapterId,
    },
    /// An adapter is loaded.
    AdapterReady(AdapterLocation),
    /// An endpoint crashed that ran requests of the VM.
    Crash(CrashReport),
    /// A VM has read a new configuration from the store.
    Configuration {
        /// Random number that identifies the process.
        incarnation: u64,
        /// Version of the configuration.
        version: u64,
    },
    /// Message that the receiver applies and forwards.
    Relayed {
        /// VMs to which the receiver forwards the message.
        relay_to: Vec<VmId>,
        /// Content.
        message: Box<PeerMessage>,
    },
    /// Origin of a stream, for its holders or in answer to a query.
    StreamOrigin {
        /// Stream.
        key: StreamKey,
        /// Service and software version that began it.
        origin: StreamOrigin,
        /// Milliseconds for which the origin is kept.
        time_left_ms: u32,
    },
    /// Query for the origin of a stream.
    StreamOriginQuery {
        /// Stream.
        key: StreamKey,
    },
    /// Answer to a query for an origin that the VM does not know.
    StreamOriginUnknown {
        /// Stream.
        key: StreamKey,
    },
    /// Query for completions of suspects that the VM is about to block.
    ClearanceQuery {
        /// Suspects.
        suspects: Vec<CrashSuspect>,
    },
    /// Completions of requests with suspects.
    Completions(Vec<CompletionReport>),
    /// Hash of the VM's set of blocked suspects.
    BlockedDigest {
        /// Hash.
        digest: u64,
    },
    /// Blocked suspects of the VM.
    BlockedSuspects {
        /// All of them.
        blocked: Vec<BlockedReport>,
        /// Whether the receiver does not answer with its own.
        is_reply: bool,
    },
    /// A VM is cut off from the endpoints, or no longer is.
    Reach {
        /// Random number that identifies the process.
        incarnation: u64,
        /// Whether it is cut off.
        is_cut: bool,
    },
    /// A brittle endpoint had no room for a request.
    Rejection {
        /// Endpoint.
        endpoint: NameHash,
        /// Number of rejections in a second that it survives.
        most: u32,
    },
    /// An endpoint states a limit, another one or no longer one.
    SendLimit(LimitReport),
    /// Query to the owner of an endpoint's limit for a permit to send one call.
    PermitQuery {
        /// Number by which the VM recognizes the reply.
        ticket: u64,
        /// Limit as the VM knows it.
        limit: LimitReport,
    },
    /// Reply to a query for a permit.
    PermitReply {
        /// Number of the query.
        ticket: u64,
        /// Content.
        reply: PermitReply,
    },
}

/// Limit of an endpoint as a VM knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Endpoint.
    pub endpoint: NameHash,
    /// Rate that the endpoint states; `None` if it no longer states one.
    pub rate: Option<SendRate>,
    /// Milliseconds since the time as of which the rate is known.
    pub known_ms_ago: u32,
}

/// Answer of the owner of an endpoint's limit to a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// One call may be sent now.
    Granted,
    /// No call may be sent.
    Denied {
        /// Milliseconds after which the VM may ask again.
        retry_ms: u32,
    },
    /// The endpoint no longer states a limit.
    Unlimited {
        /// Milliseconds since the time as of which that is known.
        known_ms_ago: u32,
    },
}

/// Runs of a VM that were lost when their endpoint crashed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Endpoint.
    pub crash: EndpointCrash,
    /// Milliseconds since the first of the runs was lost.
    pub lost_ms_ago: u32,
    /// Runs.
    pub runs: Vec<LostRunReport>,
}

/// Run that was lost when its endpoint crashed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LostRunReport {
    /// Suspects of the request, from the most specific to the most widely shared.
    pub suspects: Box<[CrashSuspect]>,
    /// Milliseconds since the request was sent.
    pub sent_ms_ago: u32,
}

/// Last completion of a request with a suspect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionReport {
    /// Suspect.
    pub suspect: CrashSuspect,
    /// Milliseconds since then.
    pub completed_ms_ago: u32,
}

/// Blocked suspect.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BlockedReport {
    /// Suspect.
    pub suspect: CrashSuspect,
    /// Milliseconds since the first crash that counts against it.
    pub since_ms_ago: u32,
    /// Milliseconds since the last known request with it.
    pub unseen_ms: u32,
}

/// Change to an endpoint's entry in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryChange {
    /// Name of the entry.
    pub name: Box<str>,
    /// Revision of the change.
    pub revision: u64,
    /// Content as JSON; `None` when the entry was deleted.
    pub spec: Option<Box<str>>,
}

/// Consecutive changes to endpoints' entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryUpdate {
    /// Revision of the newest change before these.
    pub after: u64,
    /// Changes, oldest first.
    pub changes: Vec<EntryChange>,
}

/// Message with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// VM that the message is from, also when another one forwards it.
    pub from: VmId,
    /// Content.
    pub message: PeerMessage,
}
