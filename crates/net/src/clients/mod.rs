//! Clients: the listener, the connections, and the requests read from them.

mod answer_stream;
mod close;
mod eviction;
mod flow;
mod monitor;
mod read;
mod relay;
mod request_ids;
mod take_in;

pub use close::{LINGERING_TIMEOUT, close};
pub use relay::Reply;
pub use request_ids::SharedIds;

use crate::memory::Memory;
use crate::servers::EndpointConnections;
use crate::write_with_progress;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use cottonpoint_codec::http::Fault;
use cottonpoint_core::{ExecutedIds, Executor, Shutdown, Sidecar};
use cottonpoint_settings::DeploymentSettings;
use eviction::{
    ConnectionGuard, DRAIN_INTERVAL, EVICT_AT_MAXIMUM, EVICT_EARLY, EVICT_IN_DRAIN, Evictable, Stage,
};
use flow::Answered;
use futures_lite::future;
use read::{ClientConnection, ReadFault};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// The first request of a connection must be complete within this time, and each later one within
/// the same time from its first byte: no client occupies a connection longer without a response or
/// a close.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2400);
/// Writing a response fails when the client has read nothing for this long.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The part of a response's body that is written together with its head, in bytes.
const FIRST_WRITE_BYTES: usize = 4 << 10;
/// A connection without a request is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// The interval at which stalled connections are closed while memory runs short.
const MEMORY_RELIEF_INTERVAL: Duration = Duration::from_millis(5);
/// The delay before accepting is retried after a fault that may persist: it doubles from the first
/// value to the maximum. Clients that connect meanwhile wait, and their timeouts run.
const MIN_ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(1);
const MAX_ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The state shared by all client connections.
pub struct Clients {
    sidecar: Rc<Sidecar>,
    endpoint_connections: Rc<EndpointConnections>,
    settings: RefCell<DeploymentSettings>,
    executor: Executor,
    memory: Rc<Memory>,
    /// The maximum number of open connections.
    max_connections: Cell<usize>,
    open: Cell<usize>,
    /// The connections without an open request, in the order in which they entered their stages.
    evictable: RefCell<BTreeMap<u64, Evictable>>,
    /// The ids of requests that may have run: those of this process, and those of all.
    executed_ids: RefCell<ExecutedIds>,
    shared_ids: Option<Box<dyn SharedIds>>,
    /// The ids of the open requests.
    open_ids: RefCell<HashSet<String>>,
    next_id: Cell<u64>,
    /// Whether the last connection to arrive found no free slot or no descriptor.
    scarce: Cell<bool>,
    draining: Cell<bool>,
    stopping: Cell<bool>,
    /// Set once the process has received the stop event; it continues to serve for a while.
    shutdown: Cell<Option<Shutdown>>,
    closed: (Sender<()>, Receiver<()>),
    stop_accepting: (Sender<()>, Receiver<()>),
}

impl Clients {
    /// Creates the state without connections. What the connections hold is reserved in `memory`;
    /// `shared_ids` are those of all processes of the sidecar, if they share any.
    pub fn new(
        sidecar: Rc<Sidecar>,
        endpoint_connections: Rc<EndpointConnections>,
        settings: DeploymentSettings,
        executor: Executor,
        max_connections: usize,
        memory: Rc<Memory>,
        shared_ids: Option<Box<dyn SharedIds>>,
    ) -> Rc<Clients> {
        let clients = Rc::new(Clients {
            sidecar,
            endpoint_connections,
            settings: settings.into(),
            executor,
            memory,
            max_connections: Cell::new(max_connections),
            open: Cell::new(0),
            evictable: RefCell::default(),
            executed_ids: RefCell::default(),
            shared_ids,
            open_ids: RefCell::default(),
            next_id: Cell::new(0),
            scarce: Cell::new(false),
            draining: Cell::new(false),
            stopping: Cell::new(false),
            shutdown: Cell::new(None),
            closed: async_channel::bounded(1),
            stop_accepting: async_channel::bounded(1),
        });
        clients.executor.spawn(Clients::relieve_memory(Rc::downgrade(&clients))).detach();
        clients
    }

