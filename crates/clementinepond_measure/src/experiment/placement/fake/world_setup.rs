//! What a world starts with.

use super::{FakeKey, FaultRates};
use clementinepond_decide::plan::{PlacementCatalogue, PlanSettings};
use clementinepond_types::{DataCentreId, EndpointId};

/// One endpoint.
#[derive(Debug, Clone)]
pub struct EndpointSetup {
    /// Name.
    pub id: EndpointId,
    /// Accelerator memory, in MiB.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether old fencing numbers are refused.
    pub checks_fencing: bool,
    /// Copies that are ready from the start, with their memory.
    pub preloaded: Vec<(FakeKey, u64)>,
}

/// One data centre.
#[derive(Debug, Clone)]
pub struct CentreSetup {
    /// Name.
    pub id: DataCentreId,
    /// Number of VMs.
    pub vms: usize,
    /// Endpoints.
    pub endpoints: Vec<EndpointSetup>,
    /// What operators want placed.
    pub catalogue: PlacementCatalogue,
}

/// What a world starts with.
#[derive(Debug, Clone)]
pub struct WorldSetup {
    /// Data centres.
    pub centres: Vec<CentreSetup>,
    /// Settings of every VM.
    pub settings: PlanSettings,
    /// How often things go wrong.
    pub rates: FaultRates,
    /// Loads at full speed at once, over all data centres.
    pub store_at_once: usize,
    /// Time of one load at full speed, in microseconds.
    pub load_us: u64,
    /// Time that running requests need to end, in microseconds.
    pub drain_us: u64,
    /// Time between two reports, in microseconds.
    pub report_us: u64,
    /// Time between two ticks of a VM, in microseconds.
    pub tick_us: u64,
}
