//! Client of the platform's object API.

use super::object::{ListedVm, ObjectPage, PlatformObject, VmPage};
use crate::http::{HttpClient, HttpFailure, new_client, read_json, send};
use crate::telemetry::MetricSet;
use bytes::Bytes;
use clementinepond_settings::vm::PlatformSettings;
use clementinepond_types::{ObjectVersion, TimeSpan};
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde_json::Value;
use std::sync::Arc;

/// Reason why a call of the platform failed.
#[derive(Debug, Display, Error, Clone, PartialEq)]
pub(crate) enum PlatformError {
    /// The call failed; an update may have taken effect.
    #[display("platform: {_0}")]
    Failed(HttpFailure),
    /// The platform answered with an unexpected status.
    #[display("platform answered with status {_0}; retry when the platform accepts calls again")]
    Refused(#[error(not(source))] StatusCode),
    /// The object has a version other than expected.
    #[display("the object has changed since it was read; read it again before updating it")]
    Conflict {
        /// Current object; none when it does not exist.
        current: Option<Box<Value>>,
    },
    /// The watch starts from a version that the platform no longer stores.
    #[display("the platform no longer stores the watched version; list the objects again")]
    Gone,
}

/// Client of the platform's object API.
#[derive(Debug, Clone)]
pub(crate) struct PlatformClient {
    client: HttpClient,
    settings: PlatformSettings,
    metrics: Arc<MetricSet>,
}

impl PlatformClient {
    pub(crate) fn new(settings: PlatformSettings, metrics: Arc<MetricSet>) -> Self {
        Self {
            client: new_client(settings.timeout),
            settings,
            metrics,
        }
    }

    /// Reads one object; none when it does not exist.
    pub(crate) async fn read(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<Option<PlatformObject>, PlatformError> {
        let path = object_path(kind, name);
        let response = self.call(Method::GET, &path, Bytes::new()).await?;
        match response.status() {
            StatusCode::OK => self.json(response).await.map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(PlatformError::Refused(status)),
        }
    }

    /// Writes one object if it has version `if_version`; version 0 creates it.
    pub(crate) async fn store<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        if_version: ObjectVersion,
        value: &T,
    ) -> Result<ObjectVersion, PlatformError> {
        let path = format!("{}?if-version={if_version}", object_path(kind, name));
        let body =
            serde_json::to_vec(value).map_err(|_| PlatformError::Failed(HttpFailure::Malformed))?;
        let response = self.call(Method::PUT, &path, body.into()).await?;
        match response.status() {
            StatusCode::OK => {
                let object: PlatformObject = self.json(response).await?;
                Ok(object.version)
            }
            StatusCode::CONFLICT => {
                let current: Option<Box<Value>> = self.json(response).await?;
                Err(PlatformError::Conflict { current })
            }
            status => Err(PlatformError::Refused(status)),
        }
    }

    /// Waits for changes to the objects of a kind after version `from`.
    pub(crate) async fn watch(
        &self,
        kind: &str,
        from: ObjectVersion,
    ) -> Result<ObjectPage, PlatformError> {
        let wait = self.settings.watch_wait;
        let path = format!("/watch/{kind}?from={from}&wait-ms={}", wait.millis());
        let request = self.request(Method::GET, &path, Bytes::new())?;
        let response = send(&self.client, request, wait + self.settings.timeout)
            .await
            .map_err(PlatformError::Failed)?;
        match response.status() {
            StatusCode::OK => self.json(response).await,
            StatusCode::GONE => Err(PlatformError::Gone),
            status => Err(PlatformError::Refused(status)),
        }
    }

    /// Lists the objects of a kind.
    pub(crate) async fn list(&self, kind: &str) -> Result<ObjectPage, PlatformError> {
        let response = self
            .call(Method::GET, &format!("/objects/{kind}"), Bytes::new())
            .await?;
        match response.status() {
            StatusCode::OK => self.json(response).await,
            status => Err(PlatformError::Refused(status)),
        }
    }

    /// Reads the list of VMs, which may be out of date.
    pub(crate) async fn list_vms(&self) -> Result<Vec<ListedVm>, PlatformError> {
        let response = self.call(Method::GET, "/vms", Bytes::new()).await?;
        match response.status() {
            StatusCode::OK => self.json::<VmPage>(response).await.map(|page| page.vms),
            status => Err(PlatformError::Refused(status)),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, PlatformError> {
        let request = self.request(method, path, body)?;
        send(&self.client, request, self.settings.timeout)
            .await
            .map_err(PlatformError::Failed)
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, PlatformError> {
        self.metrics.record_platform_call(call_name(&method, path));
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.settings.address))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|_| PlatformError::Failed(HttpFailure::Malformed))
    }

    async fn json<T: serde::de::DeserializeOwned>(
        &self,
        response: Response<Incoming>,
    ) -> Result<T, PlatformError> {
        let timeout: TimeSpan = self.settings.timeout;
        read_json(response, timeout)
            .await
            .map_err(PlatformError::Failed)
    }
}

fn call_name(method: &Method, path: &str) -> &'static str {
    if path.starts_with("/watch/") {
        "watch"
    } else if *method == Method::GET {
        "read"
    } else {
        "write"
    }
}

fn object_path(kind: &str, name: &str) -> String {
    format!("/objects/{kind}/{}", name.replace('/', "%2F"))
}
