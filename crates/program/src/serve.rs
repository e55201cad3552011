//! The sidecar as a program: its parts put together, from the first connection to the last.

use crate::config::{BadConfig, Config};
use crate::metrics::Watched;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use cottonpoint_core::{Clock, Executor, Sidecar};
use cottonpoint_decide::ListKind;
use cottonpoint_net::clients::Clients;
use cottonpoint_net::list::{Names, Watcher};
use cottonpoint_net::servers::{Servers, Terms};
use futures_lite::{Stream, StreamExt, future};
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// New connections keep coming for up to 0.4 s after the word to stop; what came more than 0.7 s after it
/// need not be answered.
const STILL_COMING: Duration = Duration::from_millis(700);
/// By then, connections between requests are closed: what crosses that is sent again, while we still accept.
const CLOSE_IDLE: Duration = Duration::from_millis(450);

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
    let executor: Executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(serve(config, listener, metrics, words, executor.clone())))
}

async fn serve(
    config: Config,
    listener: TcpListener,
    metrics: Option<TcpListener>,
    mut words: impl Stream<Item = Word> + Unpin + 'static,
    executor: Executor,
) -> io::Result<()> {
    let platform = config.platform.clone();
    let names = Names { zones: platform.zones.clone(), kinds: platform.kinds.clone() };
    let (sidecar, asked) =
        Sidecar::new(platform.balancer.clone(), config.seed, Clock::start(), executor.clone());
    let terms = Terms {
        connect_timeout: platform.connect_timeout,
        // Well before the other side closes it under a request.
        idle: platform.conn_idle.mul_f64(0.7),
        connections: config.target_connections,
        fields: platform.fields.clone(),
        field_names: platform.field_names.clone(),
    };
    let servers = Servers::new(terms, executor.clone());
    // The balancer comes to life with its first event: it is told of an empty list too.
    let known = config.known.as_ref().and_then(|k| k.listed(&names).ok());
    let (kind, listed) = known.unwrap_or((ListKind::Full, Vec::new()));
    sidecar.listed(kind, &listed);
    let generation = config.known.as_ref().map(|k| k.generation);
    let (moves, moved) = async_channel::unbounded();
    let watcher = Watcher {
        sidecar: sidecar.clone(),
        servers: servers.clone(),
        discovery: config.discovery,
        names,
        generation,
        moved,
    };
    executor.spawn(watcher.run(asked)).detach();
    let clients = Clients::new(
        sidecar.clone(),
        servers.clone(),
        platform,
        executor.clone(),
        config.client_connections,
    );
    let accept = executor.spawn(clients.clone().accept(Async::new(listener)?));

    let watched = Watched { sidecar, clients: clients.clone(), servers: servers.clone() };
    let _metrics = metrics.map(|listener| executor.spawn(watched.serve(listener)));

    let (stop, stopped) = async_channel::bounded::<()>(1);
    let (mut current, bounded) = (config, clients.clone());
    let heed = executor.spawn(async move {
        while let Some(word) = words.next().await {
            match word {
                // Configurations are still heeded while what was taken is being answered.
                Word::Stop => drop(stop.try_send(())),
                Word::Reload(Ok(config)) => {
                    if config.discovery != current.discovery {
                        let _ = moves.try_send(config.discovery);
                    }
                    bounded.set_bound(config.client_connections);
                    servers.set_bound(config.target_connections);
                    tracing::info!("{}", current.change_to(*config));
                }
                Word::Reload(Err(fault)) => tracing::error!(%fault, "the old configuration holds"),
            }
        }
        drop(stop);
        future::pending::<()>().await; // The watcher may be told of a move for as long as it lives.
    });
    let _ = stopped.recv().await;

    clients.leave();
    Timer::after(CLOSE_IDLE).await;
    clients.close_idle();
    Timer::after(STILL_COMING - CLOSE_IDLE).await;
    loop {
        clients.close_idle();
        if clients.open() == 0 {
            break;
        }
        future::or(clients.one_closed(), async {
            Timer::after(Duration::from_millis(50)).await;
        })
        .await;
    }
    drop((accept, heed));
    Ok(())
}
