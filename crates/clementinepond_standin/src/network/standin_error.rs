//! Errors on starting a stand-in.

use derive_more::{Display, Error};
use std::io;
use std::net::SocketAddr;

/// Reason why a stand-in cannot start.
#[derive(Debug, Display, Error)]
pub enum StandinError {
    /// Binding the address failed.
    #[display("cannot listen on {address}: {source}; choose a free address, or port 0 for any")]
    Listen {
        /// Address from the options.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}
