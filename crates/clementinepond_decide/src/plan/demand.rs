//! Forecast of one model's demand.
//!
//! Level and trend are smoothed exponentially. The forecast looks ahead by more
//! time than a load takes until the copy serves. The recent peak follows the level
//! up at once and decays towards it more slowly.

use super::ComputeLoad;
use super::planner::PlannerTuning;
use clementinepond_types::LocalTime;

/// Forecast of one model's demand, in thousandths of an accelerator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DemandForecast {
    level: f64,
    trend_per_second: f64,
    recent_peak: f64,
    observed_at: LocalTime,
}

impl DemandForecast {
    /// Creates a forecast from the first observation, without a trend.
    #[must_use]
    pub fn new(load: ComputeLoad, now: LocalTime) -> Self {
        let level = to_float(load);
        Self {
            level,
            trend_per_second: 0.0,
            recent_peak: level,
            observed_at: now,
        }
    }

    /// Updates the forecast with an observation; ignored unless time has passed.
    pub fn observe(&mut self, load: ComputeLoad, now: LocalTime, tuning: &PlannerTuning) {
        let elapsed = seconds(now.since(self.observed_at).micros());
        if elapsed <= 0.0 {
            return;
        }
        let observed = to_float(load);
        let weight = smoothing(elapsed, seconds(tuning.level_time.micros()));
        let earlier = self.level;
        self.level += weight * (observed - self.level);
        let slope = (self.level - earlier) / elapsed;
        let weight = smoothing(elapsed, seconds(tuning.trend_time.micros()));
        self.trend_per_second += weight * (slope - self.trend_per_second);
        let decay = smoothing(elapsed, seconds(tuning.hold_time.micros()));
        self.recent_peak = self
            .level
            .max(self.recent_peak + decay * (self.level - self.recent_peak));
        self.observed_at = now;
    }

    /// Returns the forecast load, in thousandths of an accelerator.
    #[must_use]
    pub fn expected(&self, tuning: &PlannerTuning) -> f64 {
        let ahead = self.level + self.trend_per_second * seconds(tuning.look_ahead.micros());
        ahead.max(0.0)
    }

    /// Returns the decaying recent peak of the smoothed load, in thousandths of an
    /// accelerator.
    #[must_use]
    pub fn recent_peak(&self) -> f64 {
        self.recent_peak
    }
}

#[expect(clippy::cast_precision_loss, reason = "loads are far below 2^52")]
fn to_float(load: ComputeLoad) -> f64 {
    load.milli() as f64
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 us")]
fn seconds(micros: u64) -> f64 {
    micros as f64 / 1e6
}

/// Returns the weight of an observation in an exponential average.
fn smoothing(elapsed: f64, time: f64) -> f64 {
    1.0 - (-elapsed / time.max(0.001)).exp()
}
