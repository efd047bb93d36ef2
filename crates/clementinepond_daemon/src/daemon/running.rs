//! Running daemon of a VM.

use super::listener::ListenerConfig;
use super::node_settings::node_settings;
use super::{DaemonError, listener::OpenListener};
use crate::admin::{AdminState, admin_router};
use crate::caller::{CallerState, caller_router};
use crate::clock::LocalClock;
use crate::configuration::{ActiveConfiguration, ConfigurationSnapshot};
use crate::endpoint::{EndpointClient, poll_reports};
use crate::node::{NodeHandle, NodeIo, run_node};
use crate::peer::{PeerListener, PeerSender, open_peer_listener};
use crate::platform::{PlatformClient, PlatformWorker};
use crate::telemetry::{MetricSet, TraceLog, TraceSource, open_traces};
use clementinepond_decide::node::{NodeEvent, NodeState};
use clementinepond_settings::vm::VmSettings;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Longest wait at shutdown for other VMs and the platform to take over what this VM holds.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(15);

/// Running daemon; it stops gracefully when its token is cancelled.
#[derive(Debug)]
pub struct RunningDaemon {
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    listeners: Vec<JoinHandle<()>>,
    tasks: CancellationToken,
    traces: TraceSource,
    node: NodeHandle,
    released: CancellationToken,
    peer: PeerListener,
}

/// Components shared by the listeners and tasks.
struct DaemonComponents {
    clock: LocalClock,
    node: NodeHandle,
    platform: PlatformClient,
    snapshot: watch::Receiver<Arc<ConfigurationSnapshot>>,
    metrics: Arc<MetricSet>,
    trace_log: Arc<TraceLog>,
    traces: TraceSource,
    peer: PeerListener,
    released: CancellationToken,
    ready: watch::Receiver<bool>,
}

impl RunningDaemon {
    /// Opens the listeners and starts the tasks of the daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be opened, the certificate cannot be loaded or
    /// telemetry cannot be set up.
    pub async fn start(
        settings: VmSettings,
        stopping: CancellationToken,
    ) -> Result<Self, DaemonError> {
        let tasks = CancellationToken::new();
        let components = start_tasks(&settings, &tasks)?;
        let callers = open_caller_listener(&settings, &components, &stopping).await?;
        let operators = open_admin_listener(&settings, &components, &stopping).await?;
        log::info!(
            "event=vm_started vm={} data_centre={} caller={} admin={}",
            settings.vm,
            settings.data_centre,
            callers.address,
            operators.address
        );
        Ok(Self {
            caller_address: callers.address,
            admin_address: operators.address,
            listeners: vec![callers.task, operators.task],
            tasks,
            traces: components.traces,
            node: components.node,
            released: components.released,
            peer: components.peer,
        })
    }

    /// Returns the bound address for callers.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the bound address for operators.
    #[must_use]
    pub const fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the bound address for messages from other VMs.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer.address
    }

    /// Waits until the listeners have stopped, then releases what the VM holds, for up to 15 s,
    /// and stops the remaining tasks.
    pub async fn wait(self) {
        for listener in self.listeners {
            if let Err(error) = listener.await {
                log::error!("event=listener_failed error=\"{error}\"");
            }
        }
        self.node.send_event(NodeEvent::ShutdownStarted);
        if tokio::time::timeout(RELEASE_TIMEOUT, self.released.cancelled())
            .await
            .is_err()
        {
            log::warn!(
                "event=release_incomplete remedy=\"other VMs take over after the hold-off\""
            );
        }
        self.tasks.cancel();
        drop(self.peer);
        let traces = self.traces.provider;
        let flush = tokio::task::spawn_blocking(move || traces.shutdown());
        if let Ok(Err(error)) = flush.await {
            log::warn!("event=traces_lost error=\"{error}\"");
        }
        log::info!("event=vm_stopped");
    }
}

