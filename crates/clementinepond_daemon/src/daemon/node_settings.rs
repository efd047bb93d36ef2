//! Conversion of the VM settings to the settings of the reducers.

use clementinepond_decide::claim::ClaimSettings;
use clementinepond_decide::configuration::{ConfigurationSettings, CutOffPolicy};
use clementinepond_decide::crash::CrashSettings;
use clementinepond_decide::limit::LimitSettings;
use clementinepond_decide::node::NodeSettings;
use clementinepond_decide::plan::PlanSettings;
use clementinepond_decide::request::RequestPolicy;
use clementinepond_decide::roster::RosterSettings;
use clementinepond_decide::route::RouteSettings;
use clementinepond_settings::vm::VmSettings;
use std::net::SocketAddr;

/// Returns the settings of the reducers, with a new random incarnation.
pub(super) fn node_settings(settings: &VmSettings, address: SocketAddr) -> NodeSettings {
    NodeSettings {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        address: address.to_string().into(),
        incarnation: rand::random(),
        request: RequestPolicy {
            attempt_limit: settings.request.attempt_limit,
            retry_percent: settings.request.retry_percent,
        },
        route: RouteSettings::default(),
        roster: roster_settings(settings),
        configuration: configuration_settings(settings),
        limit: limit_settings(settings),
        claim: ClaimSettings::default(),
        crash: CrashSettings::default(),
        plan: PlanSettings::default(),
    }
}

fn roster_settings(settings: &VmSettings) -> RosterSettings {
    let membership = &settings.membership;
    let seeds = settings.peer.seeds.iter();
    RosterSettings {
        heartbeat_period: membership.heartbeat_period,
        suspicion: membership.suspicion,
        validity: membership.validity,
        settle: membership.settle,
        list_lag: membership.list_lag,
        list_period: settings.platform.list_interval,
        loan_span: membership.loan_span,
        balance_period: membership.balance_period,
        answer_limit: settings.platform.watch_wait + settings.platform.timeout,
        seeds: seeds.map(|seed| seed.address.to_string().into()).collect(),
        ..RosterSettings::default()
    }
}

fn configuration_settings(settings: &VmSettings) -> ConfigurationSettings {
    let refuse_after = settings.membership.refuse_keys_after;
    ConfigurationSettings {
        answer_limit: settings.platform.watch_wait + settings.platform.timeout,
        cut_off: refuse_after.map_or(CutOffPolicy::KeepServing, CutOffPolicy::RefuseAfter),
        ..ConfigurationSettings::default()
    }
}

fn limit_settings(settings: &VmSettings) -> LimitSettings {
    LimitSettings {
        queue_wait: settings.request.admission_wait,
        // The margin allows for clock drift between VMs.
        grant_limit: settings.membership.loan_span.fraction(99, 100),
        lot_span: settings.limit.lot_span,
        loan_interval: settings.limit.loan_interval,
        ..LimitSettings::default()
    }
}
