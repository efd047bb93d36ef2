//! HTTP listeners that stop gracefully.

use super::DaemonError;
use super::no_delay_listener::NoDelayListener;
use clementinepond_settings::vm::TlsSettings;
use clementinepond_types::TimeSpan;
use salvo::conn::rustls::{Keycert, RustlsConfig, RustlsListener};
use salvo::conn::{Accepted, Acceptor, Listener};
use salvo::{Router, Server};
use std::net::SocketAddr;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Address, TLS settings and shutdown timeout of a listener.
pub(super) struct ListenerConfig<'a> {
    pub(super) setting: &'static str,
    pub(super) address: SocketAddr,
    pub(super) tls: Option<&'a TlsSettings>,
    pub(super) shutdown_wait: TimeSpan,
}

/// Listener that serves requests.
pub(super) struct OpenListener {
    pub(super) address: SocketAddr,
    pub(super) task: JoinHandle<()>,
}

impl ListenerConfig<'_> {
    /// Opens the listener, which stops gracefully when the token is cancelled; requests that
    /// run longer than `shutdown_wait` after that are cut off.
    pub(super) async fn open(
        &self,
        router: Router,
        stopping: CancellationToken,
    ) -> Result<OpenListener, DaemonError> {
        let listener = NoDelayListener {
            address: self.address,
        };
        match self.tls {
            None => {
                let acceptor = listener
                    .try_bind()
                    .await
                    .map_err(|error| self.fault(&error))?;
                self.serve(acceptor, router, stopping)
            }
            Some(tls) => {
                let config = tls_config(tls)?;
                let listener = RustlsListener::new(config, listener);
                let acceptor = listener
                    .try_bind()
                    .await
                    .map_err(|error| self.fault(&error))?;
                self.serve(acceptor, router, stopping)
            }
        }
    }

    fn fault(&self, error: &impl ToString) -> DaemonError {
        DaemonError::Listen {
            setting: self.setting,
            address: self.address,
            problem: error.to_string().into(),
        }
    }

    fn serve<A>(
        &self,
        acceptor: A,
        router: Router,
        stopping: CancellationToken,
    ) -> Result<OpenListener, DaemonError>
    where
        A: Acceptor + Send + 'static,
        <A as Acceptor>::Stream: Send,
        Accepted<A::Coupler, A::Stream>: Send,
    {
        let address = acceptor
            .holdings()
            .first()
            .and_then(|holding| holding.local_addr.clone().into_std())
            .unwrap_or(self.address);
        let server = Server::new(acceptor);
        let handle = server.handle();
        let wait = self.shutdown_wait.duration();
        tokio::spawn(async move {
            stopping.cancelled().await;
            handle.stop_graceful(wait);
        });
        Ok(OpenListener {
            address,
            task: tokio::spawn(server.serve(router)),
        })
    }
}

fn tls_config(tls: &TlsSettings) -> Result<RustlsConfig, DaemonError> {
    let fault = |error: std::io::Error| DaemonError::Certificate {
        problem: error.to_string().into(),
    };
    let keycert = Keycert::new()
        .cert_from_path(&tls.certificate)
        .map_err(fault)?
        .key_from_path(&tls.private_key)
        .map_err(fault)?;
    Ok(RustlsConfig::new(keycert))
}
