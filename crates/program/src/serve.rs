//! Runs the sidecar: connects its parts, and serves from the first connection to the last.

use crate::active::{ActiveConfig, connection_limits, discovery_address, pool_settings};
use crate::config::{Config, ConfigError};
use crate::console::Console;
use crate::fleet::Membership;
use crate::metrics::MetricsServer;
pub use crate::pid_file::PidFile;
use crate::shared_ids::IdFile;
use crate::taken_out::DisabledEndpoints;
use crate::takeover::{STATE_CHECK_INTERVAL, Takeover};
use async_executor::LocalExecutor;
use async_io::Timer;
use cottonpoint_core::{Clock, Executor, Sidecar};
use cottonpoint_decide::ListKind;
use cottonpoint_mesh::Command;
use cottonpoint_net::clients::{Clients, SharedIds};
use cottonpoint_net::list::{NameTable, Watcher};
use cottonpoint_net::memory::{Memory, bound_socket_buffers};
use cottonpoint_net::servers::EndpointConnections;
use futures_lite::{Stream, StreamExt, future};
use std::cell::Cell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Beside a newer process, idle connections are closed this long after the stop event: a request
/// that crosses the close is sent again by its client, to the newer process.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(450);
/// Interval at which a stopping process looks for idle connections to close.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A control event for a running sidecar.
#[derive(Debug)]
pub enum ControlEvent {
    /// Answer all accepted requests, then stop.
    Stop,
    /// Apply another configuration; an invalid one changes nothing.
    Reload(Result<Box<Config>, ConfigError>),
}

/// Serves until the stop event (or the end of all events), then answers all accepted requests and
/// returns. Metrics are served if a listener for them is given.
pub fn run(
    config: Config,
    listener: TcpListener,
    metrics: Option<TcpListener>,
    control_events: impl Stream<Item = ControlEvent> + Unpin + 'static,
) -> io::Result<()> {
    run_with(config, Listeners { clients: listener, metrics, console: None }, control_events)
}

/// The sidecar's listeners: for clients, and optionally for metrics and the console.
#[derive(Debug)]
pub struct Listeners {
    /// Clients.
    pub clients: TcpListener,
    /// `GET /metrics`.
    pub metrics: Option<TcpListener>,
    /// Console commands.
    pub console: Option<TcpListener>,
}

/// The same as [`run`], with all listeners.
pub fn run_with(
    config: Config,
    listeners: Listeners,
    control_events: impl Stream<Item = ControlEvent> + Unpin + 'static,
) -> io::Result<()> {
    run_in_fleet(config, listeners, None, control_events)
}

/// The same as [`run_with`], as a member of a fleet, if one is given: it leaves the fleet at the
/// stop event, and ends the membership with the sidecar.
pub fn run_in_fleet(
    config: Config,
    listeners: Listeners,
    fleet: Option<Membership>,
    control_events: impl Stream<Item = ControlEvent> + Unpin + 'static,
) -> io::Result<()> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    let fleet = fleet.map(Rc::new);
    let served = async_io::block_on(executor.run(serve(
        config,
        listeners,
        fleet.clone(),
        control_events,
        executor.clone(),
    )));
    fleet.iter().for_each(|fleet| fleet.shut_down());
    served
}

