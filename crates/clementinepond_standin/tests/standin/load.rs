//! Tests of the load generator against the stand-ins.

use crate::engine::{options, start};
use clementinepond_standin::engine::EngineOptions;
use clementinepond_standin::fault::FaultRate;
use clementinepond_standin::load::{
    AnswerLength, LengthRange, LoadCaller, LoadForm, LoadOptions, LoadReport, LoadTarget,
    LoadWorkload, plan_requests, run_load,
};
use clementinepond_standin::service::{ServiceOptions, ServiceServer};
use clementinepond_types::TimeSpan;
use std::net::SocketAddr;
use tokio_util::sync::CancellationToken;

fn workload(form: LoadForm, stream: bool) -> LoadWorkload {
    LoadWorkload {
        form,
        weight: 1,
        prompt_bytes: LengthRange {
            least: 10,
            most: 400,
        },
        max_tokens: LengthRange { least: 1, most: 30 },
        stream,
        keyed: true,
    }
}

fn load_options(target: SocketAddr) -> LoadOptions {
    let caller = |name: &str, weight| LoadCaller {
        name: name.into(),
        key: format!("key-{name}").into(),
        weight,
    };
    LoadOptions {
        targets: vec![target],
        callers: vec![caller("a", 3), caller("b", 1)],
        models: vec![LoadTarget {
            model: "m".into(),
            versions: vec!["v0".into(), "v1".into()],
            weight: 1,
        }],
        workloads: vec![
            workload(LoadForm::Chat, true),
            workload(LoadForm::Completion, false),
        ],
        rate: 400.0,
        duration: TimeSpan::from_millis(250),
        seed: 5,
        answer_length: Some(AnswerLength {
            seed: 1,
            shortest: 2,
            longest: 20,
        }),
        ..LoadOptions::default()
    }
}

async fn run(fault: impl FnOnce(&mut clementinepond_standin::engine::EngineFaults)) -> LoadReport {
    let options = EngineOptions {
        shortest_answer: 2,
        longest_answer: 20,
        ..options()
    };
    let (server, _client, _guard) = start(options).await;
    server.set_faults(fault);
    run_load(load_options(server.address()), CancellationToken::new()).await
}

#[test]
fn plan_is_determined_by_seed() {
    let options = load_options(([127, 0, 0, 1], 1).into());
    let plan = |seed| {
        let mut plan = plan_requests(&LoadOptions {
            seed,
            ..options.clone()
        });
        // Idempotency keys contain the time at which they were drawn.
        plan.iter_mut().for_each(|request| request.key = None);
        plan
    };
    assert_eq!(plan(5), plan(5));
    assert_ne!(plan(5), plan(6));
    assert!(plan(5).len() > 50);
}

#[tokio::test]
async fn correct_answers_are_counted() {
    let report = run(|_| {}).await;
    assert!(report.planned > 50);
    assert_eq!(
        (report.sent, report.answered),
        (report.planned, report.planned)
    );
    assert_eq!(report.by_status.get(&200), Some(&report.planned));
    assert_eq!(report.whole.count, report.planned);
    assert!(report.first_token.count > 0 && report.between_tokens.count > 0);
    assert!(report.by_caller["a"].sent > report.by_caller["b"].sent);
    assert!(report.by_caller["b"].tokens > 0);
    let json = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<LoadReport>(&json).unwrap(), report);
}

#[tokio::test]
async fn wrong_answers_are_counted() {
    let report = run(|faults| faults.crossed_answers = FaultRate::next(5)).await;
    assert_eq!(report.wrong, 5);
    let report = run(|faults| {
        faults.turn_after_tokens = 0;
        faults.crossed_streams = FaultRate::always();
    })
    .await;
    assert_eq!(report.wrong, report.first_token.count);
    assert!(report.wrong > 0);
}

#[tokio::test]
async fn incomplete_broken_and_refused_answers_are_counted() {
    let report = run(|faults| {
        faults.turn_after_tokens = 0;
        faults.truncated_streams = FaultRate::always();
    })
    .await;
    assert!(report.incomplete > 0);
    assert_eq!(report.incomplete + report.answered, report.planned);
    let report = run(|faults| faults.resets_after_run = FaultRate::next(4)).await;
    assert_eq!(report.broken, 4);
    let report = run(|faults| faults.refusals = FaultRate::next(3)).await;
    assert_eq!(report.by_status.get(&503), Some(&3));
}

#[tokio::test]
async fn echoes_of_services_are_checked() {
    let cancel = CancellationToken::new();
    let _guard = cancel.clone().drop_guard();
    let service = ServiceServer::start(ServiceOptions::default(), cancel.clone());
    let service = service.await.unwrap();
    service.set_faults(|faults| faults.crossed_answers = FaultRate::next(2));
    let form = LoadForm::Service {
        path: "/attendance".into(),
    };
    let options = LoadOptions {
        workloads: vec![workload(form, false)],
        ..load_options(service.address())
    };
    let report = run_load(options, cancel).await;
    assert_eq!((report.wrong, report.answered), (2, report.planned - 2));
    let record = service.record();
    assert!(record.runs_by_body().values().all(|runs| *runs == 1));
    let call = &record.calls()[0];
    assert!(
        call.header("authorization")
            .unwrap()
            .starts_with("Bearer key-")
    );
    assert!(call.header("idempotency-key").is_some());
}
