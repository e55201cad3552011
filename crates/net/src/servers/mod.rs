//! Servers: connections to targets, kept and reused.

mod send;

pub use send::{Outgoing, Served};

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
use std::net::{SocketAddr, TcpStream};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// An idle connection rests for this long before it is used again: a target may send a second answer some milliseconds
/// after the first (the standing check's page), and behind the next request's last byte nothing tells whose answer it is.
/// What comes during the rest ends the connection.
const REST: Duration = Duration::from_millis(10);

/// So many time-outs in a row make a target's idle connections suspect: one may be a slow request's.
const SILENT: u32 = 2;

/// What the pool goes by.
#[derive(Clone, Debug)]
pub struct Terms {
    /// A connection that takes longer to come up is given up.
    pub connect_timeout: Duration,
    /// An idle connection is closed after this long.
    pub idle: Duration,
    /// Connections held at most, in use and idle.
    pub connections: usize,
    /// Where a load report's values stand.
    pub fields: ReportFields,
    /// What a load report's values are called.
    pub field_names: Vec<String>,
}

/// A connection to a target.
struct Connection {
    stream: Rc<Async<TcpStream>>,
    buffer: Buffer,
    address: SocketAddr,
    _place: Place,
}

/// Counts a connection for as long as it is open.
struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// An idle connection, and the task that drops it when it closes or has stood idle for too long.
struct Idle {
    number: u64,
    rested_at: Instant,
    connection: Connection,
    _watch: Task<()>,
}

/// The connections to all targets.
pub struct Servers {
    terms: RefCell<Terms>,
    executor: Executor,
    idle: RefCell<HashMap<EndpointId, Vec<Idle>>>,
    /// Attempts in a row that a target let time out without a word.
    silent: RefCell<HashMap<EndpointId, u32>>,
    next: Cell<u64>,
    open: Rc<Cell<usize>>,
    this: Weak<Servers>,
}

impl Servers {
    /// A pool without connections.
    pub fn new(terms: Terms, executor: Executor) -> Rc<Servers> {
        Rc::new_cyclic(|this| Servers {
            terms: terms.into(),
            executor,
            idle: RefCell::default(),
            silent: RefCell::default(),
            next: Cell::new(0),
            open: Rc::default(),
            this: this.clone(),
        })
    }

    /// These hold from now on.
    pub fn set_terms(&self, terms: Terms) {
        self.terms.replace(terms);
    }

    /// Connections that are open, in use and idle.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    fn connect_timeout(&self) -> Duration {
        self.terms.borrow().connect_timeout
    }

    /// Connections held at most.
    pub fn bound(&self) -> usize {
        self.terms.borrow().connections
    }

    /// Closes the idle connections to targets that are not wanted any more.
    pub fn keep_only(&self, wanted: impl Fn(EndpointId) -> bool) {
        self.idle.borrow_mut().retain(|&id, _| wanted(id));
        self.silent.borrow_mut().retain(|&id, _| wanted(id));
    }

    /// Takes note of whether a target spoke. A machine that is cut off leaves its connections open and
    /// silent, and each would cost a whole time-out to find out; a new one fails at once.
    fn heard(&self, target: EndpointId, outcome: Outcome) {
        match outcome {
            Outcome::Ok | Outcome::Error | Outcome::Rejected => {
                self.silent.borrow_mut().remove(&target);
            }
            Outcome::TimedOut => {
                let mut silent = self.silent.borrow_mut();
                let times = silent.entry(target).or_default();
                *times += 1;
                if *times >= SILENT {
                    self.idle.borrow_mut().remove(&target);
                }
            }
            _ => {}
        }
    }

    /// The most recently used idle connection to a target that has rested and is still open. Where all of them rest, they
    /// are waited for: a new one costs the target more, and may come up late.
    async fn take(&self, target: EndpointAddress) -> Option<Connection> {
        let resting = || {
            let pools = self.idle.borrow();
            let pool = pools.get(&target.id)?;
            let (first, last) = (pool.first()?.rested_at, pool.last()?.rested_at);
            (first > Instant::now()).then_some(last)
        };
        if let Some(rested) = resting() {
            Timer::at(rested).await;
        }
        loop {
            let now = Instant::now();
            let idle = {
                let mut pools = self.idle.borrow_mut();
                let pool = pools.get_mut(&target.id)?;
                pool.remove(pool.iter().rposition(|idle| idle.rested_at <= now)?)
            };
            let connection = idle.connection;
            if connection.address == target.address && is_open(&connection.stream) {
                return Some(connection);
            }
        }
    }

    async fn connect(&self, target: EndpointAddress) -> io::Result<Connection> {
        while self.open.get() >= self.bound() {
            if !self.close_oldest() {
                return Err(io::Error::other("no connection to spare"));
            }
        }
        self.open.set(self.open.get() + 1);
        let place = Place(self.open.clone());
        let connect = Async::<TcpStream>::connect(target.address);
        let stream = super::within(self.connect_timeout(), connect).await?;
        stream.get_ref().set_nodelay(true)?;
        let (stream, buffer) = (Rc::new(stream), Buffer::default());
        Ok(Connection { stream, buffer, address: target.address, _place: place })
    }

    /// Closes the connection that has stood idle for longest; false where there is none.
    pub fn close_oldest(&self) -> bool {
        let mut pools = self.idle.borrow_mut();
        let oldest = pools.iter().filter_map(|(&id, p)| p.first().map(|i| (i.number, id))).min();
        if let Some(pool) = oldest.and_then(|(_, id)| pools.get_mut(&id)) {
            pool.remove(0);
        }
        oldest.is_some()
    }

    /// Keeps a connection for the next attempt.
    fn put(&self, target: EndpointId, connection: Connection) {
        let number = self.next.get();
        self.next.set(number + 1);
        let (this, stream, idle) = (self.this.clone(), connection.stream.clone(), self.terms.borrow().idle);
        let watch = self.executor.spawn(async move {
            let closed = async {
                let _ = stream.readable().await;
            };
            let aged = async {
                Timer::after(idle).await;
            };
            future::or(closed, aged).await;
            let Some(servers) = this.upgrade() else { return };
            let gone = {
                let mut pools = servers.idle.borrow_mut();
                let pool = pools.get_mut(&target);
                pool.and_then(|p| p.iter().position(|i| i.number == number).map(|at| p.remove(at)))
            };
            if let Some(Idle { connection, _watch: watch, .. }) = gone {
                drop(connection);
                watch.detach(); // It is this very task.
            }
        });
        let idle = Idle { number, rested_at: Instant::now() + REST, connection, _watch: watch };
        self.idle.borrow_mut().entry(target).or_default().push(idle);
    }
}

/// Whether an idle connection is still open: nothing may have arrived on it, not even its end.
fn is_open(stream: &Async<TcpStream>) -> bool {
    let mut stream = stream.get_ref();
    matches!(stream.read(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
