//! The deployment as a whole.

use super::{FleetError, FleetPlan, RunningVm};
use clementinepond_settings::fleet::{
    DataCentreEntry, EndpointEntry, EndpointKind, FleetConfiguration,
};
use clementinepond_standin::engine::EngineServer;
use clementinepond_standin::platform::PlatformServer;
use clementinepond_standin::service::ServiceServer;
use clementinepond_types::{DataCentreId, EndpointId, VmId};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Parts of every limit that all data centres hold together.
const LIMIT_PARTS: u32 = 1024;
/// Accelerators of one engine.
const ACCELERATORS: u32 = 8;
/// Longest wait until every VM is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two looks at the VMs.
const READY_INTERVAL: Duration = Duration::from_millis(50);

/// A deployment that runs in this process.
#[derive(Debug)]
pub struct RunningFleet {
    /// The platform.
    pub platform: PlatformServer,
    /// Model engines.
    pub engines: Vec<EngineServer>,
    /// Plain services.
    pub services: Vec<ServiceServer>,
    /// VMs.
    pub vms: Vec<RunningVm>,
    plan: FleetPlan,
    standins: CancellationToken,
}

impl RunningFleet {
    /// Starts the stand-ins, stores the configuration and starts the VMs.
    ///
    /// # Errors
    ///
    /// Fails when anything does not start or no VM becomes ready.
    pub async fn start(plan: FleetPlan) -> Result<Self, FleetError> {
        let standins = CancellationToken::new();
        let platform = PlatformServer::start(plan.platform.clone(), standins.clone()).await?;
        let mut configuration = plan.configuration.clone();
        add_data_centres(&mut configuration, &plan);
        let engines = start_engines(&plan, &mut configuration, &standins).await?;
        let services = start_services(&plan, &mut configuration, &standins).await?;
        let value = serde_json::to_value(&configuration)?;
        FleetConfiguration::read(value.clone())?;
        platform.put_object("configuration", "fleet", value);
        let mut fleet = Self {
            platform,
            engines,
            services,
            vms: Vec::new(),
            plan,
            standins,
        };
        for (data_centre, count) in fleet.plan.vms.clone() {
            for index in 1..=count {
                fleet.start_vm(&data_centre, index).await?;
            }
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Starts one more VM; `index` makes its name.
    ///
    /// # Errors
    ///
    /// Fails when the VM does not start.
    pub async fn start_vm(
        &mut self,
        data_centre: &DataCentreId,
        index: usize,
    ) -> Result<(), FleetError> {
        let name: Box<str> = format!("{data_centre}-vm-{index}").into();
        let vm = VmId::try_from(name).map_err(|error| FleetError::Call {
            problem: error.to_string().into(),
        })?;
        let address = self.platform.address();
        let vm = RunningVm::start(&vm, data_centre, address, self.plan.settings.as_ref()).await?;
        self.vms.push(vm);
        Ok(())
    }

    /// Waits until callers may be sent to every VM.
    ///
    /// # Errors
    ///
    /// Fails when a VM is not ready in time.
    pub async fn wait_ready(&self) -> Result<(), FleetError> {
        let wait = async {
            for vm in &self.vms {
                while !vm.is_ready().await {
                    tokio::time::sleep(READY_INTERVAL).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, wait)
            .await
            .map_err(|_| FleetError::NotReady {
                what: "a VM".into(),
            })
    }

    /// Stops the VMs gracefully, then the stand-ins.
    pub async fn stop(self) {
        for vm in self.vms {
            vm.stop().await;
        }
        self.standins.cancel();
    }
}

impl RunningVm {
    /// Returns whether the balancer may send callers to the VM.
    pub async fn is_ready(&self) -> bool {
        let answer = self.administer(hyper::Method::GET, "/readyz", None).await;
        answer.is_ok_and(|answer| answer.status.is_success())
    }
}

async fn start_engines(
    plan: &FleetPlan,
    configuration: &mut FleetConfiguration,
    standins: &CancellationToken,
) -> Result<Vec<EngineServer>, FleetError> {
    let mut engines = Vec::new();
    for (data_centre, options) in &plan.engines {
        let engine = EngineServer::start(options.clone(), standins.clone()).await?;
        let entry = EndpointEntry {
            data_centre: data_centre.clone(),
            address: engine.address(),
            kind: EndpointKind::Engine {
                accelerators: ACCELERATORS,
                memory_mib: options.memory_mib,
                checks_fencing: options.checks_fencing,
            },
            leaving: false,
        };
        add_endpoint(configuration, &options.endpoint, entry);
        engines.push(engine);
    }
    Ok(engines)
}

async fn start_services(
    plan: &FleetPlan,
    configuration: &mut FleetConfiguration,
    standins: &CancellationToken,
) -> Result<Vec<ServiceServer>, FleetError> {
    let mut services = Vec::new();
    for (data_centre, route, options) in &plan.services {
        let service = ServiceServer::start(options.clone(), standins.clone()).await?;
        let entry = EndpointEntry {
            data_centre: data_centre.clone(),
            address: service.address(),
            kind: EndpointKind::Service {
                route: route.clone(),
            },
            leaving: false,
        };
        configuration.services.entry(route.clone()).or_default();
        add_endpoint(configuration, &options.endpoint, entry);
        services.push(service);
    }
    Ok(services)
}

fn add_data_centres(configuration: &mut FleetConfiguration, plan: &FleetPlan) {
    let count = u32::try_from(plan.vms.len()).unwrap_or(u32::MAX).max(1);
    for data_centre in plan.vms.keys() {
        configuration
            .data_centres
            .entry(data_centre.clone())
            .or_insert(DataCentreEntry {
                limit_parts: LIMIT_PARTS / count,
            });
    }
}

fn add_endpoint(
    configuration: &mut FleetConfiguration,
    endpoint: &EndpointId,
    entry: EndpointEntry,
) {
    configuration.endpoints.insert(endpoint.clone(), entry);
}
