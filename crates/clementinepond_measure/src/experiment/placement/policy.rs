//! Placement policies compared by the `placement` experiment.

use clementinepond_decide::plan::PlanSettings;
use clementinepond_decide::plan::planner::PlannerTuning;
use clementinepond_types::TimeSpan;

/// Placement policy under comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// Keeps the initial placement; no VM runs a planner.
    Static,
    /// Follows the current load; moves carry no cost.
    Greedy,
    /// Uses the planner with its default settings.
    Current,
}

impl PlacementPolicy {
    /// Every policy with its name in the report.
    pub const ALL: [(&'static str, Self); 3] = [
        ("baseline", Self::Static),
        ("greedy", Self::Greedy),
        ("current", Self::Current),
    ];

    /// Returns the planner settings of the policy.
    #[must_use]
    pub fn settings(self) -> PlanSettings {
        let mut settings = PlanSettings::default();
        if self == Self::Greedy {
            settings.tuning = PlannerTuning {
                headroom_percent: 100,
                smallest_gain_percent: 0,
                unload_cost_percent: 0,
                gain_over_loss_percent: 100,
                level_time: TimeSpan::from_millis(1),
                trend_time: TimeSpan::from_secs(3_600),
                hold_time: TimeSpan::from_millis(1),
                look_ahead: TimeSpan::ZERO,
                removal_penalty_percent: 0,
                ..settings.tuning
            };
        }
        settings
    }
}
