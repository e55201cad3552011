//! The sidecar as a program: its parts put together, from the first connection to the last.

use crate::config::Config;
use crate::interface::ListKind;
use crate::net::clients::Clients;
use crate::net::list::{Names, Watcher};
use crate::net::servers::{Servers, Terms};
use crate::sidecar::{Clock, Executor, Sidecar};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
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

/// Serves until `stop` yields, then answers what was taken and returns.
pub fn run(config: Config, listener: TcpListener, stop: impl Stream + Unpin) -> io::Result<()> {
    let executor: Executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(serve(config, listener, stop, executor.clone())))
}

async fn serve(
    config: Config,
    listener: TcpListener,
    mut stop: impl Stream + Unpin,
    executor: Executor,
) -> io::Result<()> {
    let platform = config.platform;
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
    let generation = config.known.map(|k| k.generation);
    let watcher = Watcher {
        sidecar: sidecar.clone(),
        servers: servers.clone(),
        discovery: config.discovery,
        names,
        generation,
    };
    executor.spawn(watcher.run(asked)).detach();
    let clients = Clients::new(sidecar, servers, platform, executor.clone(), config.client_connections);
    let accept = executor.spawn(clients.clone().accept(Async::new(listener)?));
    stop.next().await;

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
    drop(accept);
    Ok(())
}
