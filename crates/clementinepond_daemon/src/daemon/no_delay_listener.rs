//! Listener whose connections send small writes at once.

use salvo::conn::Listener;
use salvo::conn::tcp::TcpAcceptor;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpSocket;

/// Connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// Listens with Nagle's algorithm off.
///
/// Accepted connections inherit the option. With the algorithm on, the end of
/// an answer waits for the caller's delayed acknowledgement.
pub(super) struct NoDelayListener {
    pub(super) address: SocketAddr,
}

impl Listener for NoDelayListener {
    type Acceptor = TcpAcceptor;

    async fn try_bind(self) -> salvo::Result<Self::Acceptor> {
        Ok(open(self.address)?)
    }
}

fn open(address: SocketAddr) -> io::Result<TcpAcceptor> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    TcpAcceptor::try_from(socket.listen(ACCEPT_BACKLOG)?)
}
