//! Platform calls that carry out effects of the reducers.

use super::client::PlatformClient;
use super::object::ListedVm;
use crate::clock::LocalClock;
use crate::node::NodeHandle;
use clementinepond_decide::claim::{ClaimEffect, ClaimEvent};
use clementinepond_decide::configuration::{ConfigurationEffect, ConfigurationEvent};
use clementinepond_decide::crash::{CrashEffect, CrashEvent};
use clementinepond_decide::node::NodeEvent;
use clementinepond_decide::plan::{PlanEffect, PlanEvent};
use clementinepond_decide::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_decide::roster::{
    ListedVm as ListedMember, RosterEffect, RosterEvent, WatchAnswer, WatchChange,
};
use clementinepond_types::{DataCentreId, LocalTime, ObjectVersion};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::future::Future;

const ROSTER_KIND: &str = "roster";
const SHARE_KIND: &str = "share";
const CONFIGURATION_KIND: &str = "configuration";
const WITHDRAWAL_KIND: &str = "withdrawal";
const CLAIM_KIND: &str = "claim";
const VERDICT_KIND: &str = "verdict";
const PLAN_KIND: &str = "plan";
/// Name of objects that exist once in the fleet.
const FLEET_NAME: &str = "fleet";

/// Carries out platform calls in their own tasks and sends the answers to the node task.
#[derive(Debug, Clone)]
pub(crate) struct PlatformWorker {
    pub(crate) client: PlatformClient,
    pub(crate) node: NodeHandle,
    pub(crate) clock: LocalClock,
    pub(crate) data_centre: DataCentreId,
}

impl PlatformWorker {
    fn spawn(&self, work: impl Future<Output = NodeEvent> + Send + 'static) {
        let node = self.node.clone();
        tokio::spawn(async move {
            node.send_event(work.await);
        });
    }

    /// Returns whether an update may still be sent; its deadline may have passed if the process
    /// was paused.
    fn is_due(&self, deadline: LocalTime) -> bool {
        let is_due = self.clock.now() < deadline;
        if !is_due {
            log::warn!("event=update_dropped reason=lapsed");
        }
        is_due
    }

