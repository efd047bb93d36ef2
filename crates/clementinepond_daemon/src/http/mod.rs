//! HTTP client shared by the edges.

mod http_client;

pub(crate) use http_client::{
    HttpClient, HttpFailure, new_client, new_unpooled_client, read_json, send,
};
