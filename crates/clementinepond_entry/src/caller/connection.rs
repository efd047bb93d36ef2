//! Connections from callers.

use super::serve_request::serve_request;
use crate::http::tune_caller_socket;
use crate::node::EntryNode;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Time added to the configured idle timeout, so that a connection is never closed on a
/// caller that sends within the timeout.
const IDLE_SLACK: Duration = Duration::from_secs(2);
/// Delay after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Stages of a graceful shutdown.
#[derive(Debug, Clone)]
pub(crate) struct StopStages {
    /// No connections are accepted and idle ones are closed; requests in flight complete.
    pub(crate) draining: CancellationToken,
    /// All connections are closed and all tasks end.
    pub(crate) ended: CancellationToken,
}

/// Accepts callers' connections until the VM is draining.
pub(crate) async fn serve_callers(
    node: Rc<EntryNode>,
    listener: TcpListener,
    stages: StopStages,
    tracker: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            // Refused connections make callers use another VM.
            () = stages.draining.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let served = serve_connection(Rc::clone(&node), stream, stages.clone());
                tracker.spawn_local(served);
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(node: Rc<EntryNode>, stream: TcpStream, stages: StopStages) {
    tune_caller_socket(&stream);
    let limits = node
        .table()
        .map(|table| table.policy().limits.clone())
        .unwrap_or_default();
    let idle = limits.idle_timeout.duration() + limits.header_timeout.duration() + IDLE_SLACK;
    let service = service_fn(move |request| {
        let node = Rc::clone(&node);
        async move { Ok::<_, Infallible>(serve_request(node, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size((limits.header_bytes * 2).max(64 * 1024))
        .pipeline_flush(true);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut is_draining = false;
    loop {
        tokio::select! {
            served = connection.as_mut() => {
                if let Err(error) = served {
                    log::trace!("event=caller_connection_ended error=\"{error}\"");
                }
                return;
            }
            () = stages.draining.cancelled(), if !is_draining => {
                is_draining = true;
                connection.as_mut().graceful_shutdown();
            }
            () = stages.ended.cancelled() => return,
        }
    }
}
