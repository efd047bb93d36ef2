//! Blocked suspects in the store, by which VMs know them that start later or reach no peer.

use super::{StoreClient, StoreFailure, WriteOutcome};
use crate::clock::BootClock;
use crate::node::{EntryNode, increment};
use clementinepond_dispatch::suspect::{BlockedSuspect, CrashEvent, CrashSuspect};
use clementinepond_platform::{SUSPECT_KIND, StorePage};
use clementinepond_types::TimeSpan;
use fnv::FnvHashSet;
use serde_json::json;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Time for which the store holds a watch open. Peers report changes at once, so this only
/// matters to a VM that reaches none.
const WATCH_DURATION: TimeSpan = TimeSpan::from_secs(10);
/// Delay after a failed call.
const RETRY_DELAY: TimeSpan = TimeSpan::from_secs(1);

/// Writes this VM's changes of the blocked suspects and follows those of others until the VM
/// stops. In a large fleet, VMs that do not watch the store read the list once.
pub(crate) async fn sync_blocked_suspects(node: Rc<EntryNode>, stop: CancellationToken) {
    let mut client = StoreClient::new(node.settings().store.address);
    let mut revision = None;
    while !stop.is_cancelled() {
        let synced = tokio::select! {
            () = stop.cancelled() => return,
            synced = sync(&node, &mut client, revision) => synced,
        };
        match synced {
            Ok(reached) => revision = Some(reached),
            Err(error) => {
                log::info!("event=suspect_sync_failed error=\"{error}\"");
                if matches!(error, StoreFailure::Gone | StoreFailure::Malformed) {
                    revision = None;
                }
                tokio::select! {
                    () = stop.cancelled() => return,
                    () = tokio::time::sleep(RETRY_DELAY.duration()) => {}
                }
            }
        }
    }
}

/// Writes changes, then lists the suspects or waits for changes after a revision; returns
/// the revision that is reached.
async fn sync(
    node: &EntryNode,
    client: &mut StoreClient,
    revision: Option<u64>,
) -> Result<u64, StoreFailure> {
    write_changes(node, client).await?;
    let Some(from) = revision else {
        increment(&node.stats.store_calls);
        let page = client.list(SUSPECT_KIND, false).await?;
        let reached = page.revision;
        restore_missing(node, &page);
        apply(node, page);
        return Ok(reached);
    };
    if !node.is_watcher(BootClock::now()) {
        // The role may change meanwhile.
        let changed = node.blocked_changed.notified();
        let _ = tokio::time::timeout(WATCH_DURATION.duration(), changed).await;
        return Ok(from);
    }
    increment(&node.stats.store_calls);
    let watched = tokio::select! {
        watched = client.watch(SUSPECT_KIND, from, WATCH_DURATION) => Some(watched),
        () = node.blocked_changed.notified() => None,
    };
    let Some(watched) = watched else {
        client.reset();
        return Ok(from);
    };
    let page = watched?;
    let reached = page.revision.max(from);
    apply(node, page);
    Ok(reached)
}

/// Writes the changes that are not in the store yet.
async fn write_changes(node: &EntryNode, client: &mut StoreClient) -> Result<(), StoreFailure> {
    loop {
        let (added, removed) = {
            let state = node.state.borrow();
            let unstored = &state.unstored_suspects;
            let added = unstored.added.iter().next().copied();
            (added, unstored.removed.iter().next().copied())
        };
        if let Some(suspect) = added {
            increment(&node.stats.store_calls);
            let name = suspect.to_string();
            match client.write(SUSPECT_KIND, &name, None, &json!({})).await {
                WriteOutcome::Written(_) | WriteOutcome::Conflict(_) => {}
                WriteOutcome::Refused(status) => return Err(StoreFailure::Refused(status)),
                WriteOutcome::Unknown(failure) => return Err(StoreFailure::Call(failure)),
            }
            node.state
                .borrow_mut()
                .unstored_suspects
                .added
                .remove(&suspect);
        } else if let Some(suspect) = removed {
            increment(&node.stats.store_calls);
            client.delete(SUSPECT_KIND, &suspect.to_string()).await?;
            node.state
                .borrow_mut()
                .unstored_suspects
                .removed
                .remove(&suspect);
        } else {
            return Ok(());
        }
    }
}

/// Has the suspects written again that a store from a copy lacks.
fn restore_missing(node: &EntryNode, page: &StorePage) {
    let listed: FnvHashSet<&str> = page.objects.iter().map(|object| &*object.name).collect();
    let mut guard = node.state.borrow_mut();
    let state = &mut *guard;
    let missing = state.crash_guard.blocked().map(|known| known.suspect);
    let missing = missing.filter(|suspect| !listed.contains(suspect.to_string().as_str()));
    state.unstored_suspects.added.extend(missing);
}

fn apply(node: &EntryNode, page: StorePage) {
    let now = BootClock::now();
    let mut blocked = Vec::new();
    let mut completions = Vec::new();
    for object in page.objects {
        match object.name.parse::<CrashSuspect>() {
            // Operators delete an object to have its requests sent again.
            Ok(suspect) if object.is_deleted => completions.push((suspect, now)),
            Ok(suspect) => blocked.push(BlockedSuspect {
                suspect,
                since: now,
                seen_at: now,
            }),
            Err(error) => log::warn!(
                "event=object_malformed kind={SUSPECT_KIND} name={} action=ignored error=\"{error}\"",
                object.name
            ),
        }
    }
    node.apply_crash_event(CrashEvent::BlockedElsewhere { blocked }, None);
    node.apply_crash_event(CrashEvent::Cleared { completions }, None);
}
