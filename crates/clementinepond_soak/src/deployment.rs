//! Deployment of a run: store, endpoints, proxies and entry VMs.

use crate::SoakError;
use crate::check::STREAM_EVENTS;
use crate::fault::SoakFault;
use crate::process::EntryProcess;
use clementinepond_platform_standin::{
    EndpointFaults, EndpointOptions, LinkFault, LinkProxy, RunChecker, StandinEndpoint,
    StandinStore, sample_configuration,
};
use rustix::process::Signal;
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Requests a second that an endpoint with a limit takes from all VMs together.
pub(crate) const STATED_LIMIT: f64 = 2.0;
/// Number of entry VMs in a run.
pub(crate) const VMS: usize = 3;
/// Number of engines in a run; the other endpoints serve no models and follow the
/// engines in the order of endpoints.
const ENGINES: usize = 4;
/// Number of endpoints in a run.
pub(crate) const ENDPOINTS: usize = 6;
/// Software versions of the endpoints, in turn.
pub(crate) const SOFTWARE_VERSIONS: [&str; 2] = ["v1", "v2"];

/// Deployment of a run.
#[derive(Debug)]
pub(crate) struct SoakDeployment {
    store: StandinStore,
    pub(crate) checker: RunChecker,
    endpoints: Vec<StandinEndpoint>,
    /// Proxies between a VM and an endpoint, by VM and endpoint.
    endpoint_links: Vec<Vec<LinkProxy>>,
    /// Proxies between a VM and the store, by VM.
    store_links: Vec<LinkProxy>,
    pub(crate) entries: Vec<EntryProcess>,
    /// Version of the last configuration written.
    version: u64,
}

impl SoakDeployment {
    pub(crate) async fn start(program: &Path, folder: PathBuf) -> Result<Self, SoakError> {
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let store = StandinStore::start(any).await?;
        let checker = RunChecker::default();
        store.put("config", "main", configuration(1));
        let mut deployment = Self {
            store,
            checker,
            endpoints: Vec::new(),
            endpoint_links: Vec::new(),
            store_links: Vec::new(),
            entries: Vec::new(),
            version: 1,
        };
        for index in 0..ENDPOINTS {
            let is_engine = index < ENGINES;
            let options = EndpointOptions {
                id: format!("endpoint-{index}"),
                service: if is_engine { "engines" } else { "files" }.into(),
                data_centre: "dc-a".into(),
                software: SOFTWARE_VERSIONS[index % SOFTWARE_VERSIONS.len()].into(),
                models: if is_engine {
                    vec!["m0".into()]
                } else {
                    Vec::new()
                },
                model_slots: 2,
                slots: 64,
                events: STREAM_EVENTS,
                event_delay: Duration::from_millis(10),
                at_most_once_prefix: "/chat/".into(),
                downtime: Duration::ZERO,
            };
            let endpoint =
                StandinEndpoint::start(any, options, &deployment.store, &deployment.checker)
                    .await?;
            deployment.endpoints.push(endpoint);
        }
        for index in 0..VMS {
            let mut links = Vec::new();
            let mut addresses = Vec::new();
            for endpoint in &deployment.endpoints {
                let link = LinkProxy::start(endpoint.address()).await?;
                addresses.push((endpoint.address(), link.address()));
                links.push(link);
            }
            deployment.endpoint_links.push(links);
            let view = deployment.store.start_view(addresses).await?;
            let link = LinkProxy::start(view).await?;
            let name = format!("vm-{index}");
            let entry =
                EntryProcess::start(name, program.to_owned(), link.address(), folder.clone())?;
            deployment.store_links.push(link);
            deployment.entries.push(entry);
        }
        Ok(deployment)
    }

