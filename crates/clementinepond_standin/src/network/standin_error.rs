//! Reasons for which a stand-in cannot start.

use derive_more::{Display, Error};
use std::io;
use std::net::SocketAddr;

/// Reason for which a stand-in cannot start.
#[derive(Debug, Display, Error)]
pub enum StandinError {
    /// The address cannot be listened on.
    #[display("cannot listen on {address}: {source}; choose a free address, or port 0 for any")]
    Listen {
        /// Address that was asked for.
        address: SocketAddr,
        /// Reason given by the operating system.
        source: io::Error,
    },
}