async fn serve(
    config: Config,
    Listeners { clients: listener, metrics, console: console_listener }: Listeners,
    fleet: Option<Rc<Membership>>,
    mut control_events: impl Stream<Item = ControlEvent> + Unpin + 'static,
    executor: Executor,
) -> io::Result<()> {
    let settings = config.platform.clone();
    let names = NameTable::default();
    let clock = Clock::start();
    let (sidecar, list_requests) =
        Sidecar::new(names.balancer_settings(&settings), config.seed, clock, executor.clone());
    sidecar.set_drain_grace(settings.drain_grace);
    let connections = connection_limits(&config);
    let memory = Memory::new(config.memory_mb, connections);
    let endpoint_connections =
        EndpointConnections::new(pool_settings(&config), executor.clone(), memory.clone());
    bound_socket_buffers(&listener, config.socket_buffer);
    match &config.known {
        Some(known) => sidecar.apply_list(ListKind::Full, &known.entries(&names).records),
        None => sidecar.start_without_list(),
    }
    let generation = config.known.as_ref().map(|k| k.generation);
    let (address_updates, discovery_changes) = async_channel::unbounded();
    let watcher = Watcher {
        sidecar: sidecar.clone(),
        endpoint_connections: endpoint_connections.clone(),
        discovery: discovery_address(&config),
        names: names.clone(),
        generation,
        discovery_changes,
        random: fastrand::Rng::with_seed(config.seed),
    };
    executor.spawn(watcher.run(list_requests)).detach();
    let clients = Clients::new(
        sidecar.clone(),
        endpoint_connections.clone(),
        settings,
        executor.clone(),
        connections.clients,
        memory.clone(),
        config.state_dir.as_deref().map(|dir| Box::new(IdFile::open(dir)) as Box<dyn SharedIds>),
    );
    let pid_file = config.state_dir.as_deref().map(PidFile::new);
    if pid_file.as_ref().is_some_and(|pid_file| pid_file.is_another_running()) {
        // An upgrade: the older process has watched discovery all along, and the changes sent to it
        // count as known to this process soon after it is ready. So the whole list is requested at
        // once, not at a spread-out time.
        tracing::info!("an older process is running; requesting the endpoint list from discovery at once");
        let _ = address_updates.try_send(discovery_address(&config));
    }

    let (stopping, takes_clients) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(false)));
    let takeover = Takeover {
        name: config.name.clone(),
        sidecar: sidecar.clone(),
        clients: clients.clone(),
        pid_file: pid_file.clone(),
        stopping: stopping.clone(),
        takes_clients: takes_clients.clone(),
    };
    let accept = executor.spawn(takeover.begin(listener)?);
    let disabled = Rc::new(DisabledEndpoints::load(config.state_dir.as_deref()));
    let console = Rc::new(Console {
        sidecar: sidecar.clone(),
        clients: clients.clone(),
        disabled,
        stopping: stopping.clone(),
        takes_clients,
        fleet: fleet.clone(),
    });
    console.restore_disabled();
    let weak_console = Rc::downgrade(&console);
    let _file_task = executor.spawn(async move {
        while let Some(console) = weak_console.upgrade() {
            console.apply_file_changes();
            drop(console);
            Timer::after(STATE_CHECK_INTERVAL).await;
        }
    });
    let _console_task = console_listener.map(|listener| {
        let console = console.clone();
        let answer: Rc<cottonpoint_net::console::Answer> = Rc::new(move |command| {
            let console = console.clone();
            Box::pin(async move { console.answer(command).await })
        });
        executor.spawn(cottonpoint_net::console::serve(listener, executor.clone(), answer))
    });
    let _fleet_task =
        fleet.clone().map(|fleet| executor.spawn(async move { fleet.join_when_address_is_free().await }));
    let metrics_server = MetricsServer {
        sidecar: sidecar.clone(),
        clients: clients.clone(),
        endpoint_connections: endpoint_connections.clone(),
        memory: memory.clone(),
        fleet: fleet.clone(),
    };
    let _metrics_task = metrics.map(|listener| executor.spawn(metrics_server.serve(listener)));

    let (stop_sender, stop_receiver) = async_channel::bounded::<()>(1);
    let mut active = ActiveConfig {
        config,
        sidecar,
        clients: clients.clone(),
        endpoint_connections,
        memory,
        names,
        address_updates,
    };
    let control_task = executor.spawn(async move {
        while let Some(event) = control_events.next().await {
            match event {
                // Configurations are still applied while accepted requests are being answered.
                ControlEvent::Stop => drop(stop_sender.try_send(())),
                ControlEvent::Reload(Ok(config)) => {
                    active.sidecar.counts().configuration(true);
                    active.replace(*config);
                }
                ControlEvent::Reload(Err(fault)) => {
                    active.sidecar.counts().configuration(false);
                    tracing::error!(%fault, "invalid configuration ignored; the previous one stays in force");
                }
            }
        }
        drop(stop_sender);
        future::pending::<()>().await; // Keeps the watcher's channel of addresses open.
    });
    let _ = stop_receiver.recv().await;
    stopping.set(true);
    fleet.iter().for_each(|fleet| fleet.send_command(Command::Leave));

    let shutdown = clients.stop();
    let is_superseded = || pid_file.as_ref().is_some_and(|pid_file| pid_file.is_superseded());
    let now = || clock.now();
    // There may be no other process for this one's clients: it keeps serving as long as it may.
    while !is_superseded()
        && !shutdown.is_complete(now(), clients.open())
        && now() < shutdown.closes_connections_at()
    {
        let next_check = shutdown.closes_connections_at().min(now() + STATE_CHECK_INTERVAL);
        connection_closed_or(&clients, Timer::at(clock.instant(next_check))).await;
    }
    clients.close_after_next_response();
    if is_superseded() {
        // A newer process shares the clients' address: new connections go there from now on.
        tracing::info!("a newer process is running; it takes all new connections");
        clients.stop_accepting();
        Timer::after(IDLE_CLOSE_DELAY).await;
    }
    let all_connections_closed = async || {
        while !shutdown.is_complete(now(), clients.open()) {
            clients.close_idle();
            connection_closed_or(&clients, Timer::after(IDLE_CHECK_INTERVAL)).await;
        }
    };
    while !shutdown.is_complete(now(), clients.open()) && now() < shutdown.last_answer_at() {
        clients.close_idle();
        connection_closed_or(&clients, Timer::after(IDLE_CHECK_INTERVAL)).await;
    }
    // From here on only answers that have begun go on, for as long as they take: a new connection
    // would get none. Those made at the last moment are still in the listener's queue: closing it
    // would reset them and the requests sent on them.
    clients.stop_accepting();
    accept.await;
    all_connections_closed().await;
    // An acknowledged command to disable an endpoint has to hold after the next start. A hung disk
    // is waited for until SIGKILL may come, and no longer.
    let kill_timer = Timer::at(clock.instant(shutdown.flush_until(now())));
    future::or(console.disabled.flush(), async {
        kill_timer.await;
        tracing::warn!(
            "state file not written in time; disabled endpoints may be enabled after the next start"
        );
    })
    .await;
    drop(control_task);
    Ok(())
}

/// Waits until a client connection has closed, or for the timer.
async fn connection_closed_or(clients: &Clients, timer: Timer) {
    future::or(clients.wait_for_close(), async {
        timer.await;
    })
    .await;
}
