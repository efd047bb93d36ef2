//! Requests that reach their endpoint through a peer, and what a VM without links to the
//! endpoints tells the others.

use crate::cut_support::{LinkedVm, linked_vms, linked_vms_to};
use crate::cut_vms::{call_each, served};
use crate::support::{
    Deployment, call_to, complete_stream, endpoint_options, expect_answer, wait_until,
};
use clementinepond_platform_standin::{
    CallOutcome, EndpointFaults, LinkFault, RawStep, raw_head, send_call,
};
use std::time::{Duration, Instant};

/// Interval between the events of a slow stream.
const SLOW_EVENT: Duration = Duration::from_millis(250);

/// Cuts a VM off and waits until it forwards requests.
async fn cut_off(vm: &LinkedVm, fault: LinkFault) {
    vm.cut(Some(fault));
    let until = Instant::now() + Duration::from_secs(20);
    while !vm.entry.has_logged("event=endpoints_cut is_cut=true") {
        assert!(Instant::now() < until, "the VM does not notice its cut");
        let calls = [("/read/x", None), ("/batch/x", Some("m0"))]
            .map(|(path, model)| send_call(vm.entry.callers, call_to(path, model)));
        let [one, other] = calls;
        tokio::join!(one, other);
    }
}

/// Starts two VMs of which the first is cut off.
async fn cut_pair(deployment: &Deployment) -> Vec<LinkedVm> {
    let vms = linked_vms(deployment, &["dc-a", "dc-a"]).await;
    cut_off(&vms[0], LinkFault::CutRefused).await;
    vms
}

