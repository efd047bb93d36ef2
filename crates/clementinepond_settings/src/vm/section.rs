//! Sections of the settings file.

use clementinepond_types::{KeyDigest, TimeSpan};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Certificate for callers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// PEM file with the certificate chain.
    pub certificate: PathBuf,
    /// PEM file with the private key.
    pub private_key: PathBuf,
}

/// Listener for callers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Certificate; plain HTTP when absent.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// Largest accepted body, in bytes.
    #[serde(default = "CallerSettings::default_body_limit_bytes")]
    pub body_limit_bytes: usize,
    /// Longest time in which a body must arrive.
    #[serde(default = "CallerSettings::default_body_timeout")]
    pub body_timeout: TimeSpan,
    /// Most requests served at once by this VM.
    #[serde(default = "CallerSettings::default_concurrent_requests")]
    pub concurrent_requests: usize,
}

impl CallerSettings {
    const fn default_body_limit_bytes() -> usize {
        4 * 1024 * 1024
    }

    const fn default_body_timeout() -> TimeSpan {
        TimeSpan::from_secs(10)
    }

    const fn default_concurrent_requests() -> usize {
        4096
    }
}

/// Listener for operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// BLAKE3 digest of the operators' credential.
    pub credential_digest: KeyDigest,
}

/// A VM that is known before any roster is.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSeed {
    /// Its address for other VMs.
    pub address: SocketAddr,
}

/// Messages between VMs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address that other VMs dial; the listening address when absent.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Secret shared by all VMs; authenticates each message.
    pub secret: Box<str>,
    /// VMs to ask at start.
    #[serde(default)]
    pub seeds: Vec<PeerSeed>,
}

/// The platform's object API.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the API.
    pub address: SocketAddr,
    /// Longest wait for an answer.
    #[serde(default = "PlatformSettings::default_timeout")]
    pub timeout: TimeSpan,
    /// Longest wait of one watch call.
    #[serde(default = "PlatformSettings::default_watch_wait")]
    pub watch_wait: TimeSpan,
    /// Interval between readings of the list of VMs.
    #[serde(default = "PlatformSettings::default_list_interval")]
    pub list_interval: TimeSpan,
}

impl PlatformSettings {
    const fn default_timeout() -> TimeSpan {
        TimeSpan::from_secs(2)
    }

    const fn default_watch_wait() -> TimeSpan {
        TimeSpan::from_secs(30)
    }

    const fn default_list_interval() -> TimeSpan {
        TimeSpan::from_secs(2)
    }
}

/// Calls to endpoints.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointSettings {
    /// Longest wait for a connection.
    pub connect_timeout: TimeSpan,
    /// Longest wait for the head of an answer.
    pub answer_timeout: TimeSpan,
    /// Longest silence inside a streamed answer.
    pub token_timeout: TimeSpan,
    /// Interval between readings of a report.
    pub report_interval: TimeSpan,
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self {
            connect_timeout: TimeSpan::from_secs(1),
            answer_timeout: TimeSpan::from_secs(120),
            token_timeout: TimeSpan::from_secs(20),
            report_interval: TimeSpan::from_millis(500),
        }
    }
}

/// Life cycle of requests.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestSettings {
    /// Longest wait for admission before a refusal.
    pub admission_wait: TimeSpan,
    /// Longest whole life of one request.
    pub total_timeout: TimeSpan,
    /// Most attempts for one repeatable request.
    pub attempt_limit: u32,
    /// Retries allowed for every 100 requests.
    pub retry_percent: u32,
    /// Longest wait for running requests at a graceful shutdown.
    pub shutdown_wait: TimeSpan,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            admission_wait: TimeSpan::from_millis(300),
            total_timeout: TimeSpan::from_secs(600),
            attempt_limit: 4,
            retry_percent: 20,
            shutdown_wait: TimeSpan::from_secs(60),
        }
    }
}

/// Membership and what a VM does while it is cut off.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// Time between two rounds of heartbeats.
    pub heartbeat_period: TimeSpan,
    /// Silence after which a VM is suspected.
    pub suspicion: TimeSpan,
    /// Time for which a paused VM keeps the use of its parts.
    pub validity: TimeSpan,
    /// Time in which news of one VM reaches all connected ones.
    pub settle: TimeSpan,
    /// Bound of the lag of the platform's list of VMs.
    pub list_lag: TimeSpan,
    /// Longest life of a grant on parts.
    pub loan_span: TimeSpan,
    /// Time between two steps towards even parts.
    pub balance_period: TimeSpan,
    /// Time without news after which all keys are refused; never when absent.
    pub refuse_keys_after: Option<TimeSpan>,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_period: TimeSpan::from_secs(1),
            suspicion: TimeSpan::from_secs(8),
            validity: TimeSpan::from_secs(10),
            settle: TimeSpan::from_secs(10),
            list_lag: TimeSpan::from_secs(30),
            loan_span: TimeSpan::from_secs(20),
            balance_period: TimeSpan::from_secs(20),
            refuse_keys_after: None,
        }
    }
}

/// Limits of client accounts.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Life of a lot of tokens at the VM that borrowed it.
    pub lot_span: TimeSpan,
    /// Shortest interval between two polls for loans.
    pub loan_interval: TimeSpan,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            lot_span: TimeSpan::from_secs(10),
            loan_interval: TimeSpan::from_secs(2),
        }
    }
}

/// Logs, traces and metrics.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// Least severe level that is logged.
    pub log_level: Box<str>,
    /// OTLP collector for traces, as `http://IP:PORT`; none when absent.
    pub otlp_address: Option<Box<str>>,
    /// Newest traces kept in memory for the administration API.
    pub trace_history: usize,
}

impl Default for TelemetrySettings {
    fn default() -> Self {
        Self {
            log_level: "info".into(),
            otlp_address: None,
            trace_history: 256,
        }
    }
}
