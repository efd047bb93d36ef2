//! One VM of a simulated fleet and the requests that await admission.

use super::policy::VmPolicy;
use super::stream::RequestPlan;
use clementinepond_types::{LocalTime, VmId};

/// One VM of the fleet; times in microseconds.
#[derive(Debug)]
pub(super) struct FleetVm {
    pub(super) name: VmId,
    pub(super) centre: usize,
    pub(super) policy: VmPolicy,
    pub(super) incarnation: u32,
    pub(super) paused_until: u64,
    pub(super) isolated_until: u64,
    pub(super) is_stopped: bool,
    pub(super) is_leaving: bool,
    pub(super) clock_offset: u64,
    pub(super) clock_ppm: i64,
}

impl FleetVm {
    pub(super) fn local_time(&self, now: u64) -> LocalTime {
        let drift = i128::from(now) * i128::from(self.clock_ppm) / 1_000_000;
        let local = i128::from(now + self.clock_offset) + drift;
        LocalTime::from_micros(u64::try_from(local).unwrap_or(0))
    }

    pub(super) fn accepts_requests(&self) -> bool {
        !self.is_stopped && !self.is_leaving
    }
}

/// Request, or further part of a stream, that awaits admission or dispatch.
#[derive(Debug)]
pub(super) struct PendingAdmission {
    pub(super) request: RequestPlan,
    pub(super) vm: usize,
    pub(super) requested_at: u64,
    pub(super) stream: Option<u64>,
    pub(super) prompt: u64,
    pub(super) output: u64,
    pub(super) is_admitted: bool,
    pub(super) is_ideally_admitted: bool,
}
