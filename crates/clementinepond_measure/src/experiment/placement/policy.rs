//! Policies that are compared.

use clementinepond_decide::plan::PlanSettings;
use clementinepond_decide::plan::planner::PlannerTuning;
use clementinepond_types::TimeSpan;

/// Policy of placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The first placement stays.
    Static,
    /// Follows the load of the moment; no move has a cost.
    Greedy,
    /// The planner as it is.
    Current,
}

impl PlacementPolicy {
    /// All policies, with their names in the report.
    pub const ALL: [(&'static str, Self); 3] = [
        ("baseline", Self::Static),
        ("greedy", Self::Greedy),
        ("current", Self::Current),
    ];

    /// Returns the settings that make the policy.
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
