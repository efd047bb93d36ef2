//! Configuration and endpoints as they arrive from the store or a peer.

use super::EntryNode;
use crate::clock::BootClock;
use clementinepond_dispatch::directory::EndpointChange;
use clementinepond_dispatch::ledger::EndpointKey;
use clementinepond_dispatch::table::RouteTable;
use clementinepond_platform::{StoreObject, StorePage, read_configuration, read_endpoint};
use clementinepond_types::{EndpointId, LocalTime, TimeSpan};
use serde_json::Value;
use std::rc::Rc;

/// Age of the store's last answer up to which the VM counts as in contact.
const CONTACT_AGE: TimeSpan = TimeSpan::from_millis(4_200);

impl EntryNode {
    /// Puts a configuration in force if it is newer than the current one.
    pub(crate) fn offer_configuration(&self, spec: &Value, source: &str) {
        let policy = match read_configuration(spec) {
            Ok(policy) => policy,
            Err(error) => {
                log::error!("event=configuration_refused source={source} error=\"{error}\"");
                return;
            }
        };
        let version = policy.version;
        let mut state = self.state.borrow_mut();
        let current = state
            .table
            .as_ref()
            .map_or(0, |table| table.policy().version);
        if state.table.is_some() && version <= current {
            return;
        }
        log::info!(
            "event=configuration_applied version={version} previous={current} source={source} routes={} accounts={}",
            policy.routes.len(),
            policy.accounts.len()
        );
        state.table = Some(Rc::new(RouteTable::new(policy)));
        state.configuration_spec = Some(Rc::new(spec.clone()));
        drop(state);
        self.placement_changed.notify_waiters();
    }

    pub(crate) fn note_configuration_revision(&self, revision: u64) {
        let mut state = self.state.borrow_mut();
        state.configuration_revision = state.configuration_revision.max(revision);
    }

    /// Takes over a list of endpoints, or changes to it.
    pub(crate) fn take_endpoints(&self, page: StorePage, is_list: bool, source: &str) {
        let now = BootClock::now();
        if is_list {
            self.replace_endpoints(page, source, now);
        } else {
            for object in page.objects {
                self.take_endpoint(object, source, now);
            }
        }
        self.placement_changed.notify_waiters();
        self.duty_due.notify_one();
    }

    fn replace_endpoints(&self, page: StorePage, source: &str, now: LocalTime) {
        let mut entries = Vec::new();
        let mut state = self.state.borrow_mut();
        state.endpoint_specs.clear();
        for object in page.objects {
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
        if source == "peer" {
            // A peer's list may reflect deletions that no entry shows.
            state.endpoint_revision = state.endpoint_revision.max(page.revision);
        }
        state.directory.replace(entries, page.revision, now);
    }

    fn take_endpoint(&self, object: StoreObject, source: &str, now: LocalTime) {
        let mut state = self.state.borrow_mut();
        let known = state.endpoint_specs.get(&object.name);
        if known.is_some_and(|(revision, _)| *revision >= object.revision) {
            return;
        }
        state.endpoint_revision = state.endpoint_revision.max(object.revision);
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
            state.health.forget(&id);
            state.paces.remove(&id);
            state.parts.forget(EndpointKey::of(id.as_str()));
        }
        if change != EndpointChange::Same {
            log::info!(
                "event=endpoint_changed endpoint={id} change={change:?} phase={phase:?} models={models} revision={} source={source}",
                object.revision
            );
        }
    }

    /// Notes that the path to the store broke or works again.
    pub(crate) fn note_store(&self, is_back: bool, kind: &str) {
        if is_back {
            self.state
                .borrow_mut()
                .directory
                .note_store_return(BootClock::now());
            log::info!("event=store_regained kind={kind}");
        }
    }

    pub(crate) fn note_store_answer(&self, now: LocalTime) {
        self.state.borrow_mut().store_answered_at = now;
    }

    /// Tells whether the store answered lately.
    pub(crate) fn has_store(&self, now: LocalTime) -> bool {
        now.since(self.state.borrow().store_answered_at) < CONTACT_AGE
    }

    /// Drops endpoints that are gone for good.
    pub(crate) fn sweep_endpoints(&self, now: LocalTime) {
        let mut state = self.state.borrow_mut();
        for id in state.directory.sweep(now) {
            if state.directory.get(&id).is_none() {
                state.health.forget(&id);
                state.paces.remove(&id);
                state.work_ms.remove(&id);
                state.parts.forget(EndpointKey::of(id.as_str()));
                self.pool.forget(&id);
                log::info!("event=endpoint_gone endpoint={id}");
            }
        }
    }
}
