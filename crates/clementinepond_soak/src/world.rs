//! The deployment of one run.

use crate::SoakError;
use crate::check::STREAM_EVENTS;
use crate::fault::SoakFault;
use crate::process::EntryProcess;
use crate::proxy::LinkProxy;
use clementinepond_platform_standin::{
    EndpointFaults, EndpointOptions, HostedEndpoint, HostedStore, RunJudge, sample_configuration,
};
use rustix::process::Signal;
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Entry VMs of one run.
pub(crate) const VMS: usize = 3;
/// Engines of one run; two plain endpoints come after them.
const ENGINES: usize = 2;
/// Endpoints of one run.
pub(crate) const ENDPOINTS: usize = 4;

/// The deployment of one run.
#[derive(Debug)]
pub(crate) struct SoakWorld {
    store: HostedStore,
    pub(crate) judge: RunJudge,
    endpoints: Vec<HostedEndpoint>,
    endpoint_links: Vec<LinkProxy>,
    store_links: Vec<LinkProxy>,
    pub(crate) entries: Vec<EntryProcess>,
    version: u64,
}

impl SoakWorld {
    pub(crate) async fn start(program: &Path, folder: PathBuf) -> Result<Self, SoakError> {
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let store = HostedStore::start(any).await?;
        let judge = RunJudge::default();
        store.put("config", "main", configuration(1));
        let mut world = Self {
            store,
            judge,
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
                models: if is_engine {
                    vec!["m0".into()]
                } else {
                    Vec::new()
                },
                model_slots: 2,
                events: STREAM_EVENTS,
                pause: Duration::from_millis(10),
                once_prefix: "/chat/".into(),
            };
            let endpoint = HostedEndpoint::start(any, options, &world.store, &world.judge).await?;
            let link = LinkProxy::start(endpoint.address()).await?;
            endpoint.list_as(link.address);
            world.endpoints.push(endpoint);
            world.endpoint_links.push(link);
        }
        for index in 0..VMS {
            let link = LinkProxy::start(world.store.address()).await?;
            let name = format!("vm-{index}");
            let entry =
                EntryProcess::start(name, program.to_owned(), link.address, folder.clone())?;
            world.store_links.push(link);
            world.entries.push(entry);
        }
        Ok(world)
    }

    /// Begins a fault.
    pub(crate) fn begin(&mut self, fault: SoakFault) {
        match fault {
            SoakFault::StoreLink(vm, fault) => self.store_links[vm].set(Some(fault)),
            SoakFault::EndpointLink(one, fault) => self.endpoint_links[one].set(Some(fault)),
            SoakFault::Kill(vm) => self.entries[vm].signal(Signal::KILL),
            SoakFault::Terminate(vm) => self.entries[vm].signal(Signal::TERM),
            SoakFault::Pause(vm) => self.entries[vm].signal(Signal::STOP),
            SoakFault::StoreDown => self.store.set_down(true),
            SoakFault::StoreLosesAnswers => self.store.lose_answers(2),
            SoakFault::StoreForgets => self.store.compact(),
            SoakFault::EndpointBreaks(one) => self.harm(one, |faults| faults.break_after = Some(3)),
            SoakFault::EndpointLoses(one) => self.harm(one, |faults| faults.lose_answers = true),
            SoakFault::EndpointCrosses(one) => self.harm(one, |faults| faults.cross_answers = true),
            SoakFault::EndpointSilent(one) => self.harm(one, |faults| faults.is_silent = true),
            SoakFault::Configurations(count) => {
                for _ in 0..count {
                    self.version += 3;
                    let spec = configuration(self.version);
                    self.store.put("config", "main", spec);
                }
            }
        }
    }

    /// Ends a fault; what overlaps with it at the same place ends too.
    pub(crate) fn end(&mut self, fault: SoakFault) -> Result<(), SoakError> {
        match fault {
            SoakFault::StoreLink(vm, _) => self.store_links[vm].set(None),
            SoakFault::EndpointLink(one, _) => self.endpoint_links[one].set(None),
            SoakFault::Kill(vm) | SoakFault::Terminate(vm) => {
                self.entries[vm].signal(Signal::CONT);
                if self.entries[vm].has_ended() {
                    self.entries[vm].launch()?;
                }
            }
            SoakFault::Pause(vm) => self.entries[vm].signal(Signal::CONT),
            SoakFault::StoreDown => self.store.set_down(false),
            SoakFault::StoreLosesAnswers => self.store.lose_answers(0),
            SoakFault::EndpointBreaks(one)
            | SoakFault::EndpointLoses(one)
            | SoakFault::EndpointCrosses(one)
            | SoakFault::EndpointSilent(one) => {
                self.endpoints[one].set_faults(EndpointFaults::default());
            }
            SoakFault::StoreForgets | SoakFault::Configurations(_) => {}
        }
        Ok(())
    }

    /// Starts VMs that ended, and lets paused ones go on.
    pub(crate) fn revive(&mut self) -> Result<(), SoakError> {
        for entry in &mut self.entries {
            entry.signal(Signal::CONT);
            if entry.has_ended() {
                entry.launch()?;
            }
        }
        Ok(())
    }

    fn harm(&self, one: usize, set: impl FnOnce(&mut EndpointFaults)) {
        let mut faults = EndpointFaults::default();
        set(&mut faults);
        self.endpoints[one].set_faults(faults);
    }
}

/// Time that a route's callers are kept waiting, in milliseconds; short, so that
/// many calls end within a run.
const ROUTE_TIMEOUT_MS: u64 = 2_000;

fn configuration(version: u64) -> Value {
    let mut sample = sample_configuration(version, ROUTE_TIMEOUT_MS);
    // Quotas are not what the soak is about.
    sample["tenants"][0]["rate_per_s"] = 0.into();
    sample
}