    /// Accepts connections until [`Clients::stop_accepting`], then those that are still queued: they
    /// have reached this process, and closing the listener would reset them. Connections without an
    /// open request may be closed to make room; one with an open request never is.
    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        let (mut last_round, mut delay) = (false, MIN_ACCEPT_RETRY_DELAY);
        loop {
            while self.open.get() >= self.max_connections.get() {
                self.scarce.set(true);
                self.evict_one(&EVICT_AT_MAXIMUM);
                future::or(self.wait_for_close(), accept_retry_delay()).await;
            }
            match listener.get_ref().accept() {
                Ok((stream, _)) => {
                    delay = MIN_ACCEPT_RETRY_DELAY;
                    self.scarce.set(false);
                    if self.open.get() * 10 >= self.max_connections.get() * 7 {
                        self.evict_one(&EVICT_EARLY);
                    }
                    self.spawn_connection(stream);
                    future::yield_now().await;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock && last_round => return,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    let stopped = async { self.stop_accepting.1.recv().await.is_ok() };
                    let incoming = async {
                        if listener.readable().await.is_err() {
                            accept_retry_delay().await;
                        }
                        false
                    };
                    last_round = future::or(incoming, stopped).await;
                }
                Err(error) if is_single_connection_error(&error) => future::yield_now().await,
                Err(error) => {
                    tracing::debug!(failure = %error, pause = ?delay, "accepting a connection failed");
                    if is_out_of_resources(&error) {
                        self.scarce.set(true);
                        self.evict_one(&EVICT_AT_MAXIMUM);
                        self.endpoint_connections.close_oldest_idle();
                    }
                    // Any other error may persist: accepting neither spins on it nor ends.
                    Timer::after(delay).await;
                    delay = (delay * 2).min(MAX_ACCEPT_RETRY_DELAY);
                }
            }
        }
    }

    fn spawn_connection(self: &Rc<Self>, stream: TcpStream) {
        let Ok(stream) = Async::new(stream) else { return };
        let guard = ConnectionGuard::new(self.clone());
        self.executor.spawn(async move { guard.0.clone().connection(stream).await }).detach();
    }

    /// Stops accepting: connections that are queued are still served, and then the listener is
    /// closed, so that all new ones go to the other process that shares the address.
    pub fn stop_accepting(&self) {
        let _ = self.stop_accepting.0.try_send(());
    }

    /// Sets the classes, tenants and rules for requests that are accepted from now on.
    pub fn set_platform(&self, settings: DeploymentSettings) {
        *self.settings.borrow_mut() = settings;
    }

    /// The names of the classes in force, in the order of the settings.
    pub fn class_names(&self) -> Vec<String> {
        self.settings.borrow().classes.clone()
    }

    /// Sets the maximum number of open connections.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// Starts the shutdown of the process: it reports not ready, but continues to serve the
    /// connections that clients keep until [`Clients::close_after_next_response`]. The deadline
    /// of each new request is at most the time of the last answer of the shutdown.
    pub fn stop(&self) -> Shutdown {
        let classes = &self.settings.borrow().balancer.classes;
        let longest = classes.iter().map(|c| c.client_timeout).max().unwrap_or_default();
        let shutdown = Shutdown::new(self.sidecar.clock().now(), longest);
        self.shutdown.set(Some(shutdown));
        shutdown
    }

    /// Reports not ready from now on, and closes each connection after its next response.
    pub fn close_after_next_response(&self) {
        let now = self.sidecar.clock().now();
        self.shutdown.set(self.shutdown.get().map(|shutdown| shutdown.close_connections_by(now)));
        self.stopping.set(true);
    }

    /// Starts a drain while the process continues to run: it reports not ready, each connection
    /// closes after its next response, and connections are closed as they become idle, until
    /// [`Clients::end_drain`].
    pub fn start_drain(self: &Rc<Self>) {
        if self.draining.replace(true) {
            return;
        }
        let clients = Rc::downgrade(self);
        self.executor
            .spawn(async move {
                while let Some(clients) = clients.upgrade().filter(|c| c.draining.get()) {
                    while clients.evict_one(&EVICT_IN_DRAIN) {}
                    drop(clients);
                    Timer::after(DRAIN_INTERVAL).await;
                }
            })
            .detach();
    }

    /// Ends a drain: the process reports ready again, and connections are kept open.
    pub fn end_drain(&self) {
        self.draining.set(false);
    }

    /// Whether clients are being sent away, by a drain or before the process ends.
    pub fn is_draining(&self) -> bool {
        self.draining.get() || self.stopping.get()
    }

    /// Closes all connections that are between requests.
    pub fn close_idle(&self) {
        while self.evict_one(&[(Stage::Idle, Duration::ZERO), (Stage::New, Duration::ZERO)]) {}
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Waits until a connection has closed since the last call.
    pub async fn wait_for_close(&self) {
        let _ = self.closed.1.recv().await;
    }

    /// Handles a client's connection from its first byte to its close.
    async fn connection(self: Rc<Self>, stream: Async<TcpStream>) {
        let _ = stream.get_ref().set_nodelay(true);
        let mut connection = ClientConnection::new(stream, &self.memory);
        let end = self.serve(&mut connection).await;
        let ClientConnection { stream, reservation, .. } = connection;
        drop(reservation);
        match end {
            ConnectionEnd::Close { last_response } => self.close_client(&stream, last_response).await,
            ConnectionEnd::Reset => {
                let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
            }
        }
    }

    /// Serves the requests of a connection until it is to end.
    async fn serve(&self, connection: &mut ClientConnection) -> ConnectionEnd {
        let mut last_response = None;
        let mut first_deadline = Some(Instant::now() + REQUEST_TIMEOUT);
        while self.await_request(connection, first_deadline).await {
            let deadline = first_deadline.take().unwrap_or_else(|| Instant::now() + REQUEST_TIMEOUT);
            let progress = connection.progress.clone();
            let read = self.read_evictable(progress, connection.read_request(deadline)).await;
            let (answered, keep) = match read.unwrap_or(Err(ReadFault::Message(Fault::Stalled))) {
                Ok(Some((head, body))) => {
                    let keep = head.keeps_alive(&head.line[2]);
                    (self.answer(connection, head, body).await, keep)
                }
                Ok(None) => break,
                Err(fault) => (take_in::unreadable_reply(&fault).map(Answered::Reply), false),
            };
            let keep = match answered {
                None => break,
                Some(Answered::PassedOn { needs_reset: true, .. }) => return ConnectionEnd::Reset,
                Some(Answered::PassedOn { keep, .. }) => keep && !self.is_draining(),
                Some(Answered::Reply(reply)) => self.write_reply(&connection.stream, reply, keep).await,
            };
            last_response = Some(Instant::now());
            connection.release_request();
            if !keep {
                break;
            }
            // The task yields after each response, so that a client that sends without a pause gets
            // no more than its share.
            future::yield_now().await;
        }
        ConnectionEnd::Close { last_response }
    }

    /// Writes a reply. Returns whether the connection stays open: after a request that cannot be
    /// served the client has to reconnect.
    async fn write_reply(&self, stream: &Async<TcpStream>, reply: Reply, keep: bool) -> bool {
        if (400..500).contains(&reply.status) {
            self.sidecar.counts().bad_request();
            tracing::warn!(status = reply.status, "rejected an invalid request");
        }
        let keep = keep && !reply.closes_connection() && !self.is_draining();
        let sent = write_message(stream, reply.head_bytes(keep), reply.body()).await;
        sent.is_ok() && keep
    }

    /// Waits for the first byte of a request; false when the connection is to close without one.
    async fn await_request(
        &self,
        connection: &mut ClientConnection,
        first_deadline: Option<Instant>,
    ) -> bool {
        if !connection.buffer.is_empty() {
            return true;
        }
        let stage = if first_deadline.is_some() { Stage::New } else { Stage::Idle };
        let deadline = first_deadline.unwrap_or_else(|| Instant::now() + IDLE_TIMEOUT);
        let mut reader = &connection.stream;
        let received = super::with_deadline(deadline, connection.buffer.fill(&mut reader));
        let received = self.run_evictable(stage, received).await;
        // Data that arrived while the close was being requested has reached this process and is
        // served.
        matches!(received, Some(Ok(n)) if n > 0)
            || matches!(connection.stream.get_ref().peek(&mut [0]), Ok(n) if n > 0)
    }

    /// Closes connections that read a request and have stalled, for as long as memory runs short.
    async fn relieve_memory(clients: Weak<Clients>) {
        while let Some(memory) = clients.upgrade().map(|clients| clients.memory.clone()) {
            memory.refusal().await;
            let Some(clients) = clients.upgrade() else { return };
            if clients.evict_stalled() {
                tracing::warn!("closed a connection that had stalled: memory is short");
            }
            drop(clients);
            Timer::after(MEMORY_RELIEF_INTERVAL).await;
        }
    }
}

