//! VMs whose links to the endpoints can be cut one by one.

use crate::support::{Deployment, EntryProcess};
use clementinepond_platform_standin::{LinkFault, LinkProxy};
use std::time::Duration;

/// VM with links of its own to the endpoints.
pub(crate) struct LinkedVm {
    pub(crate) entry: EntryProcess,
    links: Vec<LinkProxy>,
}

impl LinkedVm {
    async fn start(deployment: &Deployment, name: &str, data_centre: &str) -> Self {
        let endpoints = deployment.engines.iter().chain(&deployment.services);
        let mut links = Vec::new();
        let mut addresses = Vec::new();
        for endpoint in endpoints {
            let link = LinkProxy::start(endpoint.address()).await.unwrap();
            addresses.push((endpoint.address(), link.address()));
            links.push(link);
        }
        let store = deployment.store.start_view(addresses).await.unwrap();
        Self {
            entry: EntryProcess::start_in(name, data_centre, store),
            links,
        }
    }

    /// Cuts the VM off from all endpoints, or ends the cut with `None`.
    pub(crate) fn cut(&self, fault: Option<LinkFault>) {
        for link in &self.links {
            link.set(fault);
        }
    }
}

/// Starts VMs, one for each data centre listed, and waits until they know each other.
pub(crate) async fn linked_vms(deployment: &Deployment, data_centres: &[&str]) -> Vec<LinkedVm> {
    let mut vms = Vec::new();
    for (number, data_centre) in data_centres.iter().enumerate() {
        let name = format!("vm-{}", number + 1);
        vms.push(LinkedVm::start(deployment, &name, data_centre).await);
    }
    for vm in &vms {
        vm.entry.ready().await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    vms
}
