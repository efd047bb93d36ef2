//! Listener for messages from other VMs.

use super::envelope::FrameKey;
use crate::node::NodeHandle;
use crate::telemetry::MetricSet;
use clementinepond_decide::node::NodeEvent;
use clementinepond_settings::vm::PeerSettings;
use clementinepond_types::VmId;
use nng::options::{LocalAddr, Options, RecvBufferSize};
use nng::{Aio, AioResult, Listener, Protocol, Socket, SocketAddr as NngAddress};
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of received messages buffered for processing.
const RECEIVE_BUFFER: i32 = 1024;

/// Socket that receives messages from other VMs until it is dropped.
pub(crate) struct PeerListener {
    pub(crate) address: SocketAddr,
    socket: Socket,
    _listener: Listener,
    _aio: Aio,
}

impl std::fmt::Debug for PeerListener {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "PeerListener({})", self.address)
    }
}

impl Drop for PeerListener {
    fn drop(&mut self) {
        self.socket.close();
    }
}

/// Opens the listener; received messages are sent to the node task.
pub(crate) fn open_peer_listener(
    own: &VmId,
    settings: &PeerSettings,
    node: &NodeHandle,
    metrics: &Arc<MetricSet>,
) -> Result<PeerListener, nng::Error> {
    let socket = Socket::new(Protocol::Pull0)?;
    socket.set_opt::<RecvBufferSize>(RECEIVE_BUFFER)?;
    let listener = Listener::new(&socket, &format!("tcp://{}", settings.listen))?;
    let address = local_address(&listener).unwrap_or(settings.listen);
    let aio = receive(own, settings, node, metrics, &socket)?;
    socket.recv_async(&aio)?;
    Ok(PeerListener {
        address,
        socket,
        _listener: listener,
        _aio: aio,
    })
}

fn local_address(listener: &Listener) -> Option<SocketAddr> {
    match listener.get_opt::<LocalAddr>().ok()? {
        NngAddress::Inet(mut address) => {
            address.set_port(host_order(address.port()));
            Some(SocketAddr::V4(address))
        }
        NngAddress::Inet6(mut address) => {
            address.set_port(host_order(address.port()));
            Some(SocketAddr::V6(address))
        }
        _ => None,
    }
}

/// Converts a port from network byte order, in which nng returns it.
const fn host_order(port: u16) -> u16 {
    u16::from_be(port)
}

fn receive(
    own: &VmId,
    settings: &PeerSettings,
    node: &NodeHandle,
    metrics: &Arc<MetricSet>,
    socket: &Socket,
) -> Result<Aio, nng::Error> {
    let key = FrameKey::new(&settings.secret);
    let own = own.clone();
    let node = node.clone();
    let metrics = Arc::clone(metrics);
    let socket = socket.clone();
    Aio::new(move |aio, result| {
        match result {
            AioResult::Recv(Ok(frame)) => {
                metrics.record_peer_received(frame.len());
                deliver(&own, &key, &node, &frame);
            }
            AioResult::Recv(Err(nng::Error::Closed)) => return,
            _ => {}
        }
        if let Err(error) = socket.recv_async(&aio) {
            log::debug!("event=peer_listener_closed error=\"{error}\"");
        }
    })
}

fn deliver(own: &VmId, key: &FrameKey, node: &NodeHandle, frame: &[u8]) {
    match key.open(frame) {
        Ok(envelope) if envelope.to.as_ref().is_none_or(|to| to == own) => {
            node.send_event(NodeEvent::Received {
                from: envelope.from,
                message: Box::new(envelope.message),
            });
        }
        Ok(envelope) => log::debug!(
            "event=message_dropped from={} reason=misdirected",
            envelope.from
        ),
        Err(error) => log::warn!("event=message_dropped error=\"{error}\""),
    }
}
