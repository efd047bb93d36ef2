//! VMs whose links to the endpoints can be cut one by one.

use crate::support::{Deployment, EntryProcess};
use clementinepond_platform_standin::{LinkFault, LinkProxy, StandinEndpoint};
use std::net::SocketAddrV4;
use std::time::Duration;

/// VM with links of its own to the endpoints.
pub(crate) struct LinkedVm {
    pub(crate) entry: EntryProcess,
    links: Vec<LinkProxy>,
}

impl LinkedVm {
    async fn start(
        deployment: &Deployment,
        endpoints: &[SocketAddrV4],
        name: &str,
        data_centre: &str,
    ) -> Self {
        let mut links = Vec::new();
        let mut addresses = Vec::new();
        for &endpoint in endpoints {
            let link = LinkProxy::start(endpoint).await.unwrap();
            addresses.push((endpoint, link.address()));
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
    let endpoints = deployment.engines.iter().chain(&deployment.services);
    let addresses: Vec<SocketAddrV4> = endpoints.map(StandinEndpoint::address).collect();
    linked_vms_to(deployment, &addresses, data_centres).await
}

/// Starts VMs with links to the endpoints of the addresses.
pub(crate) async fn linked_vms_to(
    deployment: &Deployment,
    endpoints: &[SocketAddrV4],
    data_centres: &[&str],
) -> Vec<LinkedVm> {
    let mut vms = Vec::new();
    for (number, data_centre) in data_centres.iter().enumerate() {
        let name = format!("vm-{}", number + 1);
        vms.push(LinkedVm::start(deployment, endpoints, &name, data_centre).await);
    }
    for vm in &vms {
        vm.entry.ready().await;
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    vms
}
