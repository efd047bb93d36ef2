//! Decisions of an entry VM that fronts a hosted fleet of endpoints.
//!
//! Everything here is pure: no I/O, no clocks, no threads. Time and randomness
//! arrive as arguments, so that each decision can be played in virtual time.
//! The crate `clementinepond_entry` carries the decisions out.

pub mod budget;
pub mod directory;
pub mod fleet;
pub mod health;
pub mod lease;
pub mod load;
pub mod peer;
pub mod place;
pub mod quota;
pub mod select;
pub mod suspect;
pub mod table;
