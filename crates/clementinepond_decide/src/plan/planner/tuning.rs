//! Weights and limits of the planner.

use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// Weights and limits of the planner.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct PlannerTuning {
    /// Load to provide for, in hundredths of the forecast; more than 100 leaves
    /// spare capacity.
    pub headroom_percent: u32,
    /// Capacity that an endpoint loses for each busy model after the first, in
    /// hundredths.
    pub interference_percent: u32,
    /// Smallest gain that justifies a load, in hundredths of what a copy can carry.
    pub smallest_gain_percent: u32,
    /// Additional gain required for each unload, in hundredths of what a copy can
    /// carry.
    pub unload_cost_percent: u32,
    /// Gain required of a replacement, in hundredths of the loss.
    pub gain_over_loss_percent: u32,
    /// Part of a copy's share of the recent peak load that counts as lost when it
    /// is unloaded, in hundredths.
    #[serde(rename = "regret_percent")]
    pub removal_penalty_percent: u32,
    /// Most copies that one plan adds for demand.
    #[serde(rename = "picks")]
    pub max_demand_placements: u32,
    /// Number of waiting loads at which no more copies are added for demand while
    /// the weight store allows no load.
    #[serde(rename = "pipeline")]
    pub max_waiting_loads: u32,
    /// Number of copies of each model up to which free memory is used.
    pub free_copies: u32,
    /// Time constant by which the level of demand is smoothed.
    pub level_time: TimeSpan,
    /// Time constant by which the trend of demand is smoothed.
    pub trend_time: TimeSpan,
    /// Time constant by which the recent peak of demand decays.
    pub hold_time: TimeSpan,
    /// Time by which the forecast looks ahead.
    pub look_ahead: TimeSpan,
}

impl Default for PlannerTuning {
    fn default() -> Self {
        Self {
            headroom_percent: 110,
            interference_percent: 3,
            smallest_gain_percent: 3,
            unload_cost_percent: 4,
            gain_over_loss_percent: 150,
            removal_penalty_percent: 5,
            max_demand_placements: 8,
            max_waiting_loads: 3,
            free_copies: 1,
            level_time: TimeSpan::from_secs(15),
            trend_time: TimeSpan::from_secs(180),
            hold_time: TimeSpan::from_secs(1_800),
            look_ahead: TimeSpan::from_secs(120),
        }
    }
}
