//! Updates of the configuration and the endpoint directory, from the store or a peer.

use super::EntryNode;
use crate::clock::BootClock;
use crate::store::WatchTarget;
use clementinepond_dispatch::directory::EndpointChange;
use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::peer::{EntryChange, EntryUpdate, PeerMessage, SMALL_FLEET_MAX_VMS};
use clementinepond_dispatch::table::RouteTable;
use clementinepond_platform::{StoreObject, StorePage, read_configuration, read_endpoint};
use clementinepond_types::{EndpointId, LocalTime, TimeSpan};
use serde_json::Value;
use std::rc::Rc;

/// Maximum number of entry changes in one datagram.
const MAX_ENTRIES_PER_DATAGRAM: usize = 24;
/// Age of the store's last answer up to which this VM counts as connected to the store.
const STORE_CONTACT_MAX_AGE: TimeSpan = TimeSpan::from_millis(4_200);

/// Factors on the batch delay in a large fleet: for the first watcher of a data centre
/// and for standby watchers. The standby delay must stay well within the drain time of
/// endpoints.
const PRIMARY_WATCHER_DELAY_FACTOR: u64 = 4;
const STANDBY_WATCHER_DELAY_FACTOR: u64 = 12;
/// Time between a VM's first list and its first watch, in which heartbeats show which
/// VMs watch already: in a fleet that is known to be large, and otherwise.
const LARGE_FLEET_ROLE_DELAY: TimeSpan = TimeSpan::from_millis(1_500);
const ROLE_DELAY: TimeSpan = TimeSpan::from_millis(400);

impl EntryNode {
    /// Applies a configuration if it is newer than the current one; `revision` is a store
    /// revision at which it is the stored one.
    ///
    /// Returns whether it was applied.
    pub(crate) fn apply_configuration(&self, spec: &Value, revision: u64, source: &str) -> bool {
        self.record_configuration_revision(revision);
        let policy = match read_configuration(spec) {
            Ok(policy) => policy,
            Err(error) => {
                log::error!("event=configuration_refused source={source} error=\"{error}\"");
                return false;
            }
        };
        let version = policy.version;
        let mut state = self.state.borrow_mut();
        let current = state.configuration_version();
        if state.table.is_some() && version <= current {
            return false;
        }
        let newer_since = state.newer_configuration_since.take();
        let behind = newer_since.map_or(TimeSpan::ZERO, |since| BootClock::now().since(since));
        log::info!(
            "event=configuration_applied version={version} previous={current} source={source} behind_ms={} routes={} accounts={}",
            behind.millis(),
            policy.routes.len(),
            policy.accounts.len()
        );
        state.table = Some(Rc::new(RouteTable::new(policy)));
        state.configuration_spec = Some(Rc::new(spec.clone()));
        drop(state);
        self.placement_changed.notify_waiters();
        true
    }

    /// Returns the store revision up to which all changes of a kind are known.
    pub(crate) fn known_revision(&self, target: WatchTarget) -> u64 {
        let state = self.state.borrow();
        match target {
            WatchTarget::Configuration => state.configuration_revision,
            WatchTarget::Endpoints => state.endpoint_revision,
        }
    }

    /// Records the store revision up to which the configuration is known.
    pub(crate) fn record_configuration_revision(&self, revision: u64) {
        let mut state = self.state.borrow_mut();
        state.configuration_revision = state.configuration_revision.max(revision);
    }

    /// Applies a full list of endpoint entries, or changes to it.
    pub(crate) fn apply_endpoints(&self, page: StorePage, is_list: bool, source: &str) {
        let now = BootClock::now();
        if is_list {
            self.replace_endpoints(page, source, now);
        } else {
            self.forward_entries(&page.objects);
            for object in page.objects {
                let revision = object.revision;
                self.apply_endpoint(object, source, now);
                let mut state = self.state.borrow_mut();
                state.endpoint_revision = state.endpoint_revision.max(revision);
            }
        }
        self.placement_changed.notify_waiters();
        self.orders_due.notify_one();
    }

    /// Forwards changes to the VMs of this data centre if the fleet is large and this VM
    /// is a watcher.
    fn forward_entries(&self, objects: &[StoreObject]) {
        let now = BootClock::now();
        let settings = self.settings();
        let (after, recipients) = {
            let state = self.state.borrow();
            let is_small = state.peers.peer_counts(now).1 < SMALL_FLEET_MAX_VMS;
            let is_watcher = state.peers.is_watcher(
                &settings.vm,
                settings.capacity.link(),
                &settings.data_centre,
                now,
            );
            if is_small || !is_watcher {
                return;
            }
            let recipients = state.peers.recipients(Some(&settings.data_centre), now);
            (state.endpoint_revision, recipients)
        };
        let mut after = after;
        for batch in objects.chunks(MAX_ENTRIES_PER_DATAGRAM) {
            let changes = batch.iter().map(|object| EntryChange {
                name: object.name.clone(),
                revision: object.revision,
                spec: (!object.is_deleted).then(|| object.spec.to_string().into()),
            });
            let update = EntryUpdate {
                after,
                changes: changes.collect(),
            };
            after = batch
                .iter()
                .map(|object| object.revision)
                .fold(after, u64::max);
            self.send_through_relays(PeerMessage::Entries(update), recipients.clone());
        }
    }

