//! Framing of an answer's body.

use derive_more::Display;

/// What marks the end of an answer's body.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// Its stated length.
    #[display("length")]
    Length,
    /// The last chunk.
    #[display("chunks")]
    Chunks,
    /// The end of the connection, which a broken answer reaches as well.
    #[display("connection")]
    Connection,
}
