//! Clients: the listener, their connections, and the requests read from them.

mod caller;
mod close;
mod flow;
mod relay;
mod room;
mod take_in;

pub use close::{LINGER, close};
pub use relay::Reply;
pub use take_in::{TakenIn, take_in};

use crate::servers::Servers;
use crate::within;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::{self, Fault, Framing, Head};
use cottonpoint_core::{Executor, Sidecar, Stop};
use cottonpoint_settings::Platform;
use futures_lite::future;
use room::{AT_BOUND, Closable, DRAIN, DRAIN_EVERY, EARLY, Open, Stage};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A connection's first request must be whole within this time, and any later one within the same time from
/// its first byte: nobody holds a place longer without an answer or a close.
const REQUEST_WITHIN: Duration = Duration::from_millis(2400);
/// An answer that the client does not take for so long is given up.
const SLOW_READER: Duration = Duration::from_secs(5);
/// A connection without a request is closed after this time.
const IDLE: Duration = Duration::from_secs(120);
/// A body may come as slowly as this (the operators' page: a client sends a body at 64 kB a second), halved
/// for slack, and given this much more to begin.
const BODY_RATE: f64 = 32_768.0;
const BODY_BEGINS: Duration = Duration::from_millis(500);

/// How long a body of that framing may take to come whole, once its head is in.
fn body_time(framing: Framing) -> Duration {
    let length = match framing {
        Framing::Length(n) => n.min(http::BODY_LIMIT),
        Framing::Chunked | Framing::ToEnd => http::BODY_LIMIT,
    };
    BODY_BEGINS + Duration::from_secs_f64(length as f64 / BODY_RATE)
}

/// Pause before accepting is tried again after a fault that may last: doubled from the first to the longest. Those who come
/// meanwhile wait, and their time runs.
const ACCEPT_AGAIN_FIRST: Duration = Duration::from_millis(1);
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// All that client connections share.
pub struct Clients {
    sidecar: Rc<Sidecar>,
    servers: Rc<Servers>,
    platform: RefCell<Platform>,
    executor: Executor,
    /// Connections served at most.
    connections: Cell<usize>,
    open: Cell<usize>,
    /// Connections without an open flow, in the order in which they came to their stages.
    closable: RefCell<BTreeMap<u64, Closable>>,
    /// The ids of the open flows.
    ids: RefCell<HashSet<String>>,
    next: Cell<u64>,
    /// Whether the last connection that came found no place or no descriptor.
    short: Cell<bool>,
    leaving: Cell<bool>,
    stopping: Cell<bool>,
    /// Set once the process has been told to stop and serves on for a while.
    stop: Cell<Option<Stop>>,
    closed: (Sender<()>, Receiver<()>),
    last_call: (Sender<()>, Receiver<()>),
}

impl Clients {
    /// No connections yet.
    pub fn new(
        sidecar: Rc<Sidecar>,
        servers: Rc<Servers>,
        platform: Platform,
        executor: Executor,
        connections: usize,
    ) -> Rc<Clients> {
        Rc::new(Clients {
            sidecar,
            servers,
            platform: platform.into(),
            executor,
            connections: Cell::new(connections),
            open: Cell::new(0),
            closable: RefCell::default(),
            ids: RefCell::default(),
            next: Cell::new(0),
            short: Cell::new(false),
            leaving: Cell::new(false),
            stopping: Cell::new(false),
            stop: Cell::new(None),
            closed: async_channel::bounded(1),
            last_call: async_channel::bounded(1),
        })
    }

