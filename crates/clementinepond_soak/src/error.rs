//! Errors that stop a soak run.

use derive_more::{Display, Error, From};

/// Error that stops a soak run.
#[derive(Debug, Display, Error, From)]
pub enum SoakError {
    /// An operation of the operating system failed.
    #[display(
        "operating system error: {_0}; check that processes can be started and that loopback ports are free"
    )]
    System(std::io::Error),
    /// An entry VM did not print its addresses.
    #[display(
        "an entry VM did not print the addresses that it listens on; run 'clementinepond entry' by hand to see why"
    )]
    NotStarted,
}