/// Cuts the first VMs off while they serve requests, and checks that none takes an endpoint
/// for crashed and that the others eject none.
async fn check_views(vms: &[LinkedVm], cut: usize) {
    for fault in [LinkFault::CutReset, LinkFault::CutHanging] {
        let cutting = async {
            tokio::time::sleep(Duration::from_secs(1)).await;
            for vm in &vms[..cut] {
                vm.cut(Some(fault));
            }
        };
        tokio::join!(call_each(vms, Duration::from_secs(5)), cutting);
        for vm in &vms[..cut] {
            vm.cut(None);
        }
        call_each(vms, Duration::from_secs(2)).await;
    }
    for (number, vm) in vms.iter().enumerate() {
        let has_logged = |event: &str| vm.entry.has_logged(&format!("event={event}"));
        assert!(!has_logged("endpoint_crashed"), "VM {number}");
        assert!(!has_logged("suspect_blocked"), "VM {number}");
        assert!(
            number < cut || !has_logged("endpoint_ejected"),
            "VM {number}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_vm_misleads_no_peer_about_endpoints() {
    let deployment = Deployment::start(2).await;
    let vms = linked_vms(&deployment, &["dc-a", "dc-a", "dc-b"]).await;
    check_views(&vms, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn most_vms_cut_off_mislead_no_peer_about_endpoints() {
    let deployment = Deployment::start(2).await;
    let vms = linked_vms(&deployment, &["dc-a", "dc-a", "dc-b", "dc-b"]).await;
    check_views(&vms, 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_uses_its_own_links_again_after_a_cut() {
    let deployment = Deployment::start(2).await;
    let vms = cut_pair(&deployment).await;
    vms[0].cut(None);
    wait_until("the VM reaches endpoints", || {
        vms[0].entry.has_logged("event=endpoints_cut is_cut=false")
    })
    .await;
    let name = "clementinepond_requests_forwarded_total";
    let before = vms[0].entry.metric(name).await;
    let outcomes = call_each(&vms, Duration::from_secs(2)).await;
    assert_eq!(served(&outcomes[0]), outcomes[0].len());
    assert_eq!(vms[0].entry.metric(name).await, before);
}

#[tokio::test(flavor = "multi_thread")]
async fn forwarded_run_ends_when_its_caller_disconnects() {
    let deployment = Deployment::start(2).await;
    let vms = cut_pair(&deployment).await;
    for engine in &deployment.engines {
        engine.set_event_delay(SLOW_EVENT);
    }
    let call = send_call(vms[0].entry.callers, call_to("/batch/x", Some("m0")));
    let left = tokio::time::timeout(Duration::from_millis(700), call).await;
    assert!(left.is_err(), "the stream takes 2 s");
    let ended = Instant::now() + Duration::from_millis(500);
    while deployment.checker.in_flight_runs() > 0 {
        assert!(Instant::now() < ended, "the run goes on after 500 ms");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn vms_that_are_all_cut_off_refuse_and_pass_no_request_around() {
    let deployment = Deployment::start(2).await;
    let vms = linked_vms(&deployment, &["dc-a", "dc-a", "dc-b"]).await;
    let runs = deployment.checker.runs().len();
    for vm in &vms {
        vm.cut(Some(LinkFault::CutRefused));
    }
    let outcomes = call_each(&vms, Duration::from_secs(3)).await;
    for outcome in outcomes.iter().flatten() {
        let (status, _) = expect_answer(outcome.clone());
        assert_eq!(status, 503);
    }
    assert_eq!(deployment.checker.runs().len(), runs);
    let mut sent = 0;
    for vm in &vms {
        sent += vm
            .entry
            .metric("clementinepond_requests_forwarded_total")
            .await;
    }
    assert_eq!(sent, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn placement_lease_leaves_a_cut_vm() {
    let deployment = Deployment::start(2).await;
    let vms = linked_vms(&deployment, &["dc-a", "dc-a"]).await;
    let acquired = "event=duty_acquired";
    wait_until("a VM holds the lease", || {
        vms.iter().any(|vm| vm.entry.has_logged(acquired))
    })
    .await;
    let holder = vms.iter().position(|vm| vm.entry.has_logged(acquired));
    let holder = holder.unwrap();
    cut_off(&vms[holder], LinkFault::CutHanging).await;
    wait_until("the other VM holds the lease", || {
        vms[1 - holder].entry.has_logged(acquired)
    })
    .await;
    // The adapter is loaded by an order of the new holder.
    let call = call_to("/batch/x", Some("m0/a1"));
    let mut outcome = send_call(vms[holder].entry.callers, call.clone()).await;
    let until = Instant::now() + Duration::from_secs(10);
    while expect_answer(outcome.clone()).0 != 200 {
        assert!(Instant::now() < until, "{outcome:?}");
        let again = call_to("/batch/x", Some("m0/a1"));
        outcome = send_call(vms[holder].entry.callers, again).await;
    }
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_cut_by_the_end_of_its_forwarder_is_not_complete() {
    let deployment = Deployment::start(1).await;
    let options = endpoint_options("files", "files-raw", &[]);
    let raw = deployment
        .raw_endpoint(options, |request| {
            vec![
                RawStep::Write(raw_head(request, "Connection: close\r\n")),
                RawStep::Write(b"first half, ".to_vec()),
                RawStep::Pause(Duration::from_secs(1)),
                RawStep::Write(b"second half".to_vec()),
                RawStep::Close,
            ]
        })
        .await;
    for service in &deployment.services {
        service.drain();
    }
    let endpoints = [raw.address(), deployment.engines[0].address()];
    let mut vms = linked_vms_to(&deployment, &endpoints, &["dc-a", "dc-a"]).await;
    cut_off(&vms[0], LinkFault::CutRefused).await;
    let whole = send_call(vms[0].entry.callers, call_to("/read/x", None)).await;
    assert_eq!(expect_answer(whole).1, "first half, second half");
    let callers = vms[0].entry.callers;
    let call = tokio::spawn(send_call(callers, call_to("/chat/submit/x", None)));
    tokio::time::sleep(Duration::from_millis(400)).await;
    // Ends the process.
    drop(vms.remove(1));
    let outcome = call.await.unwrap();
    assert!(
        !matches!(&outcome, CallOutcome::Answer { status, .. } if *status == 200),
        "{outcome:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_forwarder_cuts_no_request() {
    let deployment = Deployment::start(2).await;
    let mut vms = linked_vms(&deployment, &["dc-a", "dc-a", "dc-a"]).await;
    cut_off(&vms[0], LinkFault::CutRefused).await;
    for engine in &deployment.engines {
        // The streams last longer than the notice of a stop, and may not be resumed.
        engine.set_event_delay(Duration::from_millis(400));
    }
    let callers = vms[0].entry.callers;
    let calls: Vec<_> = (0..80)
        .map(|number: u64| async move {
            tokio::time::sleep(Duration::from_millis(number * 50)).await;
            send_call(callers, call_to("/chat/x", Some("m0"))).await
        })
        .map(tokio::spawn)
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    vms[1].entry.terminate();
    for call in calls {
        let (status, body) = expect_answer(call.await.unwrap());
        assert_eq!((status, body), (200, complete_stream()));
    }
    vms[1].entry.ended().await;
    assert!(!vms[1].entry.has_logged("event=stop_incomplete"));
}

#[tokio::test(flavor = "multi_thread")]
async fn quota_of_forwarded_requests_is_counted_once() {
    let deployment = Deployment::start(2).await;
    let vms = cut_pair(&deployment).await;
    let admitted = || -> f64 {
        let line = vms[0].entry.last_logged("event=quota_refused", "level=");
        let line = line.unwrap_or_default();
        let level = line
            .split("level=")
            .nth(1)
            .and_then(|rest| rest.split(' ').next());
        level.and_then(|text| text.parse().ok()).unwrap_or(f64::NAN)
    };
    // The burst of 100,000 units allows 500 calls; the rate 500 more each second.
    let started = Instant::now();
    let calls: Vec<_> = (0..700)
        .map(|_| tokio::spawn(send_call(vms[0].entry.callers, call_to("/read/x", None))))
        .collect();
    let mut served = 0;
    for call in calls {
        served += usize::from(matches!(call.await.unwrap(),
            CallOutcome::Answer { status, .. } if status == 200));
    }
    let refilled = (started.elapsed().as_secs_f64() * 500.0) as usize;
    assert!(
        served >= 450,
        "{served} calls served within the burst of 500, {refilled} refilled; level {}",
        admitted()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoints_silent_for_a_second_and_a_half_lose_no_stream() {
    let deployment = Deployment::start(1).await;
    let vms = linked_vms(&deployment, &["dc-a"]).await;
    deployment.engines[0].set_event_delay(SLOW_EVENT);
    let callers = vms[0].entry.callers;
    let calls: Vec<_> = (0..4)
        .map(|_| tokio::spawn(send_call(callers, call_to("/chat/x", Some("m0")))))
        .collect();
    tokio::time::sleep(Duration::from_millis(600)).await;
    vms[0].cut(Some(LinkFault::CutHanging));
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    vms[0].cut(None);
    for call in calls {
        let (status, body) = expect_answer(call.await.unwrap());
        assert_eq!((status, body), (200, complete_stream()));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn failing_endpoint_is_still_ejected_everywhere() {
    let deployment = Deployment::start(3).await;
    let vms = linked_vms(&deployment, &["dc-a", "dc-a"]).await;
    deployment.engines[0].set_faults(EndpointFaults {
        lose_answers: true,
        ..EndpointFaults::default()
    });
    call_each(&vms, Duration::from_secs(3)).await;
    for vm in &vms {
        assert!(
            vm.entry
                .has_logged("event=endpoint_ejected endpoint=engines-0")
        );
    }
}
