//! Graceful shutdown truncates no answer.

use crate::support::{Deployment, call_to, complete_stream, expect_answer, is_ready};
use clementinepond_platform_standin::{CallOutcome, send_call};
use std::time::Duration;

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_truncates_no_stream() {
    let deployment = Deployment::start(2).await;
    let mut entry = deployment.entry("vm-1");
    entry.ready().await;
    let callers = entry.callers;
    let mut running = Vec::new();
    for _ in 0..6 {
        running.push(tokio::spawn(send_call(
            callers,
            call_to("/chat/run", Some("m0")),
        )));
    }
    tokio::time::sleep(Duration::from_millis(60)).await;
    entry.terminate();
    // Callers keep sending until the process has exited.
    let mut later = Vec::new();
    for _ in 0..50 {
        let call = call_to("/chat/late", Some("m0"));
        let attempt = call.attempt.clone();
        later.push((attempt, tokio::spawn(send_call(callers, call))));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(!is_ready(entry.readiness).await);
    for task in running {
        assert_eq!(expect_answer(task.await.unwrap()), (200, complete_stream()));
    }
    for (attempt, task) in later {
        let runs = deployment.checker.runs_of(&attempt).len();
        match task.await.unwrap() {
            CallOutcome::Answer { status, body, .. } if status == 200 => {
                assert_eq!(body, complete_stream());
            }
            CallOutcome::Answer { status, .. } => {
                assert_eq!(status, 503);
                assert_eq!(runs, 0, "{attempt} was refused but ran");
            }
            CallOutcome::Unreachable | CallOutcome::Closed => assert_eq!(runs, 0),
            other => panic!("{attempt} ended as {other:?}"),
        }
    }
    entry.ended().await;
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
}
