//! Loopback proxies that harm connections.

use crate::fault::LinkFault;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of a forwarded piece, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

/// Proxy in front of one server.
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
            return Err(std::io::Error::other("the soak uses IPv4"));
        };
        let (fault, seen) = watch::channel(None);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let seen = seen.clone();
                tokio::spawn(forward(near, target, seen));
            }
        });
        Ok(Self { address, fault })
    }

    pub(crate) fn set(&self, fault: Option<LinkFault>) {
        self.fault.send_replace(fault);
    }
}

async fn forward(near: TcpStream, target: SocketAddrV4, seen: watch::Receiver<Option<LinkFault>>) {
    if *seen.borrow() == Some(LinkFault::Reset) {
        reset(&near);
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        reset(&near);
        return;
    };
    // Small pieces are not to wait for more.
    let _ = near.set_nodelay(true).and(far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut watching = seen.clone();
    let copies = async {
        tokio::join!(
            copy(near_read, far_write, seen.clone(), false),
            copy(far_read, near_write, seen, true)
        )
    };
    tokio::select! {
        _ = copies => {}
        // Dropping the halves with unread bytes resets the connections.
        _ = watching.wait_for(|fault| *fault == Some(LinkFault::Reset)) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut seen: watch::Receiver<Option<LinkFault>>,
    is_answer: bool,
) {
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let Ok(length @ 1..) = from.read(&mut piece).await else {
            return;
        };
        let fault = *seen.borrow();
        match fault {
            Some(LinkFault::Delay(time)) => tokio::time::sleep(time).await,
            Some(LinkFault::OneWay) if is_answer => continue,
            Some(LinkFault::Silence) => {
                // The proxy's end is no concern of the copy.
                let _ = seen.wait_for(|now| *now != Some(LinkFault::Silence)).await;
            }
            _ => {}
        }
        if to.write_all(&piece[..length]).await.is_err() {
            return;
        }
    }
}

fn reset(stream: &TcpStream) {
    // A plain close serves as well where this option is refused.
    let _ = stream.set_zero_linger();
}
