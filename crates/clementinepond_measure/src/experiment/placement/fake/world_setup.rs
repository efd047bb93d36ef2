//! Initial state and settings of a simulator.

use super::{FakeKey, FaultRates};
use clementinepond_decide::plan::{PlacementCatalogue, PlanSettings};
use clementinepond_types::{DataCentreId, EndpointId};

/// Initial state of one endpoint.
#[derive(Debug, Clone)]
pub struct EndpointSetup {
    /// Endpoint name.
    pub id: EndpointId,
    /// Accelerator memory, in MiB.
    pub memory: u64,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether orders with old fencing numbers are refused.
    pub checks_fencing: bool,
    /// Copies that are ready at the start, with their memory in MiB.
    pub preloaded: Vec<(FakeKey, u64)>,
}

/// Initial state of one data centre.
#[derive(Debug, Clone)]
pub struct CentreSetup {
    /// Data centre name.
    pub id: DataCentreId,
    /// Number of VMs.
    pub vms: usize,
    /// Endpoints in the data centre.
    pub endpoints: Vec<EndpointSetup>,
    /// Models and adapters that operators want placed.
    pub catalogue: PlacementCatalogue,
}

/// Initial state and settings of a simulator.
#[derive(Debug, Clone)]
pub struct WorldSetup {
    /// Data centres to simulate.
    pub centres: Vec<CentreSetup>,
    /// Planner settings of every VM.
    pub settings: PlanSettings,
    /// Fault probabilities and delay bounds.
    pub rates: FaultRates,
    /// Number of concurrent loads that the store serves at full speed, over all
    /// data centres.
    pub store_at_once: usize,
    /// Duration of one load at full speed, in microseconds.
    pub load_us: u64,
    /// Time that running requests take to drain before an unload, in microseconds.
    pub drain_us: u64,
    /// Interval between reports of an endpoint, in microseconds.
    pub report_us: u64,
    /// Interval between ticks of a VM, in microseconds.
    pub tick_us: u64,
}
