//! TCP relays on loopback: an address in front of each endpoint, with faults on the connections
//! through it. They stand for links to discovery, to endpoints and to clients.
//!
//! A relay accepts connections itself, so an endpoint behind a dead link looks slow to answer
//! rather than slow to connect. The effect of a lost SYN cannot be reproduced without privileges
//! over the network.

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use socket2::SockRef;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The largest number of connections through all relays. Further ones are reset and counted.
const CONNECTIONS_LIMIT: usize = 512;
/// The bytes read at once, and the number of such chunks in flight in each direction of a
/// connection: 512 KB in all, a usual socket buffer. When it is full, the relay stops reading from
/// the sender.
const CHUNK_BYTES: usize = 16 * 1024;
const CHUNKS_IN_FLIGHT: usize = 32;
/// The delay after an error of the listener, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The faults of the connections through one relay. The default is no faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamFaults {
    /// The delay of every byte, in either direction.
    pub delay: Duration,
    /// Whether bytes to the endpoint are held; they are delivered once this ends.
    pub hold_to_endpoint: bool,
    /// Whether bytes from the endpoint are held; they are delivered once this ends.
    pub hold_from_endpoint: bool,
    /// Whether connections are reset: existing ones and each new one.
    pub reset: bool,
}

/// What has passed through one relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamCounts {
    /// Connections accepted.
    pub connections: u64,
    /// Connections that were reset, because of a fault, a missing endpoint or the limit on
    /// connections.
    pub reset: u64,
    /// Bytes forwarded to the endpoint.
    pub bytes_to_endpoint: u64,
    /// Bytes forwarded from the endpoint.
    pub bytes_from_endpoint: u64,
}

#[derive(Default)]
struct State {
    endpoint: Option<SocketAddr>,
    faults: StreamFaults,
    counts: StreamCounts,
}

struct Shared {
    addresses: Vec<SocketAddr>,
    /// Never locked during I/O.
    states: Mutex<Vec<State>>,
    changed: Event,
}

/// Running relays, all on one thread. On drop they stop and their connections are closed.
pub struct StreamRelays {
    shared: Arc<Shared>,
    stop: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Clone, Copy)]
enum Direction {
    ToEndpoint,
    FromEndpoint,
}

impl StreamRelays {
    /// Starts relays that have no endpoints yet; until one is set, connections are reset. Fails
    /// when no port is left.
    pub fn start(relays: usize) -> io::Result<StreamRelays> {
        let listeners = (0..relays).map(|_| Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)));
        let listeners = listeners.collect::<io::Result<Vec<_>>>()?;
        let addresses = listeners.iter().map(|listener| listener.get_ref().local_addr());
        let addresses = addresses.collect::<io::Result<_>>()?;
        let states = Mutex::new((0..relays).map(|_| State::default()).collect());
        let shared = Arc::new(Shared { addresses, states, changed: Event::new() });
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread_shared = shared.clone();
        let thread = thread::Builder::new().name("streams".to_owned()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let connection_token = Rc::new(());
            for (relay, listener) in listeners.into_iter().enumerate() {
                executor
                    .spawn(accept(
                        thread_shared.clone(),
                        relay,
                        listener,
                        executor.clone(),
                        connection_token.clone(),
                    ))
                    .detach();
            }
            let _ = async_io::block_on(executor.run(stopped.recv()));
        })?;
        Ok(StreamRelays { shared, stop: Some(stop), thread: Some(thread) })
    }

    /// The address at which a relay listens. Panics for a relay that does not exist, as do all
    /// methods that take one.
    pub fn address(&self, relay: usize) -> SocketAddr {
        self.shared.addresses[relay]
    }

    /// Sets the endpoint of new connections through a relay. With `None` they are reset.
    pub fn set_endpoint(&self, relay: usize, endpoint: Option<SocketAddr>) {
        self.shared.states()[relay].endpoint = endpoint;
    }

    /// Sets the faults of the connections through a relay, existing and new.
    pub fn set(&self, relay: usize, faults: StreamFaults) {
        self.shared.states()[relay].faults = faults;
        self.shared.changed.notify(usize::MAX);
    }

    /// What has passed through a relay so far.
    pub fn counts(&self, relay: usize) -> StreamCounts {
        self.shared.states()[relay].counts
    }
}

