//! Endpoints that fall over if they have to reject too many requests for want of room.

use crate::crash_support::{addresses, ready_vms};
use crate::cut_vms::served;
use crate::support::{Deployment, call_to, endpoint_options};
use clementinepond_platform_standin::{EndpointFaults, StandinEndpoint, send_call};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

/// Time from the first statement until it must be heeded.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// Requests that an endpoint may reject in a second.
const MOST_REJECTED: u32 = 5;
/// Number of requests that an endpoint runs concurrently.
const SLOTS: u32 = 4;
/// Time for which an endpoint runs a request.
const RUN_TIME: Duration = Duration::from_millis(100);

/// Starts endpoints that are brittle; the others of their service leave.
async fn brittle_endpoints(deployment: &Deployment, count: usize) -> Vec<StandinEndpoint> {
    let mut endpoints = Vec::new();
    for number in 0..count {
        let mut options = endpoint_options("files", &format!("brittle-{number}"), &[]);
        options.slots = SLOTS;
        options.event_delay = RUN_TIME;
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let (store, checker) = (&deployment.store, &deployment.checker);
        let endpoint = StandinEndpoint::start(any, options, store, checker).await;
        let endpoint = endpoint.unwrap();
        endpoint.set_faults(EndpointFaults {
            brittle: Some(MOST_REJECTED),
            ..EndpointFaults::default()
        });
        endpoints.push(endpoint);
    }
    for service in &deployment.services {
        service.drain();
    }
    endpoints
}

/// Sends calls in bursts of several times what the endpoints take, and returns the share
/// that is served, in percent.
async fn send_bursts(callers: &[SocketAddrV4], time: Duration) -> usize {
    let mut ticks = tokio::time::interval(Duration::from_millis(250));
    let mut calls = Vec::new();
    for _ in 0..time.as_millis() / 250 {
        ticks.tick().await;
        for number in 0..30 {
            let entry = callers[number % callers.len()];
            calls.push(tokio::spawn(send_call(entry, call_to("/read/x", None))));
        }
    }
    let mut outcomes = Vec::new();
    for call in calls {
        outcomes.push(call.await.unwrap());
    }
    served(&outcomes) * 100 / outcomes.len()
}

#[tokio::test(flavor = "multi_thread")]
async fn brittle_endpoints_do_not_fall_over_under_bursts() {
    let deployment = Deployment::start(1).await;
    let endpoints = brittle_endpoints(&deployment, 2).await;
    let entries = ready_vms(&deployment, 3).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let callers = addresses(&entries);
    send_bursts(&callers, NOTICE_TIME).await;
    let before = deployment.checker.crashes();
    let share = send_bursts(&callers, Duration::from_secs(6)).await;
    let falls = deployment.checker.crashes() - before;
    assert!(
        falls <= 2,
        "{} endpoints fell {falls} times",
        endpoints.len()
    );
    // The endpoints have room for two thirds of the calls.
    assert!(share >= 20, "{share} in 100 calls served");
}
