//! Streams and other answers that end before they are complete, in every framing.

use crate::support::{
    Deployment, HOST, KEY, call_to, complete_stream, endpoint_options, expect_answer, stream_events,
};
use clementinepond_platform_standin::{
    CallOutcome, RawEndpoint, RawRequest, RawStep, raw_head, send_call,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Framings of an answer's body.
const FRAMINGS: [Framing; 3] = [Framing::Connection, Framing::Chunks, Framing::Length];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Connection,
    Chunks,
    Length,
}

/// Returns an answer that is complete by its framing.
fn framed(framing: Framing, request: &RawRequest, body: &str) -> Vec<RawStep> {
    let length = body.len();
    let (more, body) = match framing {
        Framing::Connection => (String::new(), body.to_owned()),
        Framing::Chunks => (
            "Transfer-Encoding: chunked\r\n".to_owned(),
            format!("{length:x}\r\n{body}\r\n0\r\n\r\n"),
        ),
        Framing::Length => (format!("Content-Length: {length}\r\n"), body.to_owned()),
    };
    let mut bytes = raw_head(request, &more);
    bytes.extend_from_slice(body.as_bytes());
    vec![RawStep::Write(bytes), RawStep::Close]
}

/// Starts an engine whose streams end within their fourth event, unless they resume.
async fn truncating_engine(deployment: &Deployment, id: &str, framing: Framing) -> RawEndpoint {
    let options = endpoint_options("engines", id, &["m0"]);
    let script = move |request: &RawRequest| {
        let body = match request.resume_after {
            0 => format!("{}id: 4\ndata: pie", stream_events(1..=3)),
            last => stream_events(last + 1..=8),
        };
        framed(framing, request, &body)
    };
    deployment.raw_endpoint(options, script).await
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_that_ends_within_an_event_is_not_framed_as_complete() {
    for framing in FRAMINGS {
        let deployment = Deployment::start(0).await;
        let _engine = truncating_engine(&deployment, "raw-0", framing).await;
        let entry = deployment.entry("vm-1");
        entry.ready().await;
        let outcome = send_call(entry.callers, call_to("/chat/cut", Some("m0"))).await;
        let CallOutcome::Broken { body } = outcome else {
            panic!("framed by {framing:?}, the stream did not end as broken: {outcome:?}");
        };
        assert!(body.starts_with(&stream_events(1..=3)), "{body}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn resumable_stream_that_ends_within_an_event_goes_on_at_another_endpoint() {
    for framing in FRAMINGS {
        let deployment = Deployment::start(0).await;
        let _first = truncating_engine(&deployment, "raw-0", framing).await;
        let _second = truncating_engine(&deployment, "raw-1", framing).await;
        let entry = deployment.entry("vm-1");
        entry.ready().await;
        let call = call_to("/batch/cut", Some("m0"));
        let attempt = call.attempt.clone();
        let (status, body) = expect_answer(send_call(entry.callers, call).await);
        assert_eq!((status, body), (200, complete_stream()), "{framing:?}");
        assert_eq!(deployment.checker.runs_of(&attempt).len(), 2);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unframed_stream_without_any_event_is_not_framed_as_complete() {
    let deployment = Deployment::start(0).await;
    let options = endpoint_options("engines", "raw-0", &["m0"]);
    let script = |request: &RawRequest| framed(Framing::Connection, request, "");
    let _engine = deployment.raw_endpoint(options, script).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    let outcome = send_call(entry.callers, call_to("/chat/cut", Some("m0"))).await;
    assert!(matches!(outcome, CallOutcome::Broken { .. }), "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn unframed_stream_that_ends_between_events_is_complete() {
    let deployment = Deployment::start(0).await;
    let options = endpoint_options("engines", "raw-0", &["m0"]);
    let script = |request: &RawRequest| framed(Framing::Connection, request, &stream_events(1..=8));
    let _engine = deployment.raw_endpoint(options, script).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    for path in ["/chat/whole", "/batch/whole"] {
        let outcome = send_call(entry.callers, call_to(path, Some("m0"))).await;
        assert_eq!(expect_answer(outcome), (200, complete_stream()), "{path}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unframed_answer_that_is_reset_is_not_complete() {
    let deployment = Deployment::start(0).await;
    let reset = |request: &RawRequest| {
        let mut bytes = raw_head(request, "");
        bytes.extend_from_slice(stream_events(1..=3).as_bytes());
        let pause = std::time::Duration::from_millis(100);
        vec![RawStep::Write(bytes), RawStep::Pause(pause), RawStep::Reset]
    };
    let options = endpoint_options("engines", "raw-0", &["m0"]);
    let _engine = deployment.raw_endpoint(options, reset).await;
    let options = endpoint_options("files", "raw-1", &[]);
    let _service = deployment.raw_endpoint(options, reset).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    let outcome = send_call(entry.callers, call_to("/chat/cut", Some("m0"))).await;
    assert!(matches!(outcome, CallOutcome::Broken { .. }), "{outcome:?}");
    for _ in 0..8 {
        let call = call_to("/chat/submit/x", None);
        let attempt = call.attempt.clone();
        let (status, _) = expect_answer(send_call(entry.callers, call).await);
        let runs = deployment.checker.runs_of(&attempt);
        let is_reset = runs.iter().any(|run| run.endpoint == "raw-1");
        assert_eq!(status, if is_reset { 502 } else { 200 });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn overlong_event_is_not_joined_with_that_of_another_endpoint() {
    let deployment = Deployment::start(0).await;
    let script = |request: &RawRequest| {
        let events = match request.resume_after {
            0 => format!(
                "{}id: 4\ndata: {}",
                stream_events(1..=3),
                "x".repeat(2 << 20)
            ),
            last => stream_events(last + 1..=8),
        };
        framed(Framing::Connection, request, &events)
    };
    let options = |id| endpoint_options("engines", id, &["m0"]);
    let _first = deployment.raw_endpoint(options("raw-0"), script).await;
    let _second = deployment.raw_endpoint(options("raw-1"), script).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    let outcome = send_call(entry.callers, call_to("/batch/cut", Some("m0"))).await;
    assert_eq!(expect_answer(outcome), (200, complete_stream()));
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_over_http_1_0_whose_break_would_look_complete_is_refused() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    let mut stream = TcpStream::connect(entry.callers).await.unwrap();
    let request = format!(
        "POST /chat/old HTTP/1.0\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\
         Clementinepond-Attempt-Id: old-1\r\nClementinepond-Model-Name: m0\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.contains(" 400 "), "{answer}");
    assert!(deployment.checker.runs_of("old-1").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_whose_events_have_no_ids_is_not_begun_again_after_a_break() {
    let deployment = Deployment::start(0).await;
    let script = |request: &RawRequest| {
        framed(
            Framing::Connection,
            request,
            "data: one\n\ndata: two\n\ndata: th",
        )
    };
    let options = |id| endpoint_options("engines", id, &["m0"]);
    let _first = deployment.raw_endpoint(options("raw-0"), script).await;
    let _second = deployment.raw_endpoint(options("raw-1"), script).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    let outcome = send_call(entry.callers, call_to("/batch/cut", Some("m0"))).await;
    let body = "data: one\n\ndata: two\n\n".to_owned();
    assert_eq!(outcome, CallOutcome::Broken { body });
}