    /// Starts a fault.
    pub(crate) fn begin(&mut self, fault: SoakFault) {
        match fault {
            SoakFault::StoreLink(vm, fault) => self.store_links[vm].set(Some(fault)),
            SoakFault::EndpointLink(i, fault) => self.set_endpoint_link(i, Some(fault)),
            SoakFault::EndpointsCut(vm, fault) => self.set_endpoint_links(vm, Some(fault)),
            SoakFault::Kill(vm) => self.entries[vm].signal(Signal::KILL),
            SoakFault::Terminate(vm) => self.entries[vm].signal(Signal::TERM),
            SoakFault::Pause(vm) => self.entries[vm].signal(Signal::STOP),
            SoakFault::StoreDown => self.store.set_down(true),
            SoakFault::StoreLosesAnswers => self.store.lose_answers(2),
            SoakFault::StoreForgets => self.store.compact(),
            SoakFault::EndpointBreaks(i) => self.inject(i, |faults| faults.break_after = Some(3)),
            SoakFault::EndpointLoses(i) => self.inject(i, |faults| faults.lose_answers = true),
            SoakFault::EndpointCrosses(i) => self.inject(i, |faults| faults.cross_answers = true),
            SoakFault::EndpointSilent(i) => self.inject(i, |faults| faults.is_silent = true),
            SoakFault::EndpointLimits(i) => {
                self.inject(i, |faults| faults.stated_limit = Some(STATED_LIMIT));
            }
            SoakFault::EndpointBrittle(i) => self.inject(i, |faults| faults.brittle = Some(4)),
            SoakFault::Configurations(count) => {
                for _ in 0..count {
                    self.version += 3;
                    let spec = configuration(self.version);
                    self.store.put("config", "main", spec);
                }
            }
        }
    }

    /// Ends a fault and all overlapping faults of the same target.
    pub(crate) fn end(&mut self, fault: SoakFault) -> Result<(), SoakError> {
        match fault {
            SoakFault::StoreLink(vm, _) => self.store_links[vm].set(None),
            SoakFault::EndpointLink(i, _) => self.set_endpoint_link(i, None),
            SoakFault::EndpointsCut(vm, _) => self.set_endpoint_links(vm, None),
            SoakFault::Kill(vm) | SoakFault::Terminate(vm) => {
                self.entries[vm].signal(Signal::CONT);
                if self.entries[vm].has_ended() {
                    self.entries[vm].launch()?;
                }
            }
            SoakFault::Pause(vm) => self.entries[vm].signal(Signal::CONT),
            SoakFault::StoreDown => self.store.set_down(false),
            SoakFault::StoreLosesAnswers => self.store.lose_answers(0),
            SoakFault::EndpointBreaks(i)
            | SoakFault::EndpointLoses(i)
            | SoakFault::EndpointCrosses(i)
            | SoakFault::EndpointLimits(i)
            | SoakFault::EndpointBrittle(i)
            | SoakFault::EndpointSilent(i) => {
                self.endpoints[i].set_faults(EndpointFaults::default());
            }
            SoakFault::StoreForgets | SoakFault::Configurations(_) => {}
        }
        Ok(())
    }

    /// Restarts VMs that ended and resumes paused ones.
    pub(crate) fn restart_ended(&mut self) -> Result<(), SoakError> {
        for entry in &mut self.entries {
            entry.signal(Signal::CONT);
            if entry.has_ended() {
                entry.launch()?;
            }
        }
        Ok(())
    }

    fn set_endpoint_link(&self, endpoint: usize, fault: Option<LinkFault>) {
        for links in &self.endpoint_links {
            links[endpoint].set(fault);
        }
    }

    fn set_endpoint_links(&self, vm: usize, fault: Option<LinkFault>) {
        for link in &self.endpoint_links[vm] {
            link.set(fault);
        }
    }

    fn inject(&self, endpoint: usize, set: impl FnOnce(&mut EndpointFaults)) {
        let mut faults = EndpointFaults::default();
        set(&mut faults);
        self.endpoints[endpoint].set_faults(faults);
    }
}

/// Timeout of the routes, in milliseconds; short, so that many calls end within a run.
const ROUTE_TIMEOUT_MS: u64 = 2_000;

fn configuration(version: u64) -> Value {
    let mut sample = sample_configuration(version, ROUTE_TIMEOUT_MS);
    // Disables the rate limit, which the soak does not test.
    sample["tenants"][0]["rate_per_s"] = 0.into();
    sample
}
