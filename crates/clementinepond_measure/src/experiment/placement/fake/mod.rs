//! Simulated VMs, platform and model engines for the placement code, in virtual time.

mod engine;
mod faults;
mod platform;
mod step;
mod vm;
mod world;
mod world_event;
mod world_setup;

pub use engine::{FakeCopy, FakeEngine, FakeKey};
pub use faults::FaultRates;
pub use world::{FakeWorld, WorldChecks};
pub use world_setup::{CentreSetup, EndpointSetup, WorldSetup};
