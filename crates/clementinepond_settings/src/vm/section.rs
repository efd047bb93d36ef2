//! Sections of the settings of a VM.

use clementinepond_types::{KeyDigest, TimeSpan};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// TLS certificate of the listener for callers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// PEM file with the certificate chain.
    pub certificate: PathBuf,
    /// PEM file with the private key.
    pub private_key: PathBuf,
}

/// Settings of the listener for callers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// TLS certificate; plain HTTP if absent.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// Maximum size of a request body in bytes.
    #[serde(default = "CallerSettings::default_body_limit_bytes")]
    pub body_limit_bytes: usize,
    /// Timeout for receiving a request body.
    #[serde(default = "CallerSettings::default_body_timeout")]
    pub body_timeout: TimeSpan,
    /// Maximum number of requests served concurrently by this VM.
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

/// Settings of the listener for operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// BLAKE3 digest of the operator credential.
    pub credential_digest: KeyDigest,
}

/// VM that is contacted before a roster is known.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSeed {
    /// Address at which the VM listens for other VMs.
    pub address: SocketAddr,
}

/// Settings of messages between VMs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Address that other VMs connect to; the listening address if absent.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Secret shared by all VMs, which authenticates each message.
    pub secret: Box<str>,
    /// VMs to contact first at start.
    #[serde(default)]
    pub seeds: Vec<PeerSeed>,
}

/// Settings of the client of the platform's object API.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the object API.
    pub address: SocketAddr,
    /// Timeout for an answer of the platform.
    #[serde(default = "PlatformSettings::default_timeout")]
    pub timeout: TimeSpan,
    /// Maximum time for which the platform holds a watch call open.
    #[serde(default = "PlatformSettings::default_watch_wait")]
    pub watch_wait: TimeSpan,
    /// Interval between reads of the list of VMs.
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

/// Settings of calls to endpoints.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointSettings {
    /// Timeout for connecting to an endpoint.
    pub connect_timeout: TimeSpan,
    /// Timeout for the head of an answer.
    pub answer_timeout: TimeSpan,
    /// Timeout between two chunks of a streamed answer.
    pub token_timeout: TimeSpan,
    /// Interval between reads of the report of an endpoint.
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

/// Limits of a request from arrival to answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestSettings {
    /// Maximum wait for admission, after which a request is refused.
    pub admission_wait: TimeSpan,
    /// Timeout of a request from arrival to the end of its answer.
    pub total_timeout: TimeSpan,
    /// Maximum number of attempts of a repeatable request.
    pub attempt_limit: u32,
    /// Retries that every 100 requests add to the retry budget.
    pub retry_percent: u32,
    /// Maximum wait for running requests during a graceful shutdown.
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

/// Settings of membership and of VMs without contact to others.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// Interval between heartbeats.
    pub heartbeat_period: TimeSpan,
    /// Time without contact after which a VM is suspected to have failed.
    pub suspicion: TimeSpan,
    /// Time for which a VM that stops running may keep using its parts of the limits.
    pub validity: TimeSpan,
    /// Time after which an update of one VM has reached all connected VMs.
    pub settle: TimeSpan,
    /// Upper bound of the lag of the platform's list of VMs.
    pub list_lag: TimeSpan,
    /// Upper bound of the lifetime of a grant or loan of parts.
    pub loan_span: TimeSpan,
    /// Interval between steps that even out the parts of the VMs.
    pub balance_period: TimeSpan,
    /// Time without contact to other VMs and the platform after which all keys are
    /// refused; never if absent.
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

/// Settings of the loans that enforce the limits of client accounts.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Upper bound of the lifetime of a token loan at the VM that borrowed the tokens.
    pub lot_span: TimeSpan,
    /// Shortest interval between two polls for part loans.
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

/// Settings of logs and traces.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TelemetrySettings {
    /// Minimum severity of log lines.
    pub log_level: Box<str>,
    /// OTLP collector for traces, as `http://IP:PORT`; no traces are exported if absent.
    pub otlp_address: Option<Box<str>>,
    /// Number of most recent traces kept in memory for the administration API.
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
