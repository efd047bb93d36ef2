//! Sender of messages to other VMs.

use super::envelope::{FrameKey, PeerEnvelope};
use crate::telemetry::MetricSet;
use clementinepond_decide::node::PeerMessage;
use clementinepond_types::VmId;
use nng::options::{Options, SendBufferSize};
use nng::{Protocol, Socket};
use std::collections::HashMap;
use std::sync::Arc;

/// Number of messages buffered per VM while its connection is busy or not yet open.
const SEND_BUFFER: i32 = 128;

/// Socket that sends to one address.
struct PeerSocket {
    address: Box<str>,
    socket: Socket,
}

/// Sockets to the VMs that this VM sends messages to.
pub(crate) struct PeerSender {
    own: VmId,
    key: FrameKey,
    metrics: Arc<MetricSet>,
    by_vm: HashMap<VmId, PeerSocket>,
    by_address: HashMap<Box<str>, Socket>,
}

impl PeerSender {
    pub(crate) fn new(own: VmId, secret: &str, metrics: Arc<MetricSet>) -> Self {
        Self {
            own,
            key: FrameKey::new(secret),
            metrics,
            by_vm: HashMap::new(),
            by_address: HashMap::new(),
        }
    }

    /// Opens a socket to the address of a VM, unless one to this address exists.
    pub(crate) fn connect(&mut self, vm: VmId, address: Box<str>) {
        let is_known = self
            .by_vm
            .get(&vm)
            .is_some_and(|peer| peer.address == address);
        if is_known || vm == self.own {
            return;
        }
        match open_socket(&address) {
            Ok(socket) => {
                log::info!("event=peer_learned peer={vm} address={address}");
                self.by_vm.insert(vm, PeerSocket { address, socket });
            }
            Err(error) => {
                log::warn!("event=peer_unreachable peer={vm} address={address} error=\"{error}\"");
            }
        }
    }

    pub(crate) fn send(&self, to: VmId, message: PeerMessage) {
        let Some(peer) = self.by_vm.get(&to) else {
            log::debug!("event=message_dropped to={to} reason=address_unknown");
            return;
        };
        self.push(&peer.socket, Some(to), message);
    }

    /// Sends a message to an address whose VM is unknown.
    pub(crate) fn send_address(&mut self, address: Box<str>, message: PeerMessage) {
        if !self.by_address.contains_key(&address) {
            match open_socket(&address) {
                Ok(socket) => {
                    self.by_address.insert(address.clone(), socket);
                }
                Err(error) => {
                    log::warn!("event=peer_unreachable address={address} error=\"{error}\"");
                }
            }
        }
        if let Some(socket) = self.by_address.get(&address) {
            self.push(socket, None, message);
        }
    }

    fn push(&self, socket: &Socket, to: Option<VmId>, message: PeerMessage) {
        let envelope = PeerEnvelope {
            from: self.own.clone(),
            to,
            message,
        };
        match self.key.seal(&envelope) {
            Ok(frame) => {
                self.metrics.record_peer_sent(frame.len());
                if socket.try_send(frame.as_slice()).is_err() {
                    self.metrics.record_peer_dropped();
                }
            }
            Err(error) => log::error!("event=message_dropped error=\"{error}\""),
        }
    }
}

fn open_socket(address: &str) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(SEND_BUFFER)?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}
