//! Connections to endpoints, pooled and reused.

mod client;
mod pool;
mod receive;
mod send;
mod write;

pub use client::{AnswerStart, AttemptClient, BodyFault, ClientFault};
pub use send::{AttemptEnd, BodyRest, EndpointResponse, OutgoingRequest};

use crate::memory::{Memory, bound_socket_buffers};
use async_io::Async;
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_core::{EndpointAddress, Executor, PathHistory};
use cottonpoint_decide::{EndpointId, Outcome};
use cottonpoint_settings::ReportFields;
use pool::IdleConnection;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

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
    /// When the last answer on it ended; `None` if it has carried none.
    last_answer_at: Option<Instant>,
    _guard: ConnectionGuard,
}

impl Connection {
    /// The time since the last answer; `None` if there has been none.
    fn quiet(&self, now: Instant) -> Option<Duration> {
        self.last_answer_at.map(|at| now.saturating_duration_since(at))
    }
}

/// Counts a connection for as long as it is open.
struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The connections to all endpoints.
pub struct EndpointConnections {
    settings: RefCell<PoolSettings>,
    executor: Executor,
    idle: RefCell<HashMap<EndpointId, Vec<IdleConnection>>>,
    /// What has been observed of the path to each endpoint.
    paths: RefCell<HashMap<EndpointAddress, PathHistory>>,
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
            paths: RefCell::default(),
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
        let stream = Rc::new(stream);
        Ok(Connection { stream, buffer: Buffer::default(), endpoint, last_answer_at: None, _guard: guard })
    }
}
