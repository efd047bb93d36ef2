//! Start, signal handling and graceful shutdown of an entry VM.

use crate::caller::{StopStages, serve_callers, serve_metrics, serve_readiness};
use crate::clock::BootClock;
use crate::log_sink::flush_log;
use crate::node::EntryNode;
use crate::peer::{
    PeerSocket, fetch_newer_configuration, fetch_newer_entries, run_heartbeats, run_receiver,
    serve_peers,
};
use crate::placement_lease::{release_lease, run_lease, run_orders};
use crate::settings::{EntrySettings, ListenSettings, SettingsError};
use crate::store::{WatchTarget, announce_vm, run_watch, sync_blocked_suspects};
use clementinepond_dispatch::suspect::CrashEvent;
use clementinepond_types::TimeSpan;
use derive_more::{Display, Error, From};
use rand::RngExt;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;
/// Time from the stop signal until idle connections are closed. The load balancer probes
/// every second and stops using a VM after two failed probes.
const BALANCER_NOTICE_DURATION: TimeSpan = TimeSpan::from_millis(2_600);
/// Time reserved between the end of the last request and the kill.
const EXIT_MARGIN: TimeSpan = TimeSpan::from_millis(300);
/// Interval at which expired endpoints and connections are removed and the log is flushed.
const SWEEP_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// Reason for which an entry VM cannot run.
#[derive(Debug, Display, Error, From)]
pub enum EntryError {
    /// The settings cannot be read or are invalid.
    #[display("{_0}")]
    Settings(SettingsError),
    /// An address cannot be bound, or the runtime or a signal handler cannot be set up.
    #[display("{_0}; check that the listen addresses belong to this VM and are free")]
    System(std::io::Error),
}

/// Runs an entry VM until a signal stops it.
///
/// # Errors
///
/// Fails if the settings are invalid, an address cannot be bound, or the runtime or a signal
/// handler cannot be set up.
pub fn run_entry(path: &Path) -> Result<(), EntryError> {
    let settings = EntrySettings::read_file(path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = LocalSet::new();
    let served = runtime.block_on(tasks.run_until(serve(settings, path.to_owned())));
    flush_log();
    // Remaining tasks end with the process.
    runtime.shutdown_background();
    Ok(served?)
}

async fn serve(mut settings: EntrySettings, path: PathBuf) -> std::io::Result<()> {
    let incarnation = rand::rng().random();
    let listeners = Listeners::bind(&mut settings.listen).await?;
    let listen = &settings.listen;
    log::info!(
        "event=vm_started vm={} data_centre={} callers={} readiness={} peers={} metrics={} incarnation={incarnation:016x}",
        settings.vm,
        settings.data_centre,
        listen.callers,
        listen.readiness,
        listen.peers,
        listen.metrics
    );
    flush_log();
    let Listeners {
        callers,
        readiness,
        snapshots,
        metrics,
        datagrams,
    } = listeners;
    let socket = Rc::new(PeerSocket::new(datagrams, settings.vm.clone()));
    let node = Rc::new(EntryNode::new(settings, incarnation));
    // The cell is empty since the node was just created.
    let _ = node.socket.set(Rc::clone(&socket));

    let placement_stop = CancellationToken::new();
    let stages = StopStages {
        draining: CancellationToken::new(),
        ended: CancellationToken::new(),
    };
    let ended = stages.ended.clone();
    let tracker = TaskTracker::new();
    spawn_background(&node, &socket, &placement_stop, &ended);
    tokio::task::spawn_local(serve_readiness(Rc::clone(&node), readiness, ended.clone()));
    tokio::task::spawn_local(serve_metrics(Rc::clone(&node), metrics, ended.clone()));
    let peers = serve_peers(Rc::clone(&node), snapshots, tracker.clone(), ended.clone());
    tokio::task::spawn_local(peers);
    let callers = serve_callers(Rc::clone(&node), callers, stages.clone(), tracker.clone());
    tokio::task::spawn_local(callers);

    await_stop(&node, &path).await?;
    stop(&node, placement_stop, stages, tracker).await;
    log::info!("event=vm_stopped");
    Ok(())
}

fn spawn_background(
    node: &Rc<EntryNode>,
    socket: &Rc<PeerSocket>,
    placement_stop: &CancellationToken,
    ended: &CancellationToken,
) {
    let node = || Rc::clone(node);
    let watch = |target| run_watch(node(), target, ended.clone());
    tokio::task::spawn_local(watch(WatchTarget::Configuration));
    tokio::task::spawn_local(watch(WatchTarget::Endpoints));
    tokio::task::spawn_local(announce_vm(node(), ended.clone()));
    tokio::task::spawn_local(sync_blocked_suspects(node(), ended.clone()));
    tokio::task::spawn_local(run_receiver(node(), Rc::clone(socket), ended.clone()));
    tokio::task::spawn_local(run_heartbeats(node(), Rc::clone(socket), ended.clone()));
    tokio::task::spawn_local(fetch_newer_configuration(node(), ended.clone()));
    tokio::task::spawn_local(fetch_newer_entries(node(), ended.clone()));
    tokio::task::spawn_local(run_lease(node(), placement_stop.clone()));
    tokio::task::spawn_local(run_orders(node(), placement_stop.clone()));
    tokio::task::spawn_local(sweep(node(), ended.clone()));
}

async fn sweep(node: Rc<EntryNode>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(SWEEP_INTERVAL.duration()) => {}
        }
        node.sweep_endpoints(BootClock::now());
        node.apply_crash_event(CrashEvent::Tick, None);
        node.pool.sweep();
        node.probe_failed_links();
        flush_log();
    }
}

