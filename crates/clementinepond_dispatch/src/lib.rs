//! Decision logic of an entry VM that routes requests to a fleet of endpoints.
//!
//! The crate does no I/O, reads no clock and starts no threads. Time and randomness are
//! passed as arguments, so that every decision can be tested in virtual time. The crate
//! `clementinepond_entry` performs the I/O.

pub mod budget;
pub mod directory;
pub mod fleet;
pub mod health;
pub mod lease;
pub mod load;
pub mod peer;
pub mod placement;
pub mod quota;
pub mod reach;
pub mod rejection;
pub mod select;
pub mod send_limit;
pub mod stream;
pub mod suspect;
pub mod table;
