//! Weights of the planner.

use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// Weights of the planner.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct PlannerTuning {
    /// Share of the forecast to provide for, in hundredths.
    pub headroom_percent: u32,
    /// Capacity lost for each further busy model on an endpoint, in hundredths.
    pub interference_percent: u32,
    /// Smallest gain of one load, in hundredths of what a copy can carry.
    pub smallest_gain_percent: u32,
    /// Further gain for each unload, in hundredths of what a copy can carry.
    pub unload_cost_percent: u32,
    /// Gain over the loss that a replacement must bring, in hundredths.
    pub gain_over_loss_percent: u32,
    /// Part of a copy's past load that counts as lost with it, in hundredths.
    #[serde(rename = "regret_percent")]
    pub removal_penalty_percent: u32,
    /// Most loads considered in one plan.
    #[serde(rename = "picks")]
    pub max_demand_placements: u32,
    /// Loads for which room may be made ahead of the weight store.
    #[serde(rename = "pipeline")]
    pub max_waiting_loads: u32,
    /// Copies of each model that are kept where room is free.
    pub free_copies: u32,
    /// Time constant of the level of demand.
    pub level_time: TimeSpan,
    /// Time constant of the trend of demand.
    pub trend_time: TimeSpan,
    /// Time for which a past level still counts when copies are removed.
    pub hold_time: TimeSpan,
    /// How far the forecast looks ahead.
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
