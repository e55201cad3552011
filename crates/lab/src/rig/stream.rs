//! Relays of TCP on loopback: an address in front of each target, and what happens on the way. For links to
//! discovery, servers and clients.
//!
//! A relay takes connections itself, so that a target behind a dead link looks slow to answer, not slow to connect:
//! what a sender sees of a lost SYN cannot be had without rights over the network.

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

/// Connections through all relays at most; a further one is reset and counted.
const CONNECTIONS_LIMIT: usize = 512;
/// Bytes that are read at once, and pieces of that size under way in each direction of a connection: 512 KB, a
/// usual socket buffer; past that the sender is not read.
const PIECE: usize = 16 * 1024;
const PIECES: usize = 32;
/// After an error of the listener, such as no descriptor left.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// What happens to connections through one relay. Nothing by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamFaults {
    /// Every byte comes that much later, either way.
    pub delay: Duration,
    /// Bytes to the target stop on the way; those under way come once this ends.
    pub hold_there: bool,
    /// The same for bytes from the target.
    pub hold_back: bool,
    /// Connections are reset: those there are, and each new one.
    pub reset: bool,
}

/// What has passed through one relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamCounts {
    /// Connections taken.
    pub connections: u64,
    /// Of them, reset by a fault, for want of a target or of room.
    pub reset: u64,
    /// Bytes handed to the target.
    pub there: u64,
    /// Bytes handed back from the target.
    pub back: u64,
}

#[derive(Default)]
struct State {
    target: Option<SocketAddr>,
    faults: StreamFaults,
    counts: StreamCounts,
}

struct Shared {
    addresses: Vec<SocketAddr>,
    /// Never held over I/O.
    states: Mutex<Vec<State>>,
    changed: Event,
}

/// Running relays, all on one thread. Dropped, they end and so do their connections.
pub struct Streams {
    shared: Arc<Shared>,
    end: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Clone, Copy)]
enum Way {
    There,
    Back,
}

impl Streams {
    /// So many relays, without targets yet: until they have one, connections are reset. Fails where no port is left.
    pub fn start(relays: usize) -> io::Result<Streams> {
        let listeners = (0..relays).map(|_| Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0)));
        let listeners = listeners.collect::<io::Result<Vec<_>>>()?;
        let addresses = listeners.iter().map(|listener| listener.get_ref().local_addr());
        let addresses = addresses.collect::<io::Result<_>>()?;
        let states = Mutex::new((0..relays).map(|_| State::default()).collect());
        let shared = Arc::new(Shared { addresses, states, changed: Event::new() });
        let (end, ended) = async_channel::bounded::<()>(1);
        let own = shared.clone();
        let thread = thread::Builder::new().name("streams".to_owned()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let room = Rc::new(());
            for (relay, listener) in listeners.into_iter().enumerate() {
                executor
                    .spawn(accept(own.clone(), relay, listener, executor.clone(), room.clone()))
                    .detach();
            }
            let _ = async_io::block_on(executor.run(ended.recv()));
        })?;
        Ok(Streams { shared, end: Some(end), thread: Some(thread) })
    }

    /// Where a relay listens. Panics on one that does not exist, as do all that name one.
    pub fn address(&self, relay: usize) -> SocketAddr {
        self.shared.addresses[relay]
    }

    /// Where new connections through a relay go from now on; nowhere, and they are reset, for `None`.
    pub fn lead_to(&self, relay: usize, target: Option<SocketAddr>) {
        self.shared.states()[relay].target = target;
    }

    /// Sets what happens to connections through a relay from now on.
    pub fn set(&self, relay: usize, faults: StreamFaults) {
        self.shared.states()[relay].faults = faults;
        self.shared.changed.notify(usize::MAX);
    }

    /// What has passed through a relay.
    pub fn counts(&self, relay: usize) -> StreamCounts {
        self.shared.states()[relay].counts
    }
}

