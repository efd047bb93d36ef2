//! TCP acceptor that disables Nagle's algorithm.

use salvo::conn::tcp::TcpCoupler;
use salvo::conn::{Accepted, Acceptor, ConnCtrl, Holding, StraightStream};
use salvo::fuse::ArcFusePolicy;
use salvo::http::Version;
use salvo::http::uri::Scheme;
use std::io;
use tokio::net::{TcpListener, TcpStream};

/// Accepts TCP connections with Nagle's algorithm disabled, so that each
/// streamed token is sent as soon as it is written.
pub(super) struct NoDelayAcceptor {
    listener: TcpListener,
    holdings: Vec<Holding>,
}

impl NoDelayAcceptor {
    pub(super) fn new(listener: TcpListener) -> io::Result<Self> {
        let holding = Holding {
            local_addr: listener.local_addr()?.into(),
            http_versions: vec![Version::HTTP_11],
            http_scheme: Scheme::HTTP,
        };
        Ok(Self {
            listener,
            holdings: vec![holding],
        })
    }
}

impl Acceptor for NoDelayAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = StraightStream<TcpStream>;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        _policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let (stream, remote_addr) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let conn_ctrl = ConnCtrl::new();
        Ok(Accepted {
            coupler: TcpCoupler::new(),
            stream: StraightStream::new(stream, None, conn_ctrl.clone(), None),
            fuse_config: None,
            conn_ctrl,
            local_addr: self.holdings[0].local_addr.clone(),
            remote_addr: remote_addr.into(),
            http_scheme: Scheme::HTTP,
        })
    }
}