fn start_tasks(
    settings: &VmSettings,
    tasks: &CancellationToken,
) -> Result<DaemonComponents, DaemonError> {
    let clock = LocalClock::start();
    let (input_sender, inputs) = mpsc::unbounded_channel();
    let node = NodeHandle::new(input_sender);
    let (snapshot_sender, snapshot) = watch::channel(Arc::default());
    let (address_sender, addresses) = watch::channel(Arc::default());
    let endpoints = EndpointClient::new(clock, settings.endpoint.clone(), addresses);
    let trace_log = Arc::new(TraceLog::new(settings.telemetry.trace_history));
    let (metrics, traces) = open_telemetry(settings, &trace_log)?;
    let platform = PlatformClient::new(settings.platform.clone(), Arc::clone(&metrics));
    let peer = open_peer(settings, &node, &metrics)?;
    let address = settings.peer.advertise.unwrap_or(peer.address);
    let released = CancellationToken::new();
    let (ready_sender, ready) = watch::channel(false);
    let io = NodeIo {
        clock,
        endpoints: endpoints.clone(),
        peers: PeerSender::new(
            settings.vm.clone(),
            &settings.peer.secret,
            Arc::clone(&metrics),
        ),
        platform: PlatformWorker {
            client: platform.clone(),
            node: node.clone(),
            clock,
            data_centre: settings.data_centre.clone(),
        },
        active_configuration: ActiveConfiguration {
            clock,
            data_centre: settings.data_centre.clone(),
            snapshot: snapshot_sender,
            addresses: address_sender,
            metrics: Arc::clone(&metrics),
        },
        random: ChaCha8Rng::from_rng(&mut rand::rng()),
        handle: node.clone(),
        released: released.clone(),
        ready: ready_sender,
    };
    let state = NodeState::new(node_settings(settings, address), clock.now());
    tokio::spawn(run_node(state, io, inputs, tasks.clone()));
    tokio::spawn(poll_reports(endpoints, node.clone(), tasks.clone()));
    Ok(DaemonComponents {
        clock,
        node,
        platform,
        snapshot,
        metrics,
        trace_log,
        traces,
        peer,
        released,
        ready,
    })
}

fn open_peer(
    settings: &VmSettings,
    node: &NodeHandle,
    metrics: &Arc<MetricSet>,
) -> Result<PeerListener, DaemonError> {
    open_peer_listener(&settings.vm, &settings.peer, node, metrics).map_err(|error| {
        DaemonError::Peer {
            address: settings.peer.listen,
            problem: error.to_string().into(),
        }
    })
}

fn open_telemetry(
    settings: &VmSettings,
    trace_log: &Arc<TraceLog>,
) -> Result<(Arc<MetricSet>, TraceSource), DaemonError> {
    let fault = |problem: String| DaemonError::Telemetry {
        problem: problem.into(),
    };
    let metrics = MetricSet::open().map_err(|error| fault(error.to_string()))?;
    let collector = settings.telemetry.otlp_address.as_deref();
    let traces = open_traces(trace_log, collector).map_err(|error| fault(error.to_string()))?;
    Ok((Arc::new(metrics), traces))
}

async fn open_caller_listener(
    settings: &VmSettings,
    components: &DaemonComponents,
    stopping: &CancellationToken,
) -> Result<OpenListener, DaemonError> {
    let state = CallerState {
        clock: components.clock,
        caller: settings.caller.clone(),
        request: settings.request.clone(),
        node: components.node.clone(),
        snapshot: components.snapshot.clone(),
        metrics: Arc::clone(&components.metrics),
        traces: components.traces.clone(),
        slots: Arc::new(Semaphore::new(settings.caller.concurrent_requests)),
        stopping: stopping.clone(),
    };
    let listener = ListenerConfig {
        setting: "caller.listen",
        address: settings.caller.listen,
        tls: settings.caller.tls.as_ref(),
        shutdown_wait: settings.request.shutdown_wait,
    };
    listener.open(caller_router(state), stopping.clone()).await
}

async fn open_admin_listener(
    settings: &VmSettings,
    components: &DaemonComponents,
    stopping: &CancellationToken,
) -> Result<OpenListener, DaemonError> {
    let state = AdminState {
        vm: settings.vm.clone(),
        data_centre: settings.data_centre.clone(),
        clock: components.clock,
        credential_digest: settings.admin.credential_digest,
        platform: components.platform.clone(),
        node: components.node.clone(),
        snapshot: components.snapshot.clone(),
        metrics: Arc::clone(&components.metrics),
        trace_log: Arc::clone(&components.trace_log),
        ready: components.ready.clone(),
        stopping: stopping.clone(),
    };
    let listener = ListenerConfig {
        setting: "admin.listen",
        address: settings.admin.listen,
        tls: None,
        shutdown_wait: settings.request.shutdown_wait,
    };
    listener.open(admin_router(state), stopping.clone()).await
}
