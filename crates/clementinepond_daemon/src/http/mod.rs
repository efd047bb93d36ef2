//! HTTP client for calls to endpoints and the platform.

mod http_client;

pub(crate) use http_client::{
    HttpClient, HttpFailure, new_client, new_unpooled_client, read_json, send,
};
