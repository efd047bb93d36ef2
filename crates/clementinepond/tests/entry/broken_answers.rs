//! Answers that are lost, crossed, late or cut.

use crate::support::{Deployment, answer, call_to, whole_stream};
use clementinepond_platform_standin::{CallOutcome, EndpointFaults, send_call};

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_stream_looks_cut() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    deployment.engines[0].set_faults(EndpointFaults {
        break_after: Some(3),
        ..EndpointFaults::default()
    });
    let outcome = send_call(entry.callers, call_to("/chat/cut", Some("m0"))).await;
    let CallOutcome::Broken { body } = outcome else {
        panic!("the cut was hidden: {outcome:?}");
    };
    assert!(
        body.contains("piece 3") && !body.contains("piece 4"),
        "{body}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_goes_on_elsewhere_without_a_gap() {
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
    let (status, body) = answer(send_call(entry.callers, call).await);
    assert_eq!((status, body), (200, whole_stream()));
    assert_eq!(deployment.judge.runs_of(&attempt).len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_not_asked_for_again_unless_that_is_harmless() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    for service in &deployment.services {
        service.set_faults(EndpointFaults {
            lose_answers: true,
            ..EndpointFaults::default()
        });
    }
    let once = call_to("/chat/submit/x", None);
    let attempt = once.attempt.clone();
    let (status, _) = answer(send_call(entry.callers, once).await);
    // It may have run, so the answer must not promise that it has not.
    assert_eq!(status, 502);
    assert_eq!(deployment.judge.runs_of(&attempt).len(), 1);
    let harmless = call_to("/read/x", None);
    let attempt = harmless.attempt.clone();
    let (status, _) = answer(send_call(entry.callers, harmless).await);
    assert_eq!(status, 502);
    assert_eq!(deployment.judge.runs_of(&attempt).len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn anothers_answer_never_reaches_the_caller() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    for service in &deployment.services {
        service.set_faults(EndpointFaults {
            cross_answers: true,
            ..EndpointFaults::default()
        });
    }
    let (status, body) = answer(send_call(entry.callers, call_to("/chat/submit/x", None)).await);
    assert_eq!(status, 502);
    assert!(!body.contains("answer to"), "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_endpoint_costs_a_harmless_request_only_time() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    deployment.services[0].set_faults(EndpointFaults {
        is_silent: true,
        ..EndpointFaults::default()
    });
    for _ in 0..6 {
        let (status, _) = answer(send_call(entry.callers, call_to("/read/x", None)).await);
        assert_eq!(status, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failing_endpoint_is_set_aside() {
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
