//! TCP listener with Nagle's algorithm disabled.

use salvo::conn::Listener;
use salvo::conn::tcp::TcpAcceptor;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpSocket;

/// Number of connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// TCP listener with Nagle's algorithm disabled (`TCP_NODELAY`).
///
/// Accepted connections inherit the option. With the algorithm enabled, the end of an answer
/// would wait for the caller's delayed acknowledgement.
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
