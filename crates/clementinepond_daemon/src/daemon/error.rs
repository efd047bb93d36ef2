//! Reasons for which a VM cannot start.

use derive_more::{Display, Error};
use std::net::SocketAddr;

/// Reason for which a VM cannot start.
#[derive(Debug, Display, Error)]
pub enum DaemonError {
    /// A listener cannot be opened.
    #[display("{setting}: {address}: {problem}; free the address or set another one")]
    Listen {
        /// Setting that names the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// Message of the operating system or library.
        problem: Box<str>,
    },
    /// Messages between VMs cannot be received.
    #[display("peer.listen: {address}: {problem}; free the address or set another one")]
    Peer {
        /// The address.
        address: SocketAddr,
        /// Message of the library.
        problem: Box<str>,
    },
    /// The certificate cannot be used.
    #[display("caller.tls: {problem}; set PEM files of a certificate and its key")]
    Certificate {
        /// What is wrong.
        problem: Box<str>,
    },
    /// Metrics or traces cannot be set up.
    #[display("telemetry: {problem}; correct or remove telemetry.otlp_address")]
    Telemetry {
        /// What is wrong.
        problem: Box<str>,
    },
}
