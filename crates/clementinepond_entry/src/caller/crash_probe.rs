//! Recognition of endpoints that crashed while they ran requests of this VM.

use super::admission::AdmittedRequest;
use crate::clock::BootClock;
use crate::node::{EndpointIncarnation, EntryNode, ReachVerdict};
use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::stream::BodyFraming;
use clementinepond_dispatch::suspect::{EndpointCrash, LostRun};
use clementinepond_types::{LocalTime, TimeSpan};
use fnv::FnvHashMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// Time from a lost run to the probe of its endpoint, in which the other runs there are
/// lost as well.
const PROBE_DELAY: TimeSpan = TimeSpan::from_millis(5);

/// Lost runs by the endpoint that may have crashed, while it is probed.
pub(crate) type LostRuns = FnvHashMap<EndpointCrash, ProbedEndpoint>;

/// Endpoint that is probed since it lost runs of this VM.
#[derive(Debug)]
pub(crate) struct ProbedEndpoint {
    lost_at: LocalTime,
    runs: Vec<LostRun>,
    /// Wakes the requests that wait for the result.
    probed: Rc<Notify>,
}

/// Records a run that was lost at an endpoint, and waits until it is known whether the
/// endpoint crashed, so that a retry takes this crash into account.
pub(super) async fn record_lost_run(
    node: &Rc<EntryNode>,
    request: &AdmittedRequest,
    endpoint: &EndpointIncarnation,
    sent_at: LocalTime,
) {
    let crash = EndpointCrash {
        endpoint: NameHash::of(endpoint.id.as_str()),
        started_ms: endpoint.started_ms,
    };
    let run = LostRun {
        suspects: request.suspects.clone(),
        sent_at,
    };
    let probed = {
        let mut state = node.state.borrow_mut();
        let is_first = !state.lost_runs.contains_key(&crash);
        let lost = state
            .lost_runs
            .entry(crash)
            .or_insert_with(|| ProbedEndpoint {
                lost_at: BootClock::now(),
                runs: Vec::new(),
                probed: Rc::default(),
            });
        lost.runs.push(run);
        let probed = Rc::clone(&lost.probed);
        if is_first {
            let probe = probe_endpoint(Rc::clone(node), crash, endpoint.clone());
            tokio::task::spawn_local(probe);
        }
        probed
    };
    probed.notified().await;
}

/// Probes an endpoint, and counts its lost runs as evidence if it crashed.
async fn probe_endpoint(node: Rc<EntryNode>, crash: EndpointCrash, endpoint: EndpointIncarnation) {
    tokio::time::sleep(PROBE_DELAY.duration()).await;
    let has_crashed = has_crashed(&node, &endpoint).await;
    let lost = node.state.borrow_mut().lost_runs.remove(&crash);
    let Some(lost) = lost else {
        return;
    };
    if has_crashed {
        log::info!(
            "event=endpoint_crashed endpoint={} started_ms={} runs={} age_ms={}",
            endpoint.id,
            crash.started_ms,
            lost.runs.len(),
            BootClock::now().since(lost.lost_at).millis()
        );
        node.report_crash(crash, lost.lost_at, lost.runs);
    }
    lost.probed.notify_waiters();
}

/// Returns whether an endpoint refuses connections, also those of a peer: this VM's link to
/// it may be cut.
async fn has_crashed(node: &EntryNode, endpoint: &EndpointIncarnation) -> bool {
    let verdict = node.check_endpoint(&endpoint.id, endpoint.address).await;
    verdict == ReachVerdict::Refused
}

/// Records that a request was answered with a complete success.
///
/// An answer that ends with its connection may have been cut between two events by a crash,
/// so its endpoint is probed before the answer clears suspects.
pub(super) fn record_completion(
    node: &Rc<EntryNode>,
    request: &Rc<AdmittedRequest>,
    endpoint: EndpointIncarnation,
    framing: BodyFraming,
    sent_at: LocalTime,
) {
    if framing != BodyFraming::Connection {
        node.apply_completion(request.suspects.clone());
        return;
    }
    let needs_proof = {
        let state = node.state.borrow();
        state.crash_guard.needs_proof(&request.suspects)
    };
    if !needs_proof {
        // It only counts as one of the VM's requests.
        node.apply_completion(Box::default());
        return;
    }
    let (node, request) = (Rc::clone(node), Rc::clone(request));
    tokio::task::spawn_local(async move {
        if has_crashed(&node, &endpoint).await {
            record_lost_run(&node, &request, &endpoint, sent_at).await;
        } else {
            node.apply_completion(request.suspects.clone());
        }
    });
}