    /// Stores an object unless the deadline has passed.
    ///
    /// An update that is not sent gets the reply `Unknown`, so that the reducer reads the object
    /// again.
    async fn store_before<T: Serialize + DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
        if_version: ObjectVersion,
        value: &T,
        deadline: LocalTime,
    ) -> StoreReply<T> {
        if !self.is_due(deadline) {
            return StoreReply::Unknown;
        }
        self.client.store_reply(kind, name, if_version, value).await
    }

    pub(crate) fn roster(&self, effect: RosterEffect) {
        let worker = self.clone();
        let client = self.client.clone();
        match effect {
            RosterEffect::ReadTable { data_centre } => self.spawn(async move {
                let reply = client.read_reply(ROSTER_KIND, data_centre.as_str()).await;
                NodeEvent::Roster(RosterEvent::TableRead(reply))
            }),
            RosterEffect::StoreTable {
                if_version,
                table,
                deadline,
            } => self.spawn(async move {
                let name = table.data_centre.clone();
                let nonce = table.nonce;
                let reply = worker
                    .store_before(ROSTER_KIND, name.as_str(), if_version, &table, deadline)
                    .await;
                NodeEvent::Roster(RosterEvent::TableStored { nonce, reply })
            }),
            RosterEffect::WatchTables { from } => self.spawn(async move {
                let answer = client.watch_answer(ROSTER_KIND, from).await;
                NodeEvent::Roster(RosterEvent::TablesWatched(answer))
            }),
            RosterEffect::ListTables => self.spawn(async move {
                let answer = client.list_answer(ROSTER_KIND).await;
                NodeEvent::Roster(RosterEvent::TablesWatched(answer))
            }),
            RosterEffect::ReadShares => self.spawn(async move {
                let reply = client.read_reply(SHARE_KIND, FLEET_NAME).await;
                NodeEvent::Roster(RosterEvent::SharesRead(reply))
            }),
            RosterEffect::StoreShares {
                if_version,
                table,
                deadline,
            } => self.spawn(async move {
                let reply = worker
                    .store_before(SHARE_KIND, FLEET_NAME, if_version, &table, deadline)
                    .await;
                NodeEvent::Roster(RosterEvent::SharesStored(reply))
            }),
            RosterEffect::ListVms => self.spawn(async move {
                let listed = client.list_vms().await.ok();
                let members = listed.map(|vms| members(vms, &worker.data_centre));
                NodeEvent::Roster(RosterEvent::VmsListed(members))
            }),
            other => log::error!("event=effect_unknown effect=\"{other:?}\""),
        }
    }

    pub(crate) fn configuration(&self, effect: ConfigurationEffect) {
        let worker = self.clone();
        let client = self.client.clone();
        match effect {
            ConfigurationEffect::ReadContent => self.spawn(async move {
                let reply = client.read_reply(CONFIGURATION_KIND, FLEET_NAME).await;
                let event = ConfigurationEvent::ContentRead(text_reply(reply));
                NodeEvent::Configuration(event)
            }),
            ConfigurationEffect::WatchContent { from } => self.spawn(async move {
                let answer = client.watch_answer(CONFIGURATION_KIND, from).await;
                let event = ConfigurationEvent::ContentWatched(text_answer(answer));
                NodeEvent::Configuration(event)
            }),
            ConfigurationEffect::ListContent => self.spawn(async move {
                let answer = client.list_answer(CONFIGURATION_KIND).await;
                let event = ConfigurationEvent::ContentWatched(text_answer(answer));
                NodeEvent::Configuration(event)
            }),
            ConfigurationEffect::ListRecords => self.spawn(async move {
                let answer = client.list_answer(WITHDRAWAL_KIND).await;
                let event = ConfigurationEvent::RecordWatched(answer);
                NodeEvent::Configuration(event)
            }),
            ConfigurationEffect::ReadRecord => self.spawn(async move {
                let reply = client.read_reply(WITHDRAWAL_KIND, FLEET_NAME).await;
                let event = ConfigurationEvent::RecordRead(reply);
                NodeEvent::Configuration(event)
            }),
            ConfigurationEffect::WatchRecord { from } => self.spawn(async move {
                let answer = client.watch_answer(WITHDRAWAL_KIND, from).await;
                let event = ConfigurationEvent::RecordWatched(answer);
                NodeEvent::Configuration(event)
            }),
            ConfigurationEffect::StoreRecord {
                if_version,
                record,
                deadline,
            } => self.spawn(async move {
                let reply = worker
                    .store_before(WITHDRAWAL_KIND, FLEET_NAME, if_version, &record, deadline)
                    .await;
                let event = ConfigurationEvent::RecordStored(reply);
                NodeEvent::Configuration(event)
            }),
            other => log::error!("event=effect_unknown effect=\"{other:?}\""),
        }
    }

    pub(crate) fn claim(&self, effect: ClaimEffect) {
        let client = self.client.clone();
        match effect {
            ClaimEffect::Read { shard } => self.spawn(async move {
                let reply = client.read_reply(CLAIM_KIND, &shard.to_string()).await;
                NodeEvent::Claim(ClaimEvent::ReadReplied { shard, reply })
            }),
            ClaimEffect::Store {
                shard,
                expected,
                object,
            } => self.spawn(async move {
                let write = object.write;
                let if_version = expected.unwrap_or(ObjectVersion::new(0));
                let reply = client
                    .store_reply(CLAIM_KIND, &shard.to_string(), if_version, &object)
                    .await;
                NodeEvent::Claim(ClaimEvent::StoreReplied {
                    shard,
                    write,
                    reply,
                })
            }),
            other => log::error!("event=effect_unknown effect=\"{other:?}\""),
        }
    }

    pub(crate) fn crash(&self, effect: CrashEffect) {
        let client = self.client.clone();
        match effect {
            CrashEffect::Read => self.spawn(async move {
                let reply = client.read_reply(VERDICT_KIND, FLEET_NAME).await;
                NodeEvent::Crash(CrashEvent::ReadReplied { reply })
            }),
            CrashEffect::Store { expected, object } => self.spawn(async move {
                let if_version = expected.unwrap_or(ObjectVersion::new(0));
                let reply = client
                    .store_reply(VERDICT_KIND, FLEET_NAME, if_version, &object)
                    .await;
                NodeEvent::Crash(CrashEvent::StoreReplied { reply })
            }),
            other => log::error!("event=effect_unknown effect=\"{other:?}\""),
        }
    }

    pub(crate) fn plan(&self, effect: PlanEffect) {
        let client = self.client.clone();
        match effect {
            PlanEffect::Read { data_centre } => self.spawn(async move {
                let reply = client.read_reply(PLAN_KIND, data_centre.as_str()).await;
                NodeEvent::Plan(PlanEvent::ReadReplied { reply })
            }),
            PlanEffect::Store {
                data_centre,
                object,
                if_version,
            } => self.spawn(async move {
                let write = object.write_id();
                let reply = client
                    .store_reply(PLAN_KIND, data_centre.as_str(), if_version, &*object)
                    .await;
                NodeEvent::Plan(PlanEvent::StoreReplied { write, reply })
            }),
            other => log::error!("event=effect_unknown effect=\"{other:?}\""),
        }
    }
}

fn members(vms: Vec<ListedVm>, data_centre: &DataCentreId) -> Vec<ListedMember> {
    vms.into_iter()
        .filter(|vm| vm.data_centre == *data_centre)
        .map(|vm| ListedMember {
            vm: vm.vm,
            state: vm.state,
        })
        .collect()
}

fn text_reply(reply: ReadReply<Value>) -> ReadReply<Box<str>> {
    match reply {
        ReadReply::Found(object) => ReadReply::Found(text_object(object)),
        ReadReply::Missing => ReadReply::Missing,
        ReadReply::Unavailable => ReadReply::Unavailable,
    }
}

fn text_object(object: VersionedObject<Value>) -> VersionedObject<Box<str>> {
    VersionedObject {
        version: object.version,
        value: object.value.to_string().into(),
    }
}

fn text_answer(answer: WatchAnswer<Value>) -> WatchAnswer<Box<str>> {
    match answer {
        WatchAnswer::Changes { version, changes } => WatchAnswer::Changes {
            version,
            changes: changes
                .into_iter()
                .map(|change| WatchChange {
                    name: change.name,
                    object: change.object.map(text_object),
                })
                .collect(),
        },
        WatchAnswer::TooOld => WatchAnswer::TooOld,
        WatchAnswer::Unavailable => WatchAnswer::Unavailable,
    }
}
