//! Limits that endpoints state on the requests a second that they take from all VMs
//! together.
//!
//! A VM learns a limit from the answers of the endpoint or from a peer. From then on it
//! sends a call to the endpoint only with a permit. One VM of the fleet, the owner, issues
//! the permits of an endpoint at the rate that it states, since shares of a limit below one
//! a second would each round up to a whole request. Rendezvous hashing over the live VMs
//! gives the owner, so that VMs which are in contact with each other agree on it.

mod limit_table;
mod permit_ledger;
mod send_rate;

pub use limit_table::LimitTable;
pub use permit_ledger::{PermitLedger, PermitVerdict};
pub use send_rate::{RateError, SendRate};