/// How a client's connection ends.
enum ConnectionEnd {
    /// By a graceful close.
    Close {
        /// When its last response was written.
        last_response: Option<Instant>,
    },
    /// By a reset: the client has to see that its response is not whole.
    Reset,
}

/// Writes the head and the body of a response.
async fn write_message(stream: &Async<TcpStream>, mut head: Vec<u8>, body: &[u8]) -> io::Result<()> {
    // One write for most responses.
    let (first, rest) = body.split_at(body.len().min(FIRST_WRITE_BYTES));
    head.extend_from_slice(first);
    write_with_progress(stream, &head, CLIENT_STALL_TIMEOUT).await?;
    write_with_progress(stream, rest, CLIENT_STALL_TIMEOUT).await
}

async fn accept_retry_delay() {
    Timer::after(MAX_ACCEPT_RETRY_DELAY).await;
}

/// Whether accepting failed for one connection alone, or was interrupted: the next one may be
/// accepted at once.
fn is_single_connection_error(error: &io::Error) -> bool {
    const EPROTO: i32 = 71;
    let kinds =
        [io::ErrorKind::ConnectionAborted, io::ErrorKind::ConnectionReset, io::ErrorKind::Interrupted];
    kinds.contains(&error.kind()) || error.raw_os_error() == Some(EPROTO)
}

fn is_out_of_resources(error: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    const ENOMEM: i32 = 12;
    error.raw_os_error().is_some_and(|code| [ENFILE, EMFILE, ENOBUFS, ENOMEM].contains(&code))
}
