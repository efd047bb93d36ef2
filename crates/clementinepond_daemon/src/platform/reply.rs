//! Conversion of platform answers to the types that the reducers use.

use super::client::{PlatformClient, PlatformError};
use super::object::{ObjectPage, PlatformObject};
use clementinepond_decide::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_decide::roster::{WatchAnswer, WatchChange};
use clementinepond_types::ObjectVersion;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Parses the value of an object; logs an error and returns none if it does not match the type.
fn parse<T: DeserializeOwned>(object: &PlatformObject) -> Option<VersionedObject<T>> {
    match serde_json::from_value(object.value.clone()) {
        Ok(value) => Some(VersionedObject {
            version: object.version,
            value,
        }),
        Err(error) => {
            log::error!(
                "event=object_malformed name={} version={} error=\"{error}\"",
                object.name,
                object.version
            );
            None
        }
    }
}

fn read_reply<T: DeserializeOwned>(
    answer: Result<Option<PlatformObject>, PlatformError>,
) -> ReadReply<T> {
    match answer {
        Ok(Some(object)) => parse(&object).map_or(ReadReply::Unavailable, ReadReply::Found),
        Ok(None) => ReadReply::Missing,
        Err(error) => {
            log::debug!("event=platform_read_failed error=\"{error}\"");
            ReadReply::Unavailable
        }
    }
}

fn watch_answer<T: DeserializeOwned>(answer: Result<ObjectPage, PlatformError>) -> WatchAnswer<T> {
    let page = match answer {
        Ok(page) => page,
        Err(PlatformError::Gone) => return WatchAnswer::TooOld,
        Err(error) => {
            log::debug!("event=platform_watch_failed error=\"{error}\"");
            return WatchAnswer::Unavailable;
        }
    };
    let mut changes = Vec::new();
    for object in page.objects {
        let parsed = if object.value.is_null() {
            None
        } else {
            match parse(&object) {
                Some(parsed) => Some(parsed),
                None => continue,
            }
        };
        changes.push(WatchChange {
            name: object.name,
            object: parsed,
        });
    }
    WatchAnswer::Changes {
        version: page.version,
        changes,
    }
}

impl PlatformClient {
    pub(super) async fn read_reply<T: DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
    ) -> ReadReply<T> {
        read_reply(self.read(kind, name).await)
    }

    pub(super) async fn store_reply<T: Serialize + DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
        if_version: ObjectVersion,
        value: &T,
    ) -> StoreReply<T> {
        match self.store(kind, name, if_version, value).await {
            Ok(version) => StoreReply::Stored { version },
            Err(PlatformError::Conflict { current }) => conflict(current),
            Err(error) => {
                log::debug!("event=platform_write_failed kind={kind} error=\"{error}\"");
                StoreReply::Unknown
            }
        }
    }

    pub(super) async fn watch_answer<T: DeserializeOwned>(
        &self,
        kind: &str,
        from: ObjectVersion,
    ) -> WatchAnswer<T> {
        watch_answer(self.watch(kind, from).await)
    }

    pub(super) async fn list_answer<T: DeserializeOwned>(&self, kind: &str) -> WatchAnswer<T> {
        watch_answer(self.list(kind).await)
    }
}

fn conflict<T: DeserializeOwned>(current: Option<Box<Value>>) -> StoreReply<T> {
    let object = current.and_then(|value| serde_json::from_value::<PlatformObject>(*value).ok());
    match object {
        None => StoreReply::Conflict(None),
        Some(object) => match parse(&object) {
            Some(parsed) => StoreReply::Conflict(Some(parsed)),
            None => StoreReply::Unknown,
        },
    }
}
