//! Status of the node for the administration API.

use super::task::NodeTask;
use clementinepond_decide::plan::PlanStatus;
use clementinepond_decide::route::EndpointState;
use clementinepond_types::{EndpointId, VmId};
use serde::Serialize;

/// Status of the node, as returned by the administration API.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct NodeStatus {
    pub(crate) running_requests: usize,
    pub(crate) roster: RosterStatus,
    pub(crate) accounts: Vec<AccountStatus>,
    pub(crate) endpoints: Vec<EndpointStatus>,
    pub(crate) plan_phase: &'static str,
    pub(crate) plan: Option<Box<PlanStatus>>,
}

/// Status of the roster, as returned by the administration API.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct RosterStatus {
    pub(crate) stage: Box<str>,
    pub(crate) is_relay: bool,
    pub(crate) epoch: u64,
    pub(crate) members: Vec<Box<str>>,
    pub(crate) live: Vec<Box<str>>,
    pub(crate) parts: u32,
    pub(crate) share: u32,
}

/// Status of one client account on this VM, as returned by the administration API.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct AccountStatus {
    pub(crate) account: Box<str>,
    pub(crate) home: Box<str>,
    pub(crate) level: Box<str>,
    pub(crate) rate: Box<str>,
    pub(crate) capacity: Box<str>,
    pub(crate) held: Box<str>,
    pub(crate) waiting: usize,
}

/// Status of one endpoint, as returned by the administration API.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct EndpointStatus {
    pub(crate) endpoint: Box<str>,
    pub(crate) data_centre: Box<str>,
    pub(crate) leaving: bool,
    pub(crate) running: u32,
    pub(crate) queued: u32,
    pub(crate) in_flight: u32,
    pub(crate) models: Vec<Box<str>>,
}

impl EndpointStatus {
    fn new(endpoint: &EndpointId, state: &EndpointState) -> Self {
        let report = state.report.as_ref();
        Self {
            endpoint: endpoint.as_str().into(),
            data_centre: state.profile.data_centre.as_str().into(),
            leaving: state.is_leaving(),
            running: report.map_or(0, |report| report.running),
            queued: report.map_or(0, |report| report.queued),
            in_flight: state.in_flight,
            models: report.map_or_else(Vec::new, |report| {
                report.models.keys().map(|id| id.as_str().into()).collect()
            }),
        }
    }
}

impl NodeTask {
    pub(super) fn status(&mut self) -> NodeStatus {
        let accounts = self.account_statuses();
        let endpoints = self.state.routes.endpoints.iter();
        NodeStatus {
            running_requests: self.state.requests.len(),
            roster: self.roster_status(),
            accounts,
            endpoints: endpoints
                .map(|(id, state)| EndpointStatus::new(id, state))
                .collect(),
            plan_phase: self.state.plan.phase().name(),
            plan: self.plan.clone(),
        }
    }

    fn roster_status(&self) -> RosterStatus {
        let roster = &self.state.roster;
        let table = roster.own_table();
        let usable = roster.announced();
        let now = self.io.clock.now();
        let name = |vm: &VmId| -> Box<str> { vm.as_str().into() };
        RosterStatus {
            stage: format!("{:?}", roster.stage()).into(),
            is_relay: roster.is_relay(),
            epoch: table.map_or(0, |table| table.value.epoch.get()),
            members: table.map_or_else(Vec::new, |table| {
                table.value.members.keys().map(name).collect()
            }),
            live: roster.live_members(now).iter().map(name).collect(),
            parts: usable.map_or(0, |usable| usable.parts.get()),
            share: usable.map_or(0, |usable| usable.share.get()),
        }
    }

    fn account_statuses(&mut self) -> Vec<AccountStatus> {
        let snapshot = self.io.active_configuration.snapshot();
        let now = self.io.clock.now();
        let accounts = snapshot.configuration.accounts.keys();
        accounts
            .filter_map(|account| {
                let status = self.state.limit.account_status(account, now)?;
                let owner = self.state.limit.owner(account);
                Some(AccountStatus {
                    account: account.as_str().into(),
                    home: owner.map_or_else(Box::default, |vm| vm.as_str().into()),
                    level: status.level.to_string().into(),
                    rate: status.rate.to_string().into(),
                    capacity: status.capacity.to_string().into(),
                    held: status.held.to_string().into(),
                    waiting: status.waiting,
                })
            })
            .collect()
    }
}
