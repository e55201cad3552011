//! The sidecar as a program: its parts put together, from the first connection to the last.

use crate::config::{BadConfig, Config};
use crate::console::Console;
use crate::fleet::Membership;
use crate::metrics::Watched;
use crate::taken_out::TakenOut;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use cottonpoint_core::{Clock, Executor, Sidecar};
use cottonpoint_decide::{Discovery, ListKind};
use cottonpoint_mesh::Command;
use cottonpoint_net::clients::Clients;
use cottonpoint_net::console::ConsoleCommand;
use cottonpoint_net::list::{DiscoveryAddress, NameTable, Watcher};
use cottonpoint_net::servers::{EndpointConnections, PoolSettings};
use futures_lite::{Stream, StreamExt, future};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::TcpListener;
use std::path::Path;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

/// Beside a newer process, connections between requests are closed this long after the word to stop: what
/// crosses that is sent again, to the newer one.
const CLOSE_IDLE: Duration = Duration::from_millis(450);
/// How often a process that gives its clients back looks for connections that stand idle.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// Descriptors for all else, at most: three standard streams, three of the event loop, two for signals, the listeners
/// of clients, console and metrics, discovery, a call for the metrics, the fleet's socket, two files: 16, rounded up
/// to 24; and the console's callers.
const OWN_DESCRIPTORS: usize = 24 + cottonpoint_net::console::MAX_CONNECTIONS;

/// How often the file of endpoints out by hand is read again, for what a process beside this one wrote: well
/// within the grace of a drain.
const FOLLOW_EVERY: Duration = Duration::from_millis(200);

/// What a running sidecar is told from outside.
#[derive(Debug)]
pub enum Word {
    /// Answer what is taken, then end.
    Stop,
    /// Go by another configuration from now on; a bad one changes nothing.
    Reload(Result<Box<Config>, BadConfig>),
}

/// Serves until the word to stop (or the end of all words), then answers what was taken and returns. Metrics
/// are served where a listener for them is given.
pub fn run(
    config: Config,
    listener: TcpListener,
    metrics: Option<TcpListener>,
    words: impl Stream<Item = Word> + Unpin + 'static,
) -> io::Result<()> {
    run_with(config, Listeners { clients: listener, metrics, console: None }, words)
}

/// Where the sidecar listens: for clients, and where given for metrics and the console.
#[derive(Debug)]
pub struct Listeners {
    /// Clients.
    pub clients: TcpListener,
    /// `GET /metrics`.
    pub metrics: Option<TcpListener>,
    /// The console's calls.
    pub console: Option<TcpListener>,
}

/// The same with all listeners.
pub fn run_with(
    config: Config,
    listeners: Listeners,
    words: impl Stream<Item = Word> + Unpin + 'static,
) -> io::Result<()> {
    run_in_fleet(config, listeners, None, words)
}

/// The same as a member of a fleet, where one is given: it is left at the word to stop, and ends with the sidecar.
pub fn run_in_fleet(
    config: Config,
    listeners: Listeners,
    fleet: Option<Membership>,
    words: impl Stream<Item = Word> + Unpin + 'static,
) -> io::Result<()> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    let fleet = fleet.map(Rc::new);
    let served =
        async_io::block_on(executor.run(serve(config, listeners, fleet.clone(), words, executor.clone())));
    fleet.iter().for_each(|fleet| fleet.end());
    served
}

