//! Conversion of a configuration to the values that the reducers use.

use clementinepond_decide::limit::{AccountLimit, AccountTable};
use clementinepond_decide::node::FleetView;
use clementinepond_decide::plan::{
    AdapterSpec, ComputeLoad, EndpointRole as EngineRole, EndpointSpec, ExceptionRule, ModelSpec,
    PlacementCatalogue, PlacementException, StoreShare,
};
use clementinepond_decide::route::{EndpointProfile, EndpointRole};
use clementinepond_settings::fleet::{
    EndpointEntry, EndpointKind, ExceptionChange, FleetConfiguration, FleetException,
};
use clementinepond_types::{DataCentreId, EndpointId, ObjectVersion, PartCount, PriorityClass};
use std::collections::BTreeMap;

/// Factor from loads per 1,000 s, the unit of the settings, to loads per hour (3,600 s).
const PER_1000_S_TO_PER_HOUR: f64 = 3.6;

/// Returns the values that the reducers use from a configuration.
pub(crate) fn fleet_view(
    version: ObjectVersion,
    configuration: &FleetConfiguration,
    data_centre: &DataCentreId,
) -> FleetView {
    let own = configuration.data_centres.get(data_centre);
    FleetView {
        version,
        endpoints: profiles(configuration),
        engines: engines(configuration, data_centre),
        accounts: accounts(version, configuration),
        catalogue: catalogue(configuration),
        capacities: configuration
            .models
            .iter()
            .map(|(id, model)| (id.clone(), model.tokens_per_second))
            .collect(),
        share: PartCount::new(own.map_or(0, |entry| entry.limit_parts)),
        data_centres: configuration.data_centres.keys().cloned().collect(),
    }
}

fn accounts(version: ObjectVersion, configuration: &FleetConfiguration) -> AccountTable {
    let accounts = configuration.accounts.iter();
    AccountTable {
        version,
        limits: accounts
            .filter(|(_, account)| account.enabled)
            .map(|(id, account)| {
                let limit = AccountLimit {
                    rate: account.rate,
                    burst: account.burst,
                };
                (id.clone(), limit)
            })
            .collect(),
    }
}

fn profiles(configuration: &FleetConfiguration) -> BTreeMap<EndpointId, EndpointProfile> {
    let endpoints = configuration.endpoints.iter();
    endpoints
        .map(|(id, entry)| (id.clone(), profile(entry)))
        .collect()
}

fn profile(entry: &EndpointEntry) -> EndpointProfile {
    EndpointProfile {
        data_centre: entry.data_centre.clone(),
        role: match &entry.kind {
            EndpointKind::Engine { .. } => EndpointRole::Engine,
            EndpointKind::Service { route } => EndpointRole::Service(route.clone()),
        },
        leaving: entry.leaving,
    }
}

fn engines(
    configuration: &FleetConfiguration,
    data_centre: &DataCentreId,
) -> BTreeMap<EndpointId, EndpointSpec> {
    let endpoints = configuration.endpoints.iter();
    endpoints
        .filter(|(_, entry)| entry.data_centre == *data_centre && !entry.leaving)
        .filter_map(|(id, entry)| match &entry.kind {
            EndpointKind::Engine {
                accelerators,
                checks_fencing,
                ..
            } => Some((
                id.clone(),
                EndpointSpec {
                    accelerators: *accelerators,
                    checks_fencing: *checks_fencing,
                    role: EngineRole::Both,
                },
            )),
            EndpointKind::Service { .. } => None,
        })
        .collect()
}

fn catalogue(configuration: &FleetConfiguration) -> PlacementCatalogue {
    let models = configuration.models.iter();
    let adapters = configuration.adapters.iter();
    PlacementCatalogue {
        models: models
            .map(|(id, model)| {
                let spec = ModelSpec {
                    version: model.version.clone().into(),
                    memory_mib: model.memory_mib,
                    priority: PriorityClass::default(),
                    replica_limit: ComputeLoad::accelerators(1),
                    resident: model.resident,
                };
                (id.clone(), spec)
            })
            .collect(),
        adapters: adapters
            .map(|(id, adapter)| {
                let spec = AdapterSpec {
                    model: adapter.model.clone(),
                    memory_mib: adapter.memory_mib,
                };
                (id.clone(), spec)
            })
            .collect(),
        exceptions: configuration
            .exceptions
            .iter()
            .filter_map(exception)
            .collect(),
        share: store_share(configuration),
        data_centres: configuration.data_centres.keys().cloned().collect(),
    }
}

/// Divides the limits of the weight store evenly among the data centres.
///
/// The limits on concurrent loads and transfers are rounded down to at least 1; the hourly limit
/// has no such minimum.
fn store_share(configuration: &FleetConfiguration) -> StoreShare {
    let count = u32::try_from(configuration.data_centres.len()).unwrap_or(u32::MAX);
    let count = count.max(1);
    let defaults = &configuration.defaults;
    let hourly = f64::from(defaults.store_loads_per_1000s) * PER_1000_S_TO_PER_HOUR;
    StoreShare {
        loads_an_hour: hourly as u32 / count,
        loads_at_once: (defaults.store_loads_at_once / count).max(1),
        adapters_at_once: (defaults.adapters_in_transit / count).max(1),
    }
}

fn exception(exception: &FleetException) -> Option<PlacementException> {
    let (model, rule) = match &exception.change {
        ExceptionChange::AnswerTokens { .. } => return None,
        ExceptionChange::ReplicaMinimum { model, replicas } => {
            (model, ExceptionRule::MinReplicas { count: *replicas })
        }
        ExceptionChange::Pin { model, endpoint } => (
            model,
            ExceptionRule::Pin {
                endpoint: endpoint.clone(),
            },
        ),
        ExceptionChange::Forbid { model, endpoint } => (
            model,
            ExceptionRule::Forbid {
                endpoint: endpoint.clone(),
            },
        ),
    };
    Some(PlacementException {
        model: model.clone(),
        rule,
        reason: exception.reason.clone(),
    })
}