/// Waits for SIGTERM or SIGINT; reloads the settings on SIGHUP.
async fn await_stop(node: &Rc<EntryNode>, path: &Path) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => reload(node, path),
        }
    }
    log::info!("event=stop_requested");
    Ok(())
}

fn reload(node: &Rc<EntryNode>, path: &Path) {
    match EntrySettings::read_file(path) {
        Ok(settings) => {
            node.replace_settings(settings);
            log::info!("event=settings_reloaded");
        }
        Err(error) => log::error!("event=settings_refused error=\"{error}\""),
    }
}

/// Shuts down in stages, so that requests in flight complete within the grace.
async fn stop(
    node: &Rc<EntryNode>,
    placement_stop: CancellationToken,
    stages: StopStages,
    tracker: TaskTracker,
) {
    let kill_at = BootClock::now() + node.settings().shutdown.grace();
    node.stopping_since.set(Some(BootClock::now()));
    placement_stop.cancel();
    release_lease(node).await;
    tokio::time::sleep(BALANCER_NOTICE_DURATION.duration()).await;
    stages.draining.cancel();
    tracker.close();
    let left = BootClock::now().until(kill_at).saturating_sub(EXIT_MARGIN);
    if tokio::time::timeout(left.duration(), tracker.wait())
        .await
        .is_err()
    {
        log::warn!("event=stop_incomplete connections={}", tracker.len());
    }
    stages.ended.cancel();
}

/// Bound sockets of an entry VM.
struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    snapshots: TcpListener,
    metrics: TcpListener,
    datagrams: UdpSocket,
}

impl Listeners {
    /// Binds all sockets and replaces port 0 in the settings by the bound port.
    async fn bind(listen: &mut ListenSettings) -> std::io::Result<Self> {
        let callers = bind(&mut listen.callers)?;
        let readiness = bind(&mut listen.readiness)?;
        let metrics = bind(&mut listen.metrics)?;
        let snapshots = bind(&mut listen.peers)?;
        let datagrams = UdpSocket::bind(listen.peers).await?;
        Ok(Self {
            callers,
            readiness,
            snapshots,
            metrics,
            datagrams,
        })
    }
}

fn bind(address: &mut SocketAddrV4) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind((*address).into())?;
    let listener = socket.listen(ACCEPT_BACKLOG)?;
    if let SocketAddr::V4(bound) = listener.local_addr()? {
        *address = bound;
    }
    Ok(listener)
}
