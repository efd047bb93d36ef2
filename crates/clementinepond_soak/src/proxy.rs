//! Loopback proxies that inject faults into connections.

use crate::fault::LinkFault;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Maximum size of a forwarded chunk, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// TCP proxy in front of a server.
#[derive(Debug)]
pub(crate) struct LinkProxy {
    pub(crate) address: SocketAddrV4,
    fault: watch::Sender<Option<LinkFault>>,
}

impl LinkProxy {
    pub(crate) async fn start(target: SocketAddrV4) -> std::io::Result<Self> {
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let listener = TcpListener::bind(any).await?;
        let SocketAddr::V4(address) = listener.local_addr()? else {
            return Err(std::io::Error::other(
                "the proxy bound an address that is not IPv4",
            ));
        };
        let (fault, fault_watch) = watch::channel(None);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let fault_watch = fault_watch.clone();
                tokio::spawn(forward(client, target, fault_watch));
            }
        });
        Ok(Self { address, fault })
    }

    pub(crate) fn set(&self, fault: Option<LinkFault>) {
        self.fault.send_replace(fault);
    }
}

async fn forward(
    client: TcpStream,
    target: SocketAddrV4,
    fault_watch: watch::Receiver<Option<LinkFault>>,
) {
    if *fault_watch.borrow() == Some(LinkFault::Reset) {
        reset(&client);
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        reset(&client);
        return;
    };
    // Nagle's algorithm would delay small chunks.
    let _ = client.set_nodelay(true).and(server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let mut reset_watch = fault_watch.clone();
    let copies = async {
        tokio::join!(
            copy(client_read, server_write, fault_watch.clone(), false),
            copy(server_read, client_write, fault_watch, true)
        )
    };
    tokio::select! {
        _ = copies => {}
        // Dropping the halves closes the connections; the kernel resets those with
        // unread bytes.
        _ = reset_watch.wait_for(|fault| *fault == Some(LinkFault::Reset)) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut fault_watch: watch::Receiver<Option<LinkFault>>,
    is_answer: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok(length @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        let fault = *fault_watch.borrow();
        match fault {
            Some(LinkFault::Delay(time)) => tokio::time::sleep(time).await,
            Some(LinkFault::OneWay) if is_answer => continue,
            Some(LinkFault::Silence) => {
                // An error means that the proxy was dropped; forwarding continues.
                let _ = fault_watch
                    .wait_for(|now| *now != Some(LinkFault::Silence))
                    .await;
            }
            _ => {}
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Makes the stream send a reset when it is dropped.
fn reset(stream: &TcpStream) {
    // If setting the option fails, a normal close is sufficient.
    let _ = stream.set_zero_linger();
}
