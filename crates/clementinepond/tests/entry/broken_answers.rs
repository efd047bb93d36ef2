//! Answers that are lost, swapped, truncated or never sent.

use crate::support::{Deployment, call_to, complete_stream, expect_answer};
use clementinepond_platform_standin::{CallOutcome, EndpointFaults, send_call};

#[tokio::test(flavor = "multi_thread")]
async fn truncated_stream_reaches_caller_as_broken() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    deployment.engines[0].set_faults(EndpointFaults {
        break_after: Some(3),
        ..EndpointFaults::default()
    });
    let outcome = send_call(entry.callers, call_to("/chat/cut", Some("m0"))).await;
    let CallOutcome::Broken { body } = outcome else {
        panic!("the truncated stream did not end as broken: {outcome:?}");
    };
    assert!(
        body.contains("piece 3") && !body.contains("piece 4"),
        "{body}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn resumable_stream_continues_on_another_endpoint_without_gap() {
    let deployment = Deployment::start(2).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    for engine in &deployment.engines {
        engine.set_faults(EndpointFaults {
            break_after: Some(3),
            ..EndpointFaults::default()
        });
    }
    let call = call_to("/batch/cut", Some("m0"));
    let attempt = call.attempt.clone();
    let (status, body) = expect_answer(send_call(entry.callers, call).await);
    assert_eq!((status, body), (200, complete_stream()));
    assert_eq!(deployment.checker.runs_of(&attempt).len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_retried_only_on_repeatable_route() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    for service in &deployment.services {
        service.set_faults(EndpointFaults {
            lose_answers: true,
            ..EndpointFaults::default()
        });
    }
    let single_run = call_to("/chat/submit/x", None);
    let attempt = single_run.attempt.clone();
    let (status, _) = expect_answer(send_call(entry.callers, single_run).await);
    // The request may have run, so the answer must not be a 503, which states that it did not.
    assert_eq!(status, 502);
    assert_eq!(deployment.checker.runs_of(&attempt).len(), 1);
    let repeatable = call_to("/read/x", None);
    let attempt = repeatable.attempt.clone();
    let (status, _) = expect_answer(send_call(entry.callers, repeatable).await);
    assert_eq!(status, 502);
    assert_eq!(deployment.checker.runs_of(&attempt).len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_of_another_request_is_not_forwarded() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    for service in &deployment.services {
        service.set_faults(EndpointFaults {
            cross_answers: true,
            ..EndpointFaults::default()
        });
    }
    let (status, body) =
        expect_answer(send_call(entry.callers, call_to("/chat/submit/x", None)).await);
    assert_eq!(status, 502);
    assert!(!body.contains("answer to"), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn repeatable_request_succeeds_despite_silent_endpoint() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    deployment.services[0].set_faults(EndpointFaults {
        is_silent: true,
        ..EndpointFaults::default()
    });
    for _ in 0..6 {
        let (status, _) = expect_answer(send_call(entry.callers, call_to("/read/x", None)).await);
        assert_eq!(status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn failing_endpoint_is_ejected() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    deployment.services[0].set_faults(EndpointFaults {
        fail: true,
        ..EndpointFaults::default()
    });
    for _ in 0..30 {
        send_call(entry.callers, call_to("/chat/submit/x", None)).await;
    }
    assert!(entry.has_logged("event=endpoint_ejected endpoint=files-0"));
}
