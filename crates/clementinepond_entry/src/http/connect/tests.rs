//! Options of sockets to endpoints.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

use super::{ENDPOINT_UNACKNOWLEDGED_TIMEOUT, tune};
use socket2::SockRef;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Time for which a sound endpoint may be silent, with a margin.
const MAX_SILENCE: Duration = Duration::from_secs(3);

#[tokio::test]
async fn silent_endpoint_keeps_its_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stream = TcpStream::connect(address).await.unwrap();
    tune(&stream, Some(ENDPOINT_UNACKNOWLEDGED_TIMEOUT));
    let socket = SockRef::from(&stream);
    let timeout = socket.tcp_user_timeout().unwrap();
    assert!(timeout.is_some_and(|timeout| timeout > MAX_SILENCE));
}
