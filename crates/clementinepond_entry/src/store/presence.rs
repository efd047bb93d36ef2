//! Entries of the VMs in the store, through which they learn each other's address.
//!
//! Entries do not expire. A VM writes its entry at each start; whether a VM is live is
//! known from its heartbeats.

use super::{StoreClient, WatchTarget, WriteOutcome};
use crate::clock::BootClock;
use crate::node::EntryNode;
use clementinepond_platform::{VM_KIND, era_of};
use clementinepond_types::{TimeSpan, VmId};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Interval between lists of the VMs; snapshots from peers spread addresses much faster.
const LIST_INTERVAL: TimeSpan = TimeSpan::from_secs(25);
/// Interval between the first lists, while VMs start.
const START_INTERVAL: TimeSpan = TimeSpan::from_secs(1);
/// Interval between checks whether the store came back from a copy.
const ERA_CHECK_INTERVAL: TimeSpan = TimeSpan::from_secs(1);
/// Number of lists made at the shorter interval.
const START_LISTINGS: u32 = 3;

/// Content of a VM's entry.
#[derive(Debug, Serialize, Deserialize)]
struct VmEntry {
    /// Address for messages of peers.
    address: SocketAddrV4,
}

/// Writes this VM's entry and reads those of the others until the VM stops.
pub(crate) async fn announce_vm(node: Rc<EntryNode>, stop: CancellationToken) {
    let mut client = StoreClient::new(node.settings().store.address);
    let mut is_written = false;
    let mut listings = 0;
    loop {
        if !is_written {
            is_written = write_entry(&node, &mut client).await;
        }
        let era = client.era();
        match client.list(VM_KIND, listings > 0).await {
            Ok(page) => {
                listings += 1;
                for object in page.objects {
                    learn(&node, &object.name, object.spec);
                }
            }
            Err(error) => log::debug!("event=vm_list_failed error=\"{error}\""),
        }
        let interval = if listings < START_LISTINGS || !is_written {
            START_INTERVAL
        } else {
            LIST_INTERVAL
        };
        let jitter = rand::rng().random_range(80..120);
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(interval.fraction(jitter, 100).duration()) => {}
            () = later_era(&node, era) => is_written = false,
        }
        // An answer to the list may have brought the later era.
        is_written &= client.era() == era;
    }
}

/// Waits until the directory is of a later era, in which the VMs' entries may be lost, and
/// for at least one interval, since peers may know the era while the store fails.
async fn later_era(node: &EntryNode, era: u64) {
    loop {
        tokio::time::sleep(ERA_CHECK_INTERVAL.duration()).await;
        if era_of(node.known_revision(WatchTarget::Endpoints)) > era {
            return;
        }
    }
}

/// Creates or replaces this VM's entry; returns whether it was written.
async fn write_entry(node: &EntryNode, client: &mut StoreClient) -> bool {
    let settings = node.settings();
    let entry = VmEntry {
        address: settings.listen.peers,
    };
    let Ok(spec) = serde_json::to_value(&entry) else {
        return false;
    };
    let name = settings.vm.as_str();
    match client.write(VM_KIND, name, None, &spec).await {
        WriteOutcome::Written(_) => true,
        WriteOutcome::Conflict(Some(object)) => {
            let revision = Some(object.revision);
            let outcome = client.write(VM_KIND, name, revision, &spec).await;
            matches!(outcome, WriteOutcome::Written(_))
        }
        outcome => {
            log::debug!("event=vm_entry_failed outcome={outcome:?}");
            false
        }
    }
}

fn learn(node: &EntryNode, name: &str, spec: serde_json::Value) {
    let entry: Result<VmEntry, _> = serde_json::from_value(spec);
    match (name.parse::<VmId>(), entry) {
        (Ok(vm), Ok(entry)) => node.learn_peer(&vm, entry.address, BootClock::now()),
        _ => log::warn!("event=object_malformed kind={VM_KIND} name={name} action=ignored"),
    }
}
