//! Refusals: status, `Retry-After`, and that a refused request has not run.

use crate::support::{Deployment, call_to, expect_answer};
use clementinepond_platform_standin::{CallOutcome, send_call};

#[tokio::test(flavor = "multi_thread")]
async fn disallowed_requests_are_refused_without_a_run() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    let mut unknown_key = call_to("/chat/x", Some("m0"));
    unknown_key.key = Some("another".into());
    let mut no_key = call_to("/chat/x", Some("m0"));
    no_key.key = None;
    let mut other_host = call_to("/chat/x", Some("m0"));
    other_host.host = "other.example".into();
    let mut too_large = call_to("/chat/submit/x", None);
    too_large.body = vec![b'x'; 70_000];
    let cases = [
        (unknown_key, 401),
        (no_key, 401),
        (other_host, 404),
        (call_to("/nowhere/", None), 404),
        (too_large, 413),
        (call_to("/chat/x", Some("never-heard-of")), 503),
    ];
    for (call, expected) in cases {
        let path = call.path.clone();
        assert_eq!(
            expect_answer(send_call(entry.callers, call).await).0,
            expected,
            "{path}"
        );
    }
    assert!(deployment.checker.runs().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_states_retry_after() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    let call = call_to("/chat/x", Some("never-heard-of"));
    let CallOutcome::Answer {
        retry_after,
        is_signed,
        ..
    } = send_call(entry.callers, call).await
    else {
        panic!("a refusal is a complete answer");
    };
    let seconds: f64 = retry_after.unwrap().parse().unwrap();
    assert!(
        seconds > 0.0 && seconds <= 2.0,
        "Retry-After of {seconds} s; expected above 0 s and at most 2 s for a timeout of 4 s"
    );
    assert!(!is_signed);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_over_quota_gets_retry_after() {
    let deployment = Deployment::start(1).await;
    let entry = deployment.entry("vm-1");
    entry.ready().await;
    let mut over = None;
    // Each call costs 200 units; the burst is 100,000 units.
    for _ in 0..40 {
        let calls = (0..40).map(|_| send_call(entry.callers, call_to("/read/x", None)));
        let outcomes = join_all(calls).await;
        over = outcomes.into_iter().find_map(|outcome| match outcome {
            CallOutcome::Answer {
                status,
                retry_after,
                ..
            } if status == 429 => retry_after,
            _ => None,
        });
        if over.is_some() {
            break;
        }
    }
    // The refill of 500 calls per second may keep up; then no call is refused.
    if let Some(text) = over {
        assert!(text.parse::<f64>().unwrap() >= 0.0);
    }
}

async fn join_all<F>(calls: impl Iterator<Item = F>) -> Vec<CallOutcome>
where
    F: Future<Output = CallOutcome> + Send + 'static,
{
    let tasks: Vec<_> = calls.map(tokio::spawn).collect();
    let mut outcomes = Vec::new();
    for task in tasks {
        outcomes.push(task.await.unwrap());
    }
    outcomes
}