    /// Applies a peer's snapshot: the changed entries, the names of all entries, and the
    /// revision of the newest change.
    pub(crate) fn apply_snapshot(
        &self,
        changed: Vec<StoreObject>,
        names: &[Box<str>],
        revision: u64,
    ) {
        let now = BootClock::now();
        for object in changed {
            self.apply_endpoint(object, "peer", now);
        }
        let removed: Vec<(Box<str>, u64)> = {
            let state = self.state.borrow();
            let is_removed = |name: &str, known: u64| {
                known <= revision && !names.iter().any(|listed| **listed == *name)
            };
            let all = state.endpoint_specs.iter();
            let missing = all.filter(|(name, (known, _))| is_removed(name, *known));
            let named = missing.map(|(name, (known, _))| (name.clone(), *known));
            named.collect()
        };
        for (name, known) in removed {
            let object = StoreObject {
                name,
                // The snapshot does not contain the revision of the deletion, which is
                // higher than that of the entry's last change.
                revision: known + 1,
                is_deleted: true,
                spec: Value::Null,
            };
            self.apply_endpoint(object, "peer", now);
        }
        let mut state = self.state.borrow_mut();
        state.endpoint_revision = state.endpoint_revision.max(revision);
        drop(state);
        self.placement_changed.notify_waiters();
        self.orders_due.notify_one();
    }

    /// Applies changes that a watcher sent.
    pub(crate) fn apply_entry_update(&self, update: EntryUpdate) {
        let now = BootClock::now();
        let known = self.state.borrow().endpoint_revision;
        let mut newest = known;
        for change in update.changes {
            newest = newest.max(change.revision);
            let spec = match change.spec.as_deref().map(serde_json::from_str).transpose() {
                Ok(spec) => spec,
                Err(error) => {
                    log::warn!(
                        "event=entry_unreadable endpoint={} error=\"{error}\"",
                        change.name
                    );
                    continue;
                }
            };
            let object = StoreObject {
                name: change.name,
                revision: change.revision,
                is_deleted: spec.is_none(),
                spec: spec.unwrap_or_default(),
            };
            self.apply_endpoint(object, "peer", now);
        }
        // If updates are missing in between, the revision stays, so that this VM fetches
        // them from a peer's snapshot.
        if update.after <= known {
            self.state.borrow_mut().endpoint_revision = newest;
        }
        self.placement_changed.notify_waiters();
        self.orders_due.notify_one();
    }

    fn replace_endpoints(&self, page: StorePage, source: &str, now: LocalTime) {
        let mut entries = Vec::new();
        let mut state = self.state.borrow_mut();
        state.endpoint_specs.clear();
        for object in page.objects {
            if state
                .entry_revisions
                .is_outdated(&object.name, object.revision)
            {
                continue;
            }
            state.entry_revisions.accept(&object.name, object.revision);
            match read_endpoint(&object.name, &object.spec) {
                Ok(entry) => entries.push(entry),
                Err(error) => log::warn!(
                    "event=endpoint_unreadable endpoint={} revision={} error=\"{error}\"",
                    object.name,
                    object.revision
                ),
            }
            state.endpoint_revision = state.endpoint_revision.max(object.revision);
            state
                .endpoint_specs
                .insert(object.name, (object.revision, object.spec));
        }
        log::info!(
            "event=endpoints_listed count={} revision={} source={source}",
            entries.len(),
            page.revision
        );
        state.directory.replace(entries, page.revision, now);
    }

    fn apply_endpoint(&self, object: StoreObject, source: &str, now: LocalTime) {
        let mut state = self.state.borrow_mut();
        if !state.entry_revisions.accept(&object.name, object.revision) {
            return;
        }
        if object.is_deleted {
            state.endpoint_specs.remove(&object.name);
            log::info!(
                "event=endpoint_unlisted endpoint={} revision={} source={source}",
                object.name,
                object.revision
            );
            if let Ok(id) = object.name.parse::<EndpointId>() {
                state.directory.remove(&id, now);
            }
            return;
        }
        let entry = match read_endpoint(&object.name, &object.spec) {
            Ok(entry) => entry,
            Err(error) => {
                log::warn!(
                    "event=endpoint_unreadable endpoint={} revision={} error=\"{error}\"",
                    object.name,
                    object.revision
                );
                return;
            }
        };
        state
            .endpoint_specs
            .insert(object.name, (object.revision, object.spec));
        let id = entry.id.clone();
        let phase = entry.phase;
        let models = entry.models.len();
        let change = state.directory.update(entry, now);
        if change == EndpointChange::Joined {
            state.health.remove(&id);
            state.slowdowns.remove(&id);
            let key = NameHash::of(id.as_str());
            state.prefix_cache.remove(key);
            state.loads.remove_queue(key);
            state.rejections.remove(key);
            state.limits.remove(key);
            state.paths.remove(key);
            state.permits.remove(key);
        }
        if change != EndpointChange::Same {
            log::info!(
                "event=endpoint_changed endpoint={id} change={change:?} phase={phase:?} models={models} revision={} source={source}",
                object.revision
            );
        }
    }

