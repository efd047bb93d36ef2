//! Reasons for which a soak cannot run.

use derive_more::{Display, Error, From};

/// Reason for which a soak cannot run.
#[derive(Debug, Display, Error, From)]
pub enum SoakError {
    /// The operating system refuses something.
    #[display("{_0}; check that processes may be started and loopback ports are free")]
    System(std::io::Error),
    /// A VM did not start.
    #[display("an entry VM ended before it listened; run 'clementinepond entry' by hand")]
    NotStarted,
}
