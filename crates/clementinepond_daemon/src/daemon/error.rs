//! Startup errors of the daemon.

use derive_more::{Display, Error};
use std::net::SocketAddr;

/// Reason why the daemon cannot start.
#[derive(Debug, Display, Error)]
pub enum DaemonError {
    /// A listener cannot be opened.
    #[display("{setting}: {address}: {problem}; free the address or set another one")]
    Listen {
        /// Setting that names the address.
        setting: &'static str,
        /// Address from the setting.
        address: SocketAddr,
        /// Message of the operating system or library.
        problem: Box<str>,
    },
    /// The listener for messages from other VMs cannot be opened.
    #[display("peer.listen: {address}: {problem}; free the address or set another one")]
    Peer {
        /// Address from the setting.
        address: SocketAddr,
        /// Message of the library.
        problem: Box<str>,
    },
    /// The TLS certificate or its key cannot be loaded.
    #[display("caller.tls: {problem}; set the paths of a PEM certificate and its private key")]
    Certificate {
        /// Message of the library.
        problem: Box<str>,
    },
    /// Metrics or traces cannot be set up.
    #[display("telemetry: {problem}; correct or remove telemetry.otlp_address")]
    Telemetry {
        /// Message of the library.
        problem: Box<str>,
    },
}
