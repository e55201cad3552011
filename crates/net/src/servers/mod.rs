//! Connections to endpoints, pooled and reused.

mod client;
mod receive;
mod send;
mod write;

pub use client::{AnswerStart, AttemptClient, BodyFault, ClientFault};
pub use send::{AttemptEnd, BodyRest, EndpointResponse, OutgoingRequest};

use crate::memory::{Memory, bound_socket_buffers};
use async_executor::Task;
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_core::{EndpointAddress, Executor};
use cottonpoint_decide::{EndpointId, Outcome};
use cottonpoint_settings::ReportFields;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, Read};
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// The time for which an idle connection is not reused: an endpoint may send a second response some
/// milliseconds after the first (the standing check's page), and once the next request has been
/// written, nothing tells which request a response belongs to. Data that arrives during this time
/// ends the connection.
const REUSE_DELAY: Duration = Duration::from_millis(10);

/// The number of consecutive timeouts after which an endpoint's idle connections are suspect: a
/// single one may be a slow request's.
const SUSPECT_TIMEOUTS: u32 = 2;

/// The settings of the connection pool.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// The timeout of a connect.
    pub connect_timeout: Duration,
    /// An idle connection is closed after this time.
    pub idle_timeout: Duration,
    /// The maximum number of connections, in use and idle.
    pub max_connections: usize,
    /// The size of each of a connection's two buffers in the kernel, in bytes.
    pub socket_buffer: usize,
    /// The positions of the values in a load report.
    pub fields: ReportFields,
    /// The names of the values in a load report.
    pub field_names: Vec<String>,
}

/// A connection to an endpoint.
struct Connection {
    stream: Rc<Async<TcpStream>>,
    buffer: Buffer,
    /// The start of the endpoint that it was made to.
    endpoint: EndpointAddress,
    _guard: ConnectionGuard,
}

/// Counts a connection for as long as it is open.
struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// An idle connection, and the task that drops it when it closes or has been idle for too long.
struct IdleConnection {
    id: u64,
    idle_since: Instant,
    connection: Connection,
    _monitor: Task<()>,
}

impl IdleConnection {
    fn reusable_at(&self) -> Instant {
        self.idle_since + REUSE_DELAY
    }
}

/// The connections to all endpoints.
pub struct EndpointConnections {
    settings: RefCell<PoolSettings>,
    executor: Executor,
    idle: RefCell<HashMap<EndpointId, Vec<IdleConnection>>>,
    /// The number of consecutive attempts per endpoint that timed out without a response.
    consecutive_timeouts: RefCell<HashMap<EndpointAddress, u32>>,
    next_id: Cell<u64>,
    open: Rc<Cell<usize>>,
    memory: Rc<Memory>,
    weak_self: Weak<EndpointConnections>,
}

impl EndpointConnections {
    /// Creates an empty pool. Answers that are held are reserved in `memory`.
    pub fn new(settings: PoolSettings, executor: Executor, memory: Rc<Memory>) -> Rc<EndpointConnections> {
        Rc::new_cyclic(|weak_self| EndpointConnections {
            settings: settings.into(),
            executor,
            memory,
            idle: RefCell::default(),
            consecutive_timeouts: RefCell::default(),
            next_id: Cell::new(0),
            open: Rc::default(),
            weak_self: weak_self.clone(),
        })
    }

    /// Replaces the settings.
    pub fn set_pool_settings(&self, settings: PoolSettings) {
        self.settings.replace(settings);
    }

