//! Opening of client connections and socket options.

use bytes::Bytes;
use clementinepond_types::TimeSpan;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

#[cfg(test)]
mod tests;

/// Time without acknowledgement of sent data or of keep-alive probes after which the kernel
/// closes a connection to the store or a peer.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same for a connection to an endpoint, which may fall silent for a second or two and
/// go on. Linux applies it to keep-alive probes as well, whatever their number.
const ENDPOINT_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time after which the kernel sends keep-alive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keep-alive probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;

/// Maximum size of an answer's head, and of the buffer in which its body arrives.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Reason for which a connection could not be opened.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectFailure {
    /// Nothing listens at the address.
    #[display("connection refused")]
    Refused,
    /// The connection was not established within the timeout.
    #[display("connection timed out")]
    Timeout,
    /// Any other error.
    #[display("connection failed")]
    Failed,
    /// A peer could not connect either.
    #[display("no connection from this VM or a peer")]
    Confirmed,
}

/// Open HTTP connection; closed when dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a connection to the store or a peer within a timeout.
pub(crate) async fn open_connection(
    address: SocketAddrV4,
    timeout: TimeSpan,
) -> Result<Connection, ConnectFailure> {
    open(address, timeout, UNACKNOWLEDGED_TIMEOUT).await
}

/// Opens a connection to an endpoint within a timeout.
pub(crate) async fn open_endpoint_connection(
    address: SocketAddrV4,
    timeout: TimeSpan,
) -> Result<Connection, ConnectFailure> {
    open(address, timeout, ENDPOINT_UNACKNOWLEDGED_TIMEOUT).await
}

async fn open(
    address: SocketAddrV4,
    timeout: TimeSpan,
    unacknowledged: Duration,
) -> Result<Connection, ConnectFailure> {
    let connecting = TcpStream::connect(address);
    let stream = match tokio::time::timeout(timeout.duration(), connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            return Err(ConnectFailure::Refused);
        }
        Ok(Err(_)) => return Err(ConnectFailure::Failed),
        Err(_) => return Err(ConnectFailure::Timeout),
    };
    tune(&stream, Some(unacknowledged));
    let (sender, driver) = Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| ConnectFailure::Failed)?;
    let driver = tokio::task::spawn_local(async move {
        if let Err(error) = driver.await {
            log::trace!("event=connection_ended address={address} error=\"{error}\"");
        }
    });
    Ok(Connection {
        sender,
        driver: driver.abort_handle(),
    })
}

/// Sets socket options that send small writes at once and detect dead peers.
///
/// An option that the operating system lacks is skipped with a log line.
pub(crate) fn tune_socket(stream: &TcpStream) {
    tune(stream, Some(UNACKNOWLEDGED_TIMEOUT));
}

/// Sets the options of [`tune_socket`] without the limit on unacknowledged data, since
/// callers may read slowly.
pub(crate) fn tune_caller_socket(stream: &TcpStream) {
    tune(stream, None);
}

fn tune(stream: &TcpStream, unacknowledged: Option<Duration>) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let tuned = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive))
        .and_then(|()| match unacknowledged {
            Some(timeout) => socket.set_tcp_user_timeout(Some(timeout)),
            None => Ok(()),
        });
    if let Err(error) = tuned {
        log::debug!("event=socket_untuned error=\"{error}\"");
    }
}
