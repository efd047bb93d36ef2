//! Fakes at the placement part's interfaces, in virtual time.

mod chance;
mod engine;
mod platform;
mod step;
mod vm;
mod world;
mod world_event;
mod world_setup;

pub use chance::FaultRates;
pub use engine::{FakeCopy, FakeEngine, FakeKey};
pub use world::{FakeWorld, WorldChecks};
pub use world_setup::{CentreSetup, EndpointSetup, WorldSetup};
