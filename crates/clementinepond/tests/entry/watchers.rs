//! Watchers of a large fleet, in which a few VMs read changes for the others.

use crate::support::{Deployment, EntryProcess, wait_until};
use serde_json::{Value, json};

/// Number of VMs; more than a fleet in which every VM watches.
const VMS: usize = 14;
/// Number of changes that all VMs know before the watchers are killed.
const KNOWN_CHANGES: usize = 100;

/// Returns an endpoint's entry of about a kilobyte.
fn entry(index: usize) -> Value {
    json!({
        "service": "files",
        "address": format!("127.0.0.1:{}", 20_000 + index),
        "zone": "dc-a",
        "version": "v".repeat(900),
        "state": "draining",
        "sequence": index,
    })
}

/// Returns whether the VM watches the endpoints' entries.
fn is_watching(vm: &EntryProcess) -> bool {
    let role = vm.last_logged("event=watch_st", "kind=servers");
    role.is_some_and(|line| line.contains("event=watch_started"))
}

async fn entry_bytes(vms: &[EntryProcess]) -> u64 {
    let mut total = 0;
    for vm in vms {
        total += vm
            .metric("clementinepond_peer_bytes_sent_total{message=\"entries\"}")
            .await;
    }
    total
}

#[tokio::test(flavor = "multi_thread")]
async fn new_watcher_does_not_resend_known_changes() {
    let deployment = Deployment::start(1).await;
    let mut vms: Vec<EntryProcess> = (0..VMS)
        .map(|index| deployment.entry(&format!("vm-{index}")))
        .collect();
    for vm in &vms {
        vm.ready().await;
    }
    wait_until("two VMs watch for the others", || {
        vms.iter().filter(|vm| is_watching(vm)).count() == 2
    })
    .await;
    for index in 0..KNOWN_CHANGES {
        let name = format!("known-{index}");
        deployment.store.put("servers", &name, entry(index));
    }
    let last = format!("endpoint=known-{}", KNOWN_CHANGES - 1);
    wait_until("all VMs know the changes", || {
        vms.iter().all(|vm| vm.has_logged(&last))
    })
    .await;

    vms.retain(|vm| !is_watching(vm));
    let before = entry_bytes(&vms).await;
    wait_until("two other VMs watch", || {
        vms.iter().filter(|vm| is_watching(vm)).count() == 2
    })
    .await;
    deployment.store.put("servers", "new", entry(KNOWN_CHANGES));
    wait_until("all VMs know the new change", || {
        vms.iter().all(|vm| vm.has_logged("endpoint=new "))
    })
    .await;
    let copies = 2 * vms.len() as u64;
    let size = entry(KNOWN_CHANGES).to_string().len() as u64;
    let sent = entry_bytes(&vms).await - before;
    assert!(
        sent < copies * size * 2,
        "{sent} bytes sent for one change of {size} bytes to {} VMs",
        vms.len()
    );
}