async fn serve(
    config: Config,
    Listeners { clients: listener, metrics, console: console_listener }: Listeners,
    fleet: Option<Rc<Membership>>,
    mut words: impl Stream<Item = Word> + Unpin + 'static,
    executor: Executor,
) -> io::Result<()> {
    let platform = config.platform.clone();
    let names = NameTable { zones: platform.zones.clone(), kinds: platform.kinds.clone() };
    let clock = Clock::start();
    let (sidecar, asked) = Sidecar::new(platform.balancer.clone(), config.seed, clock, executor.clone());
    sidecar.set_drain_grace(platform.drain_grace);
    let servers = EndpointConnections::new(terms(&config), executor.clone());
    // The balancer comes to life with its first event: it is told of an empty list too.
    let known = config.known.as_ref().and_then(|k| k.listed(&names).ok());
    let (kind, listed) = known.unwrap_or((ListKind::Full, Vec::new()));
    sidecar.apply_list(kind, &listed);
    let generation = config.known.as_ref().map(|k| k.generation);
    let (moves, discovery_changes) = async_channel::unbounded();
    let watcher = Watcher {
        sidecar: sidecar.clone(),
        servers: servers.clone(),
        discovery: place(&config),
        names,
        generation,
        discovery_changes,
        random: fastrand::Rng::with_seed(config.seed),
    };
    executor.spawn(watcher.run(asked)).detach();
    let clients =
        Clients::new(sidecar.clone(), servers.clone(), platform, executor.clone(), bounds(&config).0);
    let accept = executor.spawn(clients.clone().accept(Async::new(listener)?));
    let succession = config.state.as_deref().map(Succession::new);
    if succession.as_ref().is_some_and(|succession| succession.beside_another()) {
        // An upgrade: the older process has watched discovery all along, and its news holds for this one
        // soon after this one is ready. The whole list is asked for at once, not at a spread-out time.
        tracing::info!("started beside an older process: discovery is asked at once");
        let _ = moves.try_send(place(&config));
    }
    succession.iter().for_each(|succession| announce(succession.clone()));

    let stopping = Rc::new(Cell::new(false));
    let out = Rc::new(TakenOut::load(config.state.as_deref()));
    let console = Rc::new(Console {
        sidecar: sidecar.clone(),
        clients: clients.clone(),
        classes: Rc::new(RefCell::new(config.platform.classes.clone())),
        out,
        stopping: stopping.clone(),
        fleet: fleet.clone(),
    });
    console.restore();
    let follower = Rc::downgrade(&console);
    let _follow = executor.spawn(async move {
        while let Some(console) = follower.upgrade() {
            console.follow_file();
            drop(console);
            Timer::after(FOLLOW_EVERY).await;
        }
    });
    let _console = console_listener.map(|listener| {
        let console = console.clone();
        let answer: Rc<dyn Fn(ConsoleCommand) -> String> = Rc::new(move |call| console.answer(call));
        executor.spawn(cottonpoint_net::console::serve(listener, executor.clone(), answer))
    });
    let _join = fleet.clone().map(|fleet| executor.spawn(async move { fleet.wait_for_address().await }));
    let counts = sidecar.clone();
    let classes = console.classes.clone();
    let watched =
        Watched { sidecar, clients: clients.clone(), servers: servers.clone(), fleet: fleet.clone() };
    let _metrics = metrics.map(|listener| executor.spawn(watched.serve(listener)));

    let (stop, stopped) = async_channel::bounded::<()>(1);
    let (mut current, bounded) = (config, clients.clone());
    let heed = executor.spawn(async move {
        while let Some(word) = words.next().await {
            match word {
                // Configurations are still heeded while what was taken is being answered.
                Word::Stop => drop(stop.try_send(())),
                Word::Reload(Ok(config)) => {
                    counts.counts().configuration(true);
                    if config.platform != current.platform {
                        // Open flows keep the rules that they came in with; new ones take these.
                        counts.reload_settings(config.platform.balancer.clone());
                        bounded.set_platform(config.platform.clone());
                        *classes.borrow_mut() = config.platform.classes.clone();
                    }
                    counts.set_drain_grace(config.platform.drain_grace);
                    if place(&config) != place(&current) {
                        let _ = moves.try_send(place(&config));
                    }
                    bounded.set_max_connections(bounds(&config).0);
                    servers.set_pool_settings(terms(&config));
                    tracing::info!("{}", current.change_to(*config));
                }
                Word::Reload(Err(fault)) => {
                    counts.counts().configuration(false);
                    tracing::error!(%fault, "the old configuration holds");
                }
            }
        }
        drop(stop);
        future::pending::<()>().await; // The watcher may be told of a move for as long as it lives.
    });
    let _ = stopped.recv().await;
    stopping.set(true);
    fleet.iter().for_each(|fleet| fleet.tell(Command::Leave));

    let stop = clients.stop();
    let followed = || succession.as_ref().is_some_and(|succession| succession.followed());
    let now = || clock.now();
    // Nobody else may be there for this process's clients: it serves on for as long as it may.
    while !followed() && !stop.is_complete(now(), clients.open()) && now() < stop.closes_connections_at() {
        let look = stop.closes_connections_at().min(now() + FOLLOW_EVERY);
        one_closed_or(&clients, Timer::at(clock.instant(look))).await;
    }
    clients.close_after_next_response();
    if followed() {
        // A newer process shares the clients' address: what comes goes there from now on.
        tracing::info!("a newer process serves beside this one: it takes all new connections");
        clients.stop_accepting();
        Timer::after(CLOSE_IDLE).await;
    }
    let nobody_is_left = async || {
        while !stop.is_complete(now(), clients.open()) {
            clients.close_idle();
            one_closed_or(&clients, Timer::after(LOOK_AGAIN)).await;
        }
    };
    nobody_is_left().await;
    // Who came in the very last moment stands in the listener's queue: closing it would reset what was sent.
    clients.stop_accepting();
    accept.await;
    nobody_is_left().await;
    // Who was told yes for an endpoint out by hand may count on it at the next start. A disk that hangs is waited
    // for until SIGKILL may come, and no longer.
    let killed = Timer::at(clock.instant(stop.kill_at()));
    future::or(console.out.kept(), async {
        killed.await;
        tracing::warn!("the disk hangs: endpoints out by hand may not be kept for the next start");
    })
    .await;
    drop(heed);
    Ok(())
}