    /// Records that calls of the store for a kind started to fail or work again.
    pub(crate) fn record_store_state(&self, is_reachable: bool, kind: &str) {
        let mut state = self.state.borrow_mut();
        if is_reachable {
            state.failing_kinds = state.failing_kinds.saturating_sub(1);
            state.directory.record_store_return(BootClock::now());
            log::info!("event=store_regained kind={kind}");
        } else {
            state.failing_kinds += 1;
        }
    }

    /// Returns how long changes are collected before the next watch call.
    ///
    /// The delay is longer in a large fleet, which has many changes, and longest for
    /// standby watchers.
    pub(crate) fn batch_delay(&self, delay: TimeSpan) -> TimeSpan {
        let settings = self.settings();
        let now = BootClock::now();
        let state = self.state.borrow();
        if state.peers.peer_counts(now).1 < SMALL_FLEET_MAX_VMS {
            return delay;
        }
        let rank = state.peers.watch_rank(
            &settings.vm,
            settings.capacity.link(),
            &settings.data_centre,
            now,
        );
        let factor = if rank == 0 {
            PRIMARY_WATCHER_DELAY_FACTOR
        } else {
            STANDBY_WATCHER_DELAY_FACTOR
        };
        delay.fraction(factor, 1)
    }

    /// Returns whether this VM may watch the store, given the time of its first list.
    pub(crate) fn may_watch(&self, listed_at: LocalTime, now: LocalTime) -> bool {
        let is_large = self.state.borrow().peers.peer_counts(now).1 >= SMALL_FLEET_MAX_VMS;
        let wait = if is_large {
            LARGE_FLEET_ROLE_DELAY
        } else {
            ROLE_DELAY
        };
        now.since(listed_at) >= wait && self.is_watcher(now)
    }

    /// Returns whether this VM is one of the watchers of its data centre.
    pub(crate) fn is_watcher(&self, now: LocalTime) -> bool {
        let settings = self.settings();
        let state = self.state.borrow();
        state.peers.is_watcher(
            &settings.vm,
            settings.capacity.link(),
            &settings.data_centre,
            now,
        )
    }

    /// Records that the store answered this VM.
    pub(crate) fn record_store_answer(&self, now: LocalTime) {
        self.state.borrow_mut().store_answered_at = now;
    }

    /// Returns whether there may be a newer configuration than this VM's: a peer has one,
    /// or the store has answered neither this VM nor a live peer recently.
    pub(crate) fn may_be_outdated(&self, now: LocalTime) -> bool {
        self.state.borrow().newer_configuration_since.is_some() || !self.has_store(now)
    }

    /// Returns whether the store recently answered this VM or a live peer.
    fn has_store(&self, now: LocalTime) -> bool {
        let state = self.state.borrow();
        let is_fresh = |age: TimeSpan| age < STORE_CONTACT_MAX_AGE;
        is_fresh(now.since(state.store_answered_at))
            || state.peers.live(now).any(|(_, peer)| {
                let age = peer
                    .heartbeat
                    .as_ref()
                    .map(|heartbeat| u64::from(heartbeat.store_age_ms));
                age.is_some_and(|age| is_fresh(TimeSpan::from_millis(age)))
            })
    }

    /// Returns whether the directory has all changes that the store or a live peer has.
    pub(crate) fn is_directory_current(&self, now: LocalTime) -> bool {
        self.has_store(now)
            && self.known_revision(WatchTarget::Endpoints) > 0
            && !self.is_peer_ahead(WatchTarget::Endpoints)
    }

    /// Drops endpoints that are no longer kept in the directory, and their state.
    pub(crate) fn sweep_endpoints(&self, now: LocalTime) {
        let is_current = self.is_directory_current(now);
        let mut state = self.state.borrow_mut();
        if is_current {
            state.directory.record_up_to_date(now);
        }
        for id in state.directory.sweep(now) {
            if state.directory.get(&id).is_none() {
                state.health.remove(&id);
                state.slowdowns.remove(&id);
                state.service_ms.remove(&id);
                let key = NameHash::of(id.as_str());
                state.prefix_cache.remove(key);
                state.loads.remove_queue(key);
                state.rejections.remove(key);
                state.limits.remove(key);
                state.paths.remove(key);
                state.permits.remove(key);
                self.pool.forget(&id);
                log::info!("event=endpoint_gone endpoint={id}");
            }
        }
    }
}