impl Drop for Streams {
    fn drop(&mut self) {
        self.end.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn states(&self) -> MutexGuard<'_, Vec<State>> {
        // Every change is whole by itself: one that panicked elsewhere has left nothing half done.
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, relay: usize, way: Way, bytes: usize) {
        let counts = &mut self.states()[relay].counts;
        match way {
            Way::There => counts.there += bytes as u64,
            Way::Back => counts.back += bytes as u64,
        }
    }

    /// Waits until something is so of a relay's faults.
    async fn until(&self, relay: usize, so: impl Fn(StreamFaults) -> bool) {
        loop {
            let changed = self.changed.listen();
            if so(self.states()[relay].faults) {
                return;
            }
            changed.await;
        }
    }
}

async fn accept(
    shared: Arc<Shared>,
    relay: usize,
    listener: Async<TcpListener>,
    executor: Rc<LocalExecutor<'static>>,
    room: Rc<()>,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            Timer::after(ACCEPT_AGAIN).await;
            continue;
        };
        // One holder for each relay, one at the start, one for each connection.
        let full = Rc::strong_count(&room) > CONNECTIONS_LIMIT + shared.addresses.len();
        let target = {
            let state = &mut shared.states()[relay];
            state.counts.connections += 1;
            state.target.filter(|_| !full)
        };
        let (shared, room) = (shared.clone(), room.clone());
        let connection = async move {
            let work = async {
                let target = target.ok_or(io::ErrorKind::NotConnected)?;
                relayed(&shared, relay, &client, target).await
            };
            if work.await.is_err() {
                shared.states()[relay].counts.reset += 1;
                // Closed with nothing to linger for, a connection is reset.
                let _ = SockRef::from(client.get_ref()).set_linger(Some(Duration::ZERO));
            }
            drop((client, room));
        };
        executor.spawn(connection).detach();
    }
}

/// One connection until both sides have closed it. Fails when it is to be reset.
async fn relayed(
    shared: &Shared,
    relay: usize,
    client: &Async<TcpStream>,
    target: SocketAddr,
) -> io::Result<()> {
    let target = future::or(reset(shared, relay), Async::<TcpStream>::connect(target)).await?;
    let _ = (client.get_ref().set_nodelay(true), target.get_ref().set_nodelay(true));
    let both = async {
        let there = one_way(shared, relay, Way::There, client, &target);
        future::try_zip(there, one_way(shared, relay, Way::Back, &target, client)).await.map(drop)
    };
    let done = future::or(reset(shared, relay), both).await;
    if done.is_err() {
        let _ = SockRef::from(target.get_ref()).set_linger(Some(Duration::ZERO));
    }
    done
}

/// Fails once connections are to be reset.
async fn reset<T>(shared: &Shared, relay: usize) -> io::Result<T> {
    shared.until(relay, |faults| faults.reset).await;
    Err(io::ErrorKind::ConnectionReset.into())
}

/// Bytes of one direction, until their sender closes it; then it is closed at the other end too.
fn one_way(
    shared: &Shared,
    relay: usize,
    way: Way,
    mut from: &Async<TcpStream>,
    mut to: &Async<TcpStream>,
) -> impl Future<Output = io::Result<()>> {
    let (put, take) = async_channel::bounded::<(Instant, Vec<u8>)>(PIECES);
    let read = async move {
        loop {
            let mut piece = vec![0; PIECE];
            let n = from.read(&mut piece).await?;
            if n == 0 {
                return Ok(());
            }
            piece.truncate(n);
            let due = Instant::now() + shared.states()[relay].faults.delay;
            put.send((due, piece)).await.map_err(io::Error::other)?;
        }
    };
    let write = async move {
        while let Ok((due, piece)) = take.recv().await {
            Timer::at(due).await;
            let open = |faults: StreamFaults| match way {
                Way::There => !faults.hold_there,
                Way::Back => !faults.hold_back,
            };
            shared.until(relay, open).await;
            // Counted first: who has the bytes may look at once.
            shared.count(relay, way, piece.len());
            to.write_all(&piece).await?;
        }
        to.get_ref().shutdown(Shutdown::Write)
    };
    async { future::try_zip(read, write).await.map(drop) }
}
