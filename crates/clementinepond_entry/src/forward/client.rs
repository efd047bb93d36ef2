//! Sending of requests through peers.

use super::outcome::ForwardOutcome;
use super::{ENDPOINT_HEADER, ONCE_HEADER, REACH_PATH};
use crate::endpoint::{
    Attempt, AttemptAnswer, AttemptFailure, PoolKey, ReuseRule, accept, exchange,
};
use crate::http::{ConnectFailure, HttpClient, open_connection};
use crate::node::{EntryNode, ReachVerdict, increment};
use clementinepond_dispatch::stream::BodyFraming;
use clementinepond_types::{EndpointId, RequestId, TimeSpan, VmId};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode};
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Number of peers that an attempt tries in turn, and that are asked for their reach; several
/// of them may have been cut off with this VM.
const MAX_FORWARDERS: usize = 3;
/// Maximum time for opening a connection to a peer.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(200);
/// Time by which an answer may come later through a peer, which may have to find out that it
/// does not reach the endpoint.
const FORWARD_SLACK: TimeSpan = TimeSpan::from_millis(500);
/// Time that a peer has to state whether it reaches an endpoint.
const REACH_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// Sends a request through one peer after the other, until one of them sends it on, and
/// waits for the head of the answer.
pub(crate) async fn forward(
    node: &Rc<EntryNode>,
    attempt: &Attempt<'_>,
) -> Result<AttemptAnswer, AttemptFailure> {
    let mut tried: Vec<VmId> = Vec::new();
    let mut failure = ConnectFailure::Failed;
    while tried.len() < MAX_FORWARDERS
        && let Some((vm, address)) = node.forwarder(&tried)
    {
        let sent = forward_through(node, attempt, &vm, address).await;
        log::info!(
            "event=request_forwarded request={} endpoint={} through={vm} outcome={}",
            attempt.request_id.map_or("-", RequestId::as_str),
            attempt.endpoint,
            match &sent {
                Ok(_) => "answered".to_owned(),
                Err(failure) => format!("\"{failure}\""),
            }
        );
        match sent {
            Err(AttemptFailure::NotSent(ConnectFailure::Confirmed)) => {
                failure = ConnectFailure::Confirmed;
            }
            Err(AttemptFailure::NotSent(_)) => {}
            sent => {
                increment(&node.stats.forwarded);
                return sent;
            }
        }
        tried.push(vm);
    }
    Err(AttemptFailure::NotSent(failure))
}

async fn forward_through(
    node: &EntryNode,
    attempt: &Attempt<'_>,
    vm: &VmId,
    address: SocketAddrV4,
) -> Result<AttemptAnswer, AttemptFailure> {
    let Ok(endpoint) = HeaderValue::from_str(attempt.endpoint.as_str()) else {
        return Err(AttemptFailure::NotSent(ConnectFailure::Failed));
    };
    let request = || {
        let mut request = attempt.outgoing();
        let headers = request.headers_mut();
        headers.insert(ENDPOINT_HEADER, endpoint.clone());
        headers.remove(ONCE_HEADER);
        if attempt.reuse == ReuseRule::Once {
            headers.insert(ONCE_HEADER, HeaderValue::from_static("1"));
        }
        request
    };
    let connect = || open_connection(address, CONNECT_TIMEOUT);
    let key = PoolKey::Peer(vm.clone());
    let silence = attempt.silence.map(|silence| silence + FORWARD_SLACK);
    let mut served = exchange(node, key, attempt.reuse, silence, connect, request).await?;
    let status = served.response.status();
    let outcome = match ForwardOutcome::take(served.response.headers_mut()) {
        Some(outcome) => outcome,
        // A VM that does not forward requests knows no such path.
        None if status == StatusCode::NOT_FOUND => ForwardOutcome::Unavailable,
        None => ForwardOutcome::Broken,
    };
    if let Some(failure) = outcome.failure() {
        return Err(failure);
    }
    let mut answer = accept(node, attempt, served)?;
    if outcome == ForwardOutcome::AnsweredUnframed {
        answer.framing = BodyFraming::Connection;
    }
    Ok(answer)
}

/// Asks some peers at once whether they reach an endpoint; `None` if none answers.
///
/// Peers may be cut off like this VM, so the best verdict counts.
pub(crate) async fn ask_reach(node: &EntryNode, endpoint: &EndpointId) -> Option<ReachVerdict> {
    let mut asked: Vec<VmId> = Vec::new();
    let mut addresses = [None; MAX_FORWARDERS];
    for address in &mut addresses {
        if let Some((vm, peer)) = node.forwarder(&asked) {
            asked.push(vm);
            *address = Some(peer);
        }
    }
    let [one, two, three] = addresses.map(|address| ask_peer(address, endpoint));
    let (one, two, three) = tokio::join!(one, two, three);
    [one, two, three].into_iter().flatten().min()
}

async fn ask_peer(address: Option<SocketAddrV4>, endpoint: &EndpointId) -> Option<ReachVerdict> {
    let address = address?;
    let path = format!("{REACH_PATH}{endpoint}");
    let mut client = HttpClient::new(address);
    let call = client.call(
        Method::GET,
        &path,
        HeaderMap::new(),
        Vec::new(),
        REACH_TIMEOUT,
    );
    match call.await {
        Ok(reply) if reply.status == StatusCode::OK => {
            std::str::from_utf8(&reply.body).ok()?.parse().ok()
        }
        Ok(reply) => {
            log::debug!(
                "event=reach_unknown peer={address} error=\"answered {}\"",
                reply.status
            );
            None
        }
        Err(error) => {
            log::debug!("event=reach_unknown peer={address} error=\"{error}\"");
            None
        }
    }
}
