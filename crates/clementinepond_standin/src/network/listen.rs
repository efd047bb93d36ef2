//! Task that listens, and stops and resumes listening on request.

use super::acceptor::NoDelayAcceptor;
use super::standin_error::StandinError;
use clementinepond_types::TimeSpan;
use log::{info, warn};
use salvo::{Router, Server};
use std::future::Future;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Interval between two attempts to bind the same address again.
const REBIND_INTERVAL: TimeSpan = TimeSpan::from_millis(20);

/// Maximum number of pending restart requests; a crash and the restart that
/// ends it count as one each.
pub(crate) const RESTART_QUEUE_CAPACITY: usize = 8;

/// Request to drop all connections and stop listening for a while.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RestartRequest {
    /// Time until listening resumes; none to wait for the next request, whose own
    /// `down_for` is then ignored.
    pub(crate) down_for: Option<TimeSpan>,
}

/// Listening task of one stand-in.
#[derive(Debug)]
pub(crate) struct ListenTask {
    address: SocketAddr,
}

impl ListenTask {
    /// Binds the address and serves the router that `routes` returns.
    ///
    /// `routes` is called once at the start and once after each restart.
    pub(crate) async fn start(
        listen: SocketAddr,
        mut restarts: mpsc::Receiver<RestartRequest>,
        cancel: CancellationToken,
        mut routes: impl FnMut() -> Router + Send + 'static,
    ) -> Result<Self, StandinError> {
        let failed = |source| StandinError::Listen {
            address: listen,
            source,
        };
        let listener = TcpListener::bind(listen).await.map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let mut acceptor = NoDelayAcceptor::new(listener).map_err(failed)?;
        tokio::spawn(async move {
            loop {
                let serving = Server::new(acceptor).try_serve(routes());
                let Some(request) = serve_until(serving, &mut restarts, &cancel).await else {
                    return;
                };
                let down = wait_while_down(request, &mut restarts);
                if cancel.run_until_cancelled(down).await.is_none() {
                    return;
                }
                acceptor = rebind(address).await;
            }
        });
        Ok(Self { address })
    }

    /// Returns the address that was bound.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Serves until a restart is requested; returning drops the server with all its
/// connections. `None` if the task is to end.
async fn serve_until(
    serving: impl Future<Output = std::io::Result<()>>,
    restarts: &mut mpsc::Receiver<RestartRequest>,
    cancel: &CancellationToken,
) -> Option<RestartRequest> {
    tokio::select! {
        () = cancel.cancelled() => None,
        request = restarts.recv() => request,
        result = serving => {
            if let Err(error) = result {
                warn!("event=standin_server_ended error={error:?}");
            }
            None
        }
    }
}

async fn wait_while_down(request: RestartRequest, restarts: &mut mpsc::Receiver<RestartRequest>) {
    match request.down_for {
        Some(down_for) => tokio::time::sleep(down_for.duration()).await,
        None => drop(restarts.recv().await),
    }
}

async fn rebind(address: SocketAddr) -> NoDelayAcceptor {
    loop {
        let bound = TcpListener::bind(address).await;
        match bound.and_then(NoDelayAcceptor::new) {
            Ok(acceptor) => {
                info!("event=standin_listens_again address={address}");
                return acceptor;
            }
            Err(error) => warn!("event=standin_bind_failed address={address} error={error:?}"),
        }
        tokio::time::sleep(REBIND_INTERVAL.duration()).await;
    }
}
