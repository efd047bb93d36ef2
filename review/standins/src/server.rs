//! HTTP/1.1 server of the stand-ins.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};

pub type Body = UnsyncBoxBody<Bytes, std::io::Error>;

/// Serves requests on a free port.
pub async fn serve<H, F>(handler: H) -> std::io::Result<(SocketAddrV4, AbortHandle)>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    serve_at(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0), handler).await
}

/// Serves requests at an address; `None` from the handler closes the connection without an
/// answer. Aborting the task closes all connections.
pub async fn serve_at<H, F>(
    address: SocketAddrV4,
    handler: H,
) -> std::io::Result<(SocketAddrV4, AbortHandle)>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let SocketAddr::V4(bound) = listener.local_addr()? else {
        return Err(std::io::Error::other("not an IPv4 address"));
    };
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            connections.spawn(async move {
                let service = service_fn(move |request| {
                    let answered = handler(request);
                    async move { answered.await.ok_or(std::io::Error::other("no answer")) }
                });
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Ok((bound, task.abort_handle()))
}

/// Returns an answer with a body of a known length.
pub fn answer(status: StatusCode, headers: &[(&'static str, &str)], body: &str) -> Response<Body> {
    let body = Full::new(Bytes::from(body.to_owned())).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    for (name, value) in headers {
        response.headers_mut().insert(*name, value.parse().unwrap());
    }
    response
}

pub fn json_answer(status: StatusCode, body: &Value) -> Response<Body> {
    answer(
        status,
        &[("content-type", "application/json")],
        &body.to_string(),
    )
}
