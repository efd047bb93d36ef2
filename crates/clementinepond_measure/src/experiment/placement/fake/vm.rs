//! Simulated VM with its own clock.

use clementinepond_decide::plan::PlanState;
use clementinepond_types::LocalTime;

/// VM whose clock has a fixed offset and drift from the simulator's time.
pub(super) struct FakeVm {
    pub(super) centre: usize,
    pub(super) state: PlanState,
    pub(super) vm_incarnation: u32,
    pub(super) is_alive: bool,
    pub(super) paused_until: u64,
    offset_us: u64,
    drift_ppm: i64,
}

impl FakeVm {
    pub(super) fn new(centre: usize, state: PlanState, offset_us: u64, drift_ppm: i64) -> Self {
        Self {
            centre,
            state,
            vm_incarnation: 0,
            is_alive: true,
            paused_until: 0,
            offset_us,
            drift_ppm,
        }
    }

    /// Returns the time on the VM's clock at a simulator time in microseconds.
    pub(super) fn local(&self, true_us: u64) -> LocalTime {
        let million = 1_000_000_i128;
        let scaled = i128::from(true_us) * (million + i128::from(self.drift_ppm)) / million;
        let micros = u64::try_from(scaled).unwrap_or(0) + self.offset_us;
        LocalTime::from_micros(micros)
    }
}
