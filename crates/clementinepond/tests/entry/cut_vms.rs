//! VMs that are cut off from all endpoints, while callers, the store and the other VMs
//! reach them.

use crate::crash_support::is_served;
use crate::cut_support::{LinkedVm, linked_vms};
use crate::support::{Deployment, call_to};
use clementinepond_platform_standin::{CallOutcome, LinkFault, send_call};
use std::time::Duration;

/// Time from the start of a cut until callers of the VM must be served as well as others'.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// Interval between calls to a VM.
const CALL_INTERVAL: Duration = Duration::from_millis(50);
/// All kinds of cuts.
const CUTS: [LinkFault; 3] = [
    LinkFault::CutHanging,
    LinkFault::CutReset,
    LinkFault::CutRefused,
];

/// Sends calls of all kinds to each VM for a time; returns the outcomes by VM.
pub(crate) async fn call_each(vms: &[LinkedVm], time: Duration) -> Vec<Vec<CallOutcome>> {
    let routes = [
        ("/read/x", None),
        ("/batch/x", Some("m0")),
        ("/chat/submit/x", None),
        ("/chat/x", Some("m0")),
    ];
    let count = (time.as_millis() / CALL_INTERVAL.as_millis()) as usize;
    let mut ticks = tokio::time::interval(CALL_INTERVAL);
    let mut calls: Vec<Vec<_>> = vms.iter().map(|_| Vec::new()).collect();
    for number in 0..count {
        ticks.tick().await;
        let (path, model) = routes[number % routes.len()];
        for (vm, calls) in vms.iter().zip(&mut calls) {
            let call = send_call(vm.entry.callers, call_to(path, model));
            calls.push(tokio::spawn(call));
        }
    }
    let mut outcomes = Vec::new();
    for calls in calls {
        let mut of_vm = Vec::new();
        for call in calls {
            of_vm.push(call.await.unwrap());
        }
        outcomes.push(of_vm);
    }
    outcomes
}

pub(crate) fn served(outcomes: &[CallOutcome]) -> usize {
    outcomes.iter().filter(|outcome| is_served(outcome)).count()
}

/// Cuts the first VMs off and checks that their callers are served as well as the others'.
async fn play_cut(data_centres: &[&str], cut: usize, fault: LinkFault) {
    let deployment = Deployment::start(2).await;
    let vms = linked_vms(&deployment, data_centres).await;
    call_each(&vms, Duration::from_secs(1)).await;
    for vm in &vms[..cut] {
        vm.cut(Some(fault));
    }
    call_each(&vms, NOTICE_TIME).await;
    let outcomes = call_each(&vms, Duration::from_secs(3)).await;
    for (number, of_vm) in outcomes.iter().enumerate() {
        let (served, sent) = (served(of_vm), of_vm.len());
        assert!(
            served * 100 >= sent * 95,
            "{fault:?}, {cut} of {} VMs cut off: VM {number} served {served} of {sent} calls",
            vms.len()
        );
    }
    for vm in &vms {
        vm.cut(None);
    }
    call_each(&vms, NOTICE_TIME).await;
    let outcomes = call_each(&vms, Duration::from_secs(1)).await;
    for (number, of_vm) in outcomes.iter().enumerate() {
        assert_eq!(served(of_vm), of_vm.len(), "VM {number} after the cut");
    }
    assert_eq!(deployment.checker.violations(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_vm_cut_off_from_all_endpoints_are_served() {
    for fault in CUTS {
        play_cut(&["dc-a", "dc-a", "dc-b"], 1, fault).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_data_centre_cut_off_from_all_endpoints_are_served() {
    for fault in CUTS {
        play_cut(&["dc-a", "dc-a", "dc-b"], 2, fault).await;
    }
}
