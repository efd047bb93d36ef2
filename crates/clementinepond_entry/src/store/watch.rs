//! Lists and watches of one kind of object.
//!
//! A watch is short, so that a store that stopped answering is noticed. It is interrupted
//! early if a peer has had a newer revision for a while.

use super::{StoreClient, StoreFailure};
use crate::clock::BootClock;
use crate::node::{EntryNode, increment};
use clementinepond_platform::StorePage;
use clementinepond_types::TimeSpan;
use rand::RngExt;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Time for which the store holds a watch open; limits how long an unresponsive store goes
/// unnoticed.
const WATCH_DURATION: TimeSpan = TimeSpan::from_millis(3_000);
/// Interval between checks whether this VM may watch the store.
const ROLE_CHECK_INTERVAL: TimeSpan = TimeSpan::from_millis(250);
/// Time for which changes are collected before the next watch fetches them.
const BATCH_DELAY: TimeSpan = TimeSpan::from_millis(120);
/// Delay after the first failed call; doubled by each further one.
const MIN_RETRY_DELAY_MS: u64 = 80;
/// Maximum delay after failed calls. Expired entries are listed again two seconds after the
/// store becomes reachable, which must be noticed well before.
const MAX_RETRY_DELAY_MS: u64 = 700;

/// Kind of object to watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WatchTarget {
    /// Configuration of the fleet.
    Configuration,
    /// Entries of the endpoints.
    Endpoints,
}

impl WatchTarget {
    const fn kind(self) -> &'static str {
        match self {
            Self::Configuration => clementinepond_platform::CONFIGURATION_KIND,
            Self::Endpoints => clementinepond_platform::ENDPOINT_KIND,
        }
    }
}

/// Lists and watches one kind until the VM stops; a VM that may not watch only lists once.
pub(crate) async fn run_watch(node: Rc<EntryNode>, target: WatchTarget, stop: CancellationToken) {
    let mut client = StoreClient::new(node.settings().store.address);
    let mut revision: Option<u64> = None;
    let mut retry_delay_ms = MIN_RETRY_DELAY_MS;
    let mut failing_since = None;
    let mut listed_at = None;
    let mut is_watching = false;
    while !stop.is_cancelled() {
        let now = BootClock::now();
        if let (Some(_), Some(since)) = (revision, listed_at)
            && !node.may_watch(since, now)
        {
            // This VM no longer calls the store, so a failure that it recorded is outdated.
            if failing_since.take().is_some() {
                node.record_store_state(true, target.kind());
            }
            if std::mem::take(&mut is_watching) {
                log::info!("event=watch_stopped kind={}", target.kind());
            }
            client.reset();
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(ROLE_CHECK_INTERVAL.duration()) => continue,
            }
        }
        if revision.is_some() && !std::mem::replace(&mut is_watching, true) {
            log::info!("event=watch_started kind={}", target.kind());
        }
        increment(&node.stats.store_calls);
        let called = async {
            match revision {
                None => client
                    .list(target.kind(), false)
                    .await
                    .map(|page| (page, true)),
                Some(from) => {
                    let from = from.max(node.known_revision(target));
                    // A call that a silent store has swallowed is never answered, so it must
                    // not be one that may wait.
                    let wait = match failing_since {
                        Some(_) => TimeSpan::ZERO,
                        None => WATCH_DURATION,
                    };
                    let watch = client.watch(target.kind(), from, wait);
                    watch.await.map(|page| (page, false))
                }
            }
        };
        let outcome = tokio::select! {
            () = stop.cancelled() => return,
            () = node.peer_ahead(target) => {
                client.reset();
                continue;
            }
            outcome = called => outcome,
        };
        match outcome {
            Ok((page, is_list)) => {
                if failing_since.take().is_some() {
                    node.record_store_state(true, target.kind());
                }
                retry_delay_ms = MIN_RETRY_DELAY_MS;
                revision = Some(page.revision.max(revision.unwrap_or(0)));
                let has_changes = !page.objects.is_empty();
                if is_list {
                    listed_at.get_or_insert_with(BootClock::now);
                }
                apply_page(&node, target, page, is_list);
                node.record_store_answer(BootClock::now());
                if has_changes && target == WatchTarget::Endpoints {
                    tokio::time::sleep(node.batch_delay(BATCH_DELAY).duration()).await;
                }
            }
            Err(StoreFailure::Gone) => {
                log::info!("event=watch_expired kind={} action=list", target.kind());
                revision = None;
            }
            Err(error) => {
                if failing_since.is_none() {
                    failing_since = Some(BootClock::now());
                    node.record_store_state(false, target.kind());
                    log::warn!("event=store_lost kind={} error=\"{error}\"", target.kind());
                }
                if matches!(error, StoreFailure::Malformed) {
                    revision = None;
                }
                let jitter = rand::rng().random_range(50..100);
                let retry_delay = TimeSpan::from_millis(retry_delay_ms * jitter / 100);
                retry_delay_ms = (retry_delay_ms * 2).min(MAX_RETRY_DELAY_MS);
                tokio::select! {
                    () = stop.cancelled() => return,
                    () = tokio::time::sleep(retry_delay.duration()) => {}
                }
            }
        }
    }
}

fn apply_page(node: &EntryNode, target: WatchTarget, page: StorePage, is_list: bool) {
    match target {
        WatchTarget::Configuration => {
            let mut is_newer = false;
            for object in page.objects {
                if &*object.name == clementinepond_platform::CONFIGURATION_NAME
                    && !object.is_deleted
                {
                    is_newer |= node.apply_configuration(&object.spec, object.revision, "store");
                }
            }
            node.record_configuration_revision(page.revision);
            if is_newer {
                node.announce_configuration();
            }
        }
        WatchTarget::Endpoints => node.apply_endpoints(page, is_list, "store"),
    }
}