impl Drop for StreamRelays {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn states(&self) -> MutexGuard<'_, Vec<State>> {
        // Every update of the state is complete in itself, so a panic of another thread cannot
        // leave it inconsistent.
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, relay: usize, direction: Direction, bytes: usize) {
        let counts = &mut self.states()[relay].counts;
        match direction {
            Direction::ToEndpoint => counts.bytes_to_endpoint += bytes as u64,
            Direction::FromEndpoint => counts.bytes_from_endpoint += bytes as u64,
        }
    }

    /// Waits until a relay's faults satisfy a condition.
    async fn wait_for_faults(&self, relay: usize, condition: impl Fn(StreamFaults) -> bool) {
        loop {
            let changed = self.changed.listen();
            if condition(self.states()[relay].faults) {
                return;
            }
            changed.await;
        }
    }
}

/// Accepts the connections of one relay. The token's reference count is the number of open
/// connections, plus one for each relay and one for the creator.
async fn accept(
    shared: Arc<Shared>,
    relay: usize,
    listener: Async<TcpListener>,
    executor: Rc<LocalExecutor<'static>>,
    connection_token: Rc<()>,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // One reference for each relay, one for the creator, and one for each connection.
        let full = Rc::strong_count(&connection_token) > CONNECTIONS_LIMIT + shared.addresses.len();
        let endpoint = {
            let state = &mut shared.states()[relay];
            state.counts.connections += 1;
            state.endpoint.filter(|_| !full)
        };
        let (shared, connection_token) = (shared.clone(), connection_token.clone());
        let connection = async move {
            let work = async {
                let endpoint = endpoint.ok_or(io::ErrorKind::NotConnected)?;
                relay_connection(&shared, relay, &client, endpoint).await
            };
            if work.await.is_err() {
                shared.states()[relay].counts.reset += 1;
                // With a linger time of zero, closing the socket resets the connection.
                let _ = SockRef::from(client.get_ref()).set_linger(Some(Duration::ZERO));
            }
            drop((client, connection_token));
        };
        executor.spawn(connection).detach();
    }
}

/// Relays one connection until both sides have closed it. Fails when the connection is to be reset.
async fn relay_connection(
    shared: &Shared,
    relay: usize,
    client: &Async<TcpStream>,
    endpoint: SocketAddr,
) -> io::Result<()> {
    let endpoint = future::or(fail_on_reset(shared, relay), Async::<TcpStream>::connect(endpoint)).await?;
    let _ = (client.get_ref().set_nodelay(true), endpoint.get_ref().set_nodelay(true));
    let both = async {
        let to_endpoint = copy_bytes(shared, relay, Direction::ToEndpoint, client, &endpoint);
        future::try_zip(to_endpoint, copy_bytes(shared, relay, Direction::FromEndpoint, &endpoint, client))
            .await
            .map(drop)
    };
    let done = future::or(fail_on_reset(shared, relay), both).await;
    if done.is_err() {
        let _ = SockRef::from(endpoint.get_ref()).set_linger(Some(Duration::ZERO));
    }
    done
}

/// Fails once connections are to be reset.
async fn fail_on_reset<T>(shared: &Shared, relay: usize) -> io::Result<T> {
    shared.wait_for_faults(relay, |faults| faults.reset).await;
    Err(io::ErrorKind::ConnectionReset.into())
}

/// Copies bytes in one direction until the sender closes it, then closes the receiver's side too.
fn copy_bytes(
    shared: &Shared,
    relay: usize,
    direction: Direction,
    mut from: &Async<TcpStream>,
    mut to: &Async<TcpStream>,
) -> impl Future<Output = io::Result<()>> {
    let (sender, receiver) = async_channel::bounded::<(Instant, Vec<u8>)>(CHUNKS_IN_FLIGHT);
    let read = async move {
        loop {
            let mut chunk = vec![0; CHUNK_BYTES];
            let n = from.read(&mut chunk).await?;
            if n == 0 {
                return Ok(());
            }
            chunk.truncate(n);
            let due = Instant::now() + shared.states()[relay].faults.delay;
            sender.send((due, chunk)).await.map_err(io::Error::other)?;
        }
    };
    let write = async move {
        while let Ok((due, chunk)) = receiver.recv().await {
            Timer::at(due).await;
            let open = |faults: StreamFaults| match direction {
                Direction::ToEndpoint => !faults.hold_to_endpoint,
                Direction::FromEndpoint => !faults.hold_from_endpoint,
            };
            shared.wait_for_faults(relay, open).await;
            // Counted before the write: a receiver of the bytes may read the counts at once.
            shared.count(relay, direction, chunk.len());
            to.write_all(&chunk).await?;
        }
        to.get_ref().shutdown(Shutdown::Write)
    };
    async { future::try_zip(read, write).await.map(drop) }
}
