//! Readiness and metrics endpoints.

use super::answer_body::AnswerBody;
use crate::clock::BootClock;
use crate::http::tune_socket;
use crate::node::{EntryNode, LATENCY_BOUNDS_MS};
use crate::peer::TrafficKind;
use clementinepond_platform::READINESS_PATH;
use clementinepond_types::TimeSpan;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::fmt::Write;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Serves the load balancer's readiness probe until the VM stops.
pub(crate) async fn serve_readiness(
    node: Rc<EntryNode>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let answer = |node: &EntryNode, path: &str| {
        let status = if path != READINESS_PATH {
            StatusCode::NOT_FOUND
        } else if node.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        (status, String::new())
    };
    serve_simple(node, listener, stop, answer).await;
}

/// Serves the metrics as text until the VM stops.
pub(crate) async fn serve_metrics(
    node: Rc<EntryNode>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let answer = |node: &EntryNode, _: &str| (StatusCode::OK, metrics_text(node));
    serve_simple(node, listener, stop, answer).await;
}

/// Serves a listener whose answers depend on the path only.
async fn serve_simple(
    node: Rc<EntryNode>,
    listener: TcpListener,
    stop: CancellationToken,
    answer: impl Fn(&EntryNode, &str) -> (StatusCode, String) + Copy + 'static,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        tune_socket(&stream);
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (status, text) = answer(&node, request.uri().path());
                let mut response = Response::new(AnswerBody::complete(text));
                *response.status_mut() = status;
                std::future::ready(Ok::<_, Infallible>(response))
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::trace!("event=probe_ended error=\"{error}\"");
            }
        });
    }
}

/// Appends the bytes sent to peers, by type of message.
fn write_traffic(node: &EntryNode, text: &mut String) {
    let Some(socket) = node.socket.get() else {
        return;
    };
    let name = "clementinepond_peer_bytes_sent_total";
    // Writing to a string cannot fail.
    let _ = writeln!(text, "# TYPE {name} counter");
    for kind in TrafficKind::ALL {
        let bytes = socket.traffic.bytes(kind);
        let _ = writeln!(text, "{name}{{message=\"{}\"}} {bytes}", kind.name());
    }
    let name = "clementinepond_peer_datagrams_dropped_total";
    let _ = writeln!(
        text,
        "# TYPE {name} counter\n{name} {}",
        socket.traffic.dropped.get()
    );
}

/// Returns the metrics in the Prometheus text format.
fn metrics_text(node: &EntryNode) -> String {
    let stats = &node.stats;
    let mut text = String::with_capacity(2_048);
    let counters: [(&str, &Cell<u64>); 10] = [
        ("requests_answered_total", &stats.answered),
        ("requests_failed_total", &stats.failed),
        ("requests_refused_total", &stats.refused),
        ("requests_repeated_total", &stats.retries),
        ("requests_forwarded_total", &stats.forwarded),
        ("callers_left_total", &stats.caller_left),
        ("store_calls_total", &stats.store_calls),
        ("orders_total", &stats.orders),
        ("stream_origins_dropped_total", &stats.origins_dropped),
        ("suspects_blocked_total", &stats.suspects_blocked),
    ];
    // Writing to a string cannot fail.
    for (name, value) in counters {
        let _ = writeln!(
            text,
            "# TYPE clementinepond_{name} counter\nclementinepond_{name} {}",
            value.get()
        );
    }
    let name = "clementinepond_first_byte_ms";
    let _ = writeln!(text, "# TYPE {name} histogram");
    let mut total = 0;
    for (index, bucket) in stats.first_byte.buckets.iter().enumerate() {
        total += bucket.get();
        let bound = LATENCY_BOUNDS_MS
            .get(index)
            .map_or("+Inf".to_owned(), u64::to_string);
        let _ = writeln!(text, "{name}_bucket{{le=\"{bound}\"}} {total}");
    }
    let _ = writeln!(
        text,
        "{name}_sum {}\n{name}_count {total}",
        stats.first_byte.sum_ms.get()
    );
    let state = node.state.borrow();
    let now = BootClock::now();
    let holds = state
        .lease
        .as_ref()
        .is_some_and(|lease| lease.fence(now).is_some());
    let _ = writeln!(
        text,
        "clementinepond_configuration_version {}",
        state.configuration_version()
    );
    let behind = state
        .newer_configuration_since
        .map_or(TimeSpan::ZERO, |since| now.since(since));
    let _ = writeln!(
        text,
        "clementinepond_configuration_behind_ms {}",
        behind.millis()
    );
    write_traffic(node, &mut text);
    let _ = writeln!(
        text,
        "clementinepond_endpoints {}",
        state.directory.all().count()
    );
    let _ = writeln!(text, "clementinepond_placement_duty {}", u8::from(holds));
    text
}
