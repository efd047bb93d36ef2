//! Simulation of account limits over a whole fleet.
//!
//! The production limit reducer of every VM runs in virtual time on a simulated
//! network that delays, loses, duplicates and reorders messages and that can be
//! partitioned. Every run is checked against the exact bound over all windows
//! and compared with an equal static split.

mod audit;
mod central;
mod client;
mod fault;
mod fleet;
mod host;
mod ledger;
mod network;
mod outcome;
mod plan;
mod policy;
mod report;
mod roster;
mod scale;
mod scenario;
mod stream;
mod wire;

pub use fleet::FleetSimulation;
pub use ledger::{LimitChange, SpendLedger};
pub use network::NetworkPlan;
pub use outcome::{AccountOutcome, FleetOutcome};
pub use plan::{AccountPlan, BalancePlan, FaultKind, FaultPlan, FleetPlan, ReservePlan, SECOND};
pub use policy::PolicyKind;
pub use report::run;
pub use scale::{run_fleet, run_scale};
pub use scenario::{
    chaos, cut_off, first_account_load, mixed_accounts, rate_change, scaled_fleet, skewed,
    small_accounts,
};