    /// Accepts connections until the last call, and then those that are queued: they have come to this process, and
    /// closing the listener would reset them. Connections without an open flow make room; one with a flow never does.
    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        let (mut last, mut pause) = (false, ACCEPT_AGAIN_FIRST);
        loop {
            while self.open.get() >= self.connections.get() {
                self.short.set(true);
                self.make_room(&AT_BOUND);
                future::or(self.one_closed(), accept_again()).await;
            }
            match listener.get_ref().accept() {
                Ok((stream, _)) => {
                    pause = ACCEPT_AGAIN_FIRST;
                    self.short.set(false);
                    if self.open.get() * 10 >= self.connections.get() * 7 {
                        self.make_room(&EARLY);
                    }
                    self.take(stream);
                    future::yield_now().await;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock && last => return,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    let called = async { self.last_call.1.recv().await.is_ok() };
                    let comes = async {
                        if listener.readable().await.is_err() {
                            accept_again().await;
                        }
                        false
                    };
                    last = future::or(comes, called).await;
                }
                Err(e) if concerns_one_connection(&e) => future::yield_now().await,
                Err(e) => {
                    tracing::debug!(failure = %e, ?pause, "cannot accept");
                    if out_of_descriptors(&e) {
                        self.short.set(true);
                        self.make_room(&AT_BOUND);
                        self.servers.close_oldest();
                    }
                    // Whatever it is, it may last: it is neither waited for in a spin nor the end of accepting.
                    Timer::after(pause).await;
                    pause = (pause * 2).min(ACCEPT_AGAIN);
                }
            }
        }
    }

    fn take(self: &Rc<Self>, stream: TcpStream) {
        let Ok(stream) = Async::new(stream) else { return };
        let open = Open::new(self.clone());
        self.executor.spawn(async move { open.0.clone().connection(stream).await }).detach();
    }

    /// Takes no more connections from now on: those queued are served, and the listener is closed, so that
    /// all that comes goes to the process beside this one that shares the address.
    pub fn last_call(&self) {
        let _ = self.last_call.0.try_send(());
    }

    /// Requests are taken in by these settings from now on: their classes, tenants and rules.
    pub fn set_platform(&self, platform: Platform) {
        *self.platform.borrow_mut() = platform;
    }

    /// From now on so many connections are served at most.
    pub fn set_bound(&self, connections: usize) {
        self.connections.set(connections);
    }

    /// The word to stop has come: it is not ready from now on, but serves on the connections that clients keep
    /// until [`Clients::leave`], each new flow due by the stop's last answer.
    pub fn stop(&self) -> Stop {
        let classes = &self.platform.borrow().balancer.classes;
        let longest = classes.iter().map(|c| c.give_up).max().unwrap_or_default();
        let stop = Stop::new(self.sidecar.clock().now(), longest);
        self.stop.set(Some(stop));
        stop
    }

    /// From now on it is not ready, and asks each connection to close after its next answer.
    pub fn leave(&self) {
        let now = self.sidecar.clock().now();
        self.stop.set(self.stop.get().map(|stop| stop.give_back(now)));
        self.stopping.set(true);
    }

    /// Sends clients away while the process runs on: it is not ready, each connection closes after its next
    /// answer, and connections that stand idle are closed as they come to it, until [`Clients::join`].
    pub fn drain(self: &Rc<Self>) {
        if self.leaving.replace(true) {
            return;
        }
        let clients = Rc::downgrade(self);
        self.executor
            .spawn(async move {
                while let Some(clients) = clients.upgrade().filter(|c| c.leaving.get()) {
                    while clients.make_room(&DRAIN) {}
                    drop(clients);
                    Timer::after(DRAIN_EVERY).await;
                }
            })
            .detach();
    }

    /// Ends a drain: ready again, and connections are kept.
    pub fn join(&self) {
        self.leaving.set(false);
    }

    /// Whether clients are being sent away, by a drain or for a stop.
    pub fn leaving(&self) -> bool {
        self.leaving.get() || self.stopping.get()
    }

    /// Closes all connections that are between requests.
    pub fn close_idle(&self) {
        while self.make_room(&[(Stage::Kept, Duration::ZERO), (Stage::Fresh, Duration::ZERO)]) {}
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Waits until some connection has closed since this was last asked.
    pub async fn one_closed(&self) {
        let _ = self.closed.1.recv().await;
    }

    /// A client's connection, from its first byte to its end.
    async fn connection(self: Rc<Self>, stream: Async<TcpStream>) {
        let _ = stream.get_ref().set_nodelay(true);
        let answered = self.serve(&stream).await;
        self.end(&stream, answered).await;
    }

    /// Serves what comes on a connection until it is to end; when its last answer was written.
    async fn serve(&self, stream: &Async<TcpStream>) -> Option<Instant> {
        let (mut buffer, mut answered) = (Buffer::default(), None);
        let mut first_until = Some(Instant::now() + REQUEST_WITHIN);
        while self.await_request(stream, &mut buffer, first_until).await {
            let until = first_until.take().unwrap_or_else(|| Instant::now() + REQUEST_WITHIN);
            let read = self.read(stream, &mut buffer, until);
            let read = self.at_stage(Stage::Sending, read).await;
            let (reply, keep) = match read.unwrap_or(Err(Fault::Stalled)) {
                Ok(Some((head, body))) => {
                    let keep = head.keeps_alive(&head.line[2]);
                    (self.answer(stream, &mut buffer, head, body).await, keep)
                }
                Ok(None) => break,
                Err(fault) => (take_in::unreadable(&fault), false),
            };
            let Some(reply) = reply else { break };
            if (400..500).contains(&reply.status) {
                self.sidecar.counts().bad_request();
                tracing::warn!(status = reply.status, "a request that cannot be read or served");
            }
            // Who sends what cannot be served starts anew; and nobody gets ahead by asking without a pause.
            let keep = keep && !reply.is_last() && !self.leaving();
            let bytes = reply.bytes(keep);
            let sent = within(SLOW_READER, crate::write_all(stream, &bytes)).await;
            answered = Some(Instant::now());
            if sent.is_err() || !keep {
                break;
            }
            future::yield_now().await;
        }
        answered
    }

    /// Waits for the first byte of a request; false when the connection is to end without one.
    async fn await_request(
        &self,
        stream: &Async<TcpStream>,
        buffer: &mut Buffer,
        first_until: Option<Instant>,
    ) -> bool {
        if !buffer.is_empty() {
            return true;
        }
        let stage = if first_until.is_some() { Stage::Fresh } else { Stage::Kept };
        let until = first_until.unwrap_or_else(|| Instant::now() + IDLE);
        let mut reader = stream;
        let arrived = super::with_deadline(until, buffer.fill(&mut reader));
        let arrived = self.at_stage(stage, arrived).await;
        // What came while the word to close was on its way has been taken and is served.
        matches!(arrived, Some(Ok(n)) if n > 0) || matches!(stream.get_ref().peek(&mut [0]), Ok(n) if n > 0)
    }

    /// Reads a request: its head by `until`, its body by a time of its own that grows with its length.
    async fn read(
        &self,
        stream: &Async<TcpStream>,
        buffer: &mut Buffer,
        until: Instant,
    ) -> Result<Option<(Head, Vec<u8>)>, Fault> {
        let mut reader = stream;
        let head = async { Ok(http::read_head(buffer, &mut reader, http::begins_request).await) };
        let Some(head) = super::with_deadline(until, head).await.unwrap_or(Err(Fault::Stalled))? else {
            return Ok(None);
        };
        let framing = take_in::body_framing(&head)?;
        if head.has("expect", "100-continue") && buffer.is_empty() {
            crate::write_all(stream, b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let body = async { Ok(http::read_body(buffer, &mut reader, framing, http::BODY_LIMIT).await) };
        let body_until = until.max(Instant::now() + body_time(framing));
        let body = super::with_deadline(body_until, body).await.unwrap_or(Err(Fault::Stalled))?;
        Ok(Some((head, body)))
    }
}

async fn accept_again() {
    Timer::after(ACCEPT_AGAIN).await;
}

/// Whether accepting failed for one connection alone, or was interrupted: the next one may be accepted at once.
fn concerns_one_connection(e: &io::Error) -> bool {
    const EPROTO: i32 = 71;
    let kinds =
        [io::ErrorKind::ConnectionAborted, io::ErrorKind::ConnectionReset, io::ErrorKind::Interrupted];
    kinds.contains(&e.kind()) || e.raw_os_error() == Some(EPROTO)
}

fn out_of_descriptors(e: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    const ENOMEM: i32 = 12;
    e.raw_os_error().is_some_and(|code| [ENFILE, EMFILE, ENOBUFS, ENOMEM].contains(&code))
}