    /// The number of open connections, in use and idle.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    fn connect_timeout(&self) -> Duration {
        self.settings.borrow().connect_timeout
    }

    /// The maximum number of connections.
    pub fn max_connections(&self) -> usize {
        self.settings.borrow().max_connections
    }

    /// Closes the idle connections to starts of endpoints that are no longer wanted.
    pub fn retain_idle(&self, wanted: impl Fn(EndpointAddress) -> bool) {
        self.idle.borrow_mut().retain(|_, pool| {
            pool.retain(|idle| wanted(idle.connection.endpoint));
            !pool.is_empty()
        });
        self.consecutive_timeouts.borrow_mut().retain(|endpoint, _| wanted(*endpoint));
    }

    /// Records whether an endpoint responded. A machine that is cut off from the network leaves its
    /// connections open and silent, and each would cost a whole timeout to detect; a new connection
    /// fails at once.
    fn record_outcome(&self, endpoint: EndpointAddress, outcome: Outcome) {
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Rejected => {
                self.consecutive_timeouts.borrow_mut().remove(&endpoint);
            }
            Outcome::TimedOut => {
                let mut consecutive_timeouts = self.consecutive_timeouts.borrow_mut();
                let count = consecutive_timeouts.entry(endpoint).or_default();
                *count += 1;
                if *count >= SUSPECT_TIMEOUTS {
                    self.idle.borrow_mut().remove(&endpoint.id);
                }
            }
            _ => {}
        }
    }

    /// Takes the most recently used idle connection to an endpoint that may be reused and is still
    /// open. Where all of them are within the reuse delay, it waits for the most recent one: a new
    /// connection costs the endpoint more, and may be established late.
    async fn take_idle(&self, endpoint: EndpointAddress) -> Option<Connection> {
        let pending_reuse = || {
            let pools = self.idle.borrow();
            let pool = pools.get(&endpoint.id)?;
            let (earliest, latest) = (pool.first()?.reusable_at(), pool.last()?.reusable_at());
            (earliest > Instant::now()).then_some(latest)
        };
        if let Some(reusable) = pending_reuse() {
            Timer::at(reusable).await;
        }
        loop {
            let now = Instant::now();
            let idle = {
                let mut pools = self.idle.borrow_mut();
                let pool = pools.get_mut(&endpoint.id)?;
                pool.remove(pool.iter().rposition(|idle| idle.reusable_at() <= now)?)
            };
            // The timeout may have become shorter since the connection was returned.
            let has_expired = idle.idle_since + self.settings.borrow().idle_timeout <= now;
            let connection = idle.connection;
            if !has_expired && connection.endpoint == endpoint && is_open(&connection.stream) {
                return Some(connection);
            }
        }
    }

    async fn connect(&self, endpoint: EndpointAddress) -> io::Result<Connection> {
        while self.open.get() >= self.max_connections() {
            if !self.close_oldest_idle() {
                return Err(io::Error::other("all endpoint connections are in use"));
            }
        }
        self.open.set(self.open.get() + 1);
        let guard = ConnectionGuard(self.open.clone());
        let connect = Async::<TcpStream>::connect(endpoint.address);
        let stream = super::with_timeout(self.connect_timeout(), connect).await?;
        stream.get_ref().set_nodelay(true)?;
        bound_socket_buffers(stream.get_ref(), self.settings.borrow().socket_buffer);
        Ok(Connection { stream: Rc::new(stream), buffer: Buffer::default(), endpoint, _guard: guard })
    }

    /// Closes the connection that has been idle for longest; false where there is none.
    pub fn close_oldest_idle(&self) -> bool {
        let mut pools = self.idle.borrow_mut();
        let oldest = pools.iter().filter_map(|(&id, pool)| pool.first().map(|idle| (idle.id, id))).min();
        if let Some(pool) = oldest.and_then(|(_, id)| pools.get_mut(&id)) {
            pool.remove(0);
        }
        oldest.is_some()
    }

    /// Returns a connection to the pool for the next attempt.
    fn return_idle(&self, connection: Connection) {
        let endpoint = connection.endpoint.id;
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let (weak_self, stream, idle_timeout) =
            (self.weak_self.clone(), connection.stream.clone(), self.settings.borrow().idle_timeout);
        let monitor = self.executor.spawn(async move {
            let closed = async {
                let _ = stream.readable().await;
            };
            let expired = async {
                Timer::after(idle_timeout).await;
            };
            future::or(closed, expired).await;
            let Some(connections) = weak_self.upgrade() else { return };
            let removed = {
                let mut pools = connections.idle.borrow_mut();
                let pool = pools.get_mut(&endpoint);
                pool.and_then(|pool| pool.iter().position(|idle| idle.id == id).map(|at| pool.remove(at)))
            };
            if let Some(IdleConnection { connection, _monitor: monitor, .. }) = removed {
                drop(connection);
                monitor.detach(); // This is the task that is running: dropping it would cancel it.
            }
        });
        let idle = IdleConnection { id, idle_since: Instant::now(), connection, _monitor: monitor };
        self.idle.borrow_mut().entry(endpoint).or_default().push(idle);
    }
}

/// Whether an idle connection is still open: nothing may have arrived on it, not even its end.
fn is_open(stream: &Async<TcpStream>) -> bool {
    let mut stream = stream.get_ref();
    matches!(stream.read(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}