/// Announces this process to the older one beside it, again until the disk takes it: on a thread of its own, since the
/// disk may take seconds and clients come from the first moment. The thread ends then, or with the process.
fn announce(succession: Succession) {
    thread::spawn(move || {
        while let Err(why) = succession.announce() {
            tracing::warn!(%why, "a newer process beside the older one could not be announced yet");
            thread::sleep(FOLLOW_EVERY);
        }
    });
}

/// What the pool of connections to targets goes by.
fn terms(config: &Config) -> PoolSettings {
    let platform = &config.platform;
    PoolSettings {
        connect_timeout: platform.connect_timeout,
        // Well before the other side closes it under a request.
        idle_timeout: platform.conn_idle.mul_f64(0.7),
        max_connections: bounds(config).1,
        fields: platform.fields.clone(),
        field_names: platform.field_names.clone(),
    }
}

/// Connections to clients and to targets at most. The system may give fewer descriptors than the settings name: both
/// get less then, so that clients who fill their places leave discovery, console and endpoints theirs.
fn bounds(config: &Config) -> (usize, usize) {
    let (clients, targets) = (config.client_connections, config.target_connections);
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let files = limits.lines().find_map(|l| l.strip_prefix("Max open files")?.split_whitespace().next());
    let Some(files) = files.and_then(|files| files.parse::<usize>().ok()) else {
        return (clients, targets);
    };
    let left = files.saturating_sub(OWN_DESCRIPTORS).clamp(2, clients + targets);
    let clients = (clients * left / (clients + targets)).max(1);
    (clients, left - clients)
}

/// Where discovery is, by that configuration.
fn place(config: &Config) -> DiscoveryAddress {
    DiscoveryAddress {
        address: config.discovery,
        pushed: config.platform.balancer.discovery == Discovery::Pushed,
    }
}

/// Waits until a connection has closed, or for the timer.
async fn one_closed_or(clients: &Clients, timer: Timer) {
    future::or(clients.wait_for_close(), async {
        timer.await;
    })
    .await;
}

/// Processes of the sidecar that follow one another on the same clients' address, as the state directory
/// tells: each announces itself once it listens, so that an older one, told to stop, knows that a newer one
/// takes the clients (an upgrade) rather than nobody (a restart).
#[derive(Clone, Debug)]
pub struct Succession {
    file: std::path::PathBuf,
    /// What the file said when this process started.
    before: Option<String>,
}

impl Succession {
    /// The file that names the newest process.
    pub const FILE: &'static str = "cottonpoint-newest.pid";

    /// Announcements in that directory.
    pub fn new(state: &std::path::Path) -> Succession {
        let file = state.join(Self::FILE);
        let before = std::fs::read_to_string(&file).ok();
        Succession { file, before }
    }

    /// This process is the newest from now on, unless another one has announced itself since this one started: the disk may
    /// take its time.
    pub fn announce(&self) -> io::Result<()> {
        let unchanged = || std::fs::read_to_string(&self.file).ok() == self.before;
        crate::state::write_whole_if(&self.file, &std::process::id().to_string(), unchanged).map(drop)
    }

    /// Whether another process of the sidecar has announced itself and still runs.
    pub fn beside_another(&self) -> bool {
        let newest = std::fs::read_to_string(&self.file).ok();
        let pid = newest.and_then(|pid| pid.trim().parse::<u32>().ok());
        pid.is_some_and(|pid| pid != std::process::id() && Path::new(&format!("/proc/{pid}")).exists())
    }

    /// Whether a newer process has announced itself since.
    pub fn followed(&self) -> bool {
        let newest = std::fs::read_to_string(&self.file).ok();
        newest.and_then(|pid| pid.trim().parse::<u32>().ok()).is_some_and(|pid| pid != std::process::id())
    }
}
