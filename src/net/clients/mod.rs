//! Clients: the listener, their connections, and the stages that each request passes on them.

mod relay;
mod take_in;

pub use relay::Reply;
pub use take_in::{TakenIn, take_in};

use super::buffer::Buffer;
use super::http::{self, Fault, Head};
use super::servers::Servers;
use super::within;
use crate::settings::Platform;
use crate::sidecar::{Executor, FixedResponse, NewFlow, Sidecar, Step};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, StreamExt, future};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A message that has begun must be whole within this time; a slow peer is given up.
const SLOW_PEER: Duration = Duration::from_secs(10);
/// An answer that the client does not take for so long is given up.
const SLOW_READER: Duration = Duration::from_secs(5);
/// A connection without a request is closed after this time.
const IDLE: Duration = Duration::from_secs(120);
/// The answer needs this long to travel: it sets out so much before the client gives up.
const TRAVEL: Duration = Duration::from_millis(5);
/// A flow that the balancer has not settled this long after its due is failed all the same.
const OVERDUE: Duration = Duration::from_millis(20);
/// Pause before accepting is tried again.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// How long a new connection may wait with its first request, and how long a request that has begun is left
/// alone, when connections run short; the latter for less when there are none left.
const FRESH: Duration = Duration::from_secs(1);
const SENDING: Duration = Duration::from_secs(1);
const SENDING_AT_BOUND: Duration = Duration::from_millis(200);

/// Connections that may be closed, in the order of their entry: since when, and how.
type Closable = RefCell<BTreeMap<u64, (Instant, Sender<()>)>>;

/// All that client connections share.
pub struct Clients {
    sidecar: Rc<Sidecar>,
    servers: Rc<Servers>,
    platform: Platform,
    executor: Executor,
    /// Connections served at most; idle ones make room from eight tenths on, and beyond nine tenths
    /// requests are turned away.
    connections: Cell<usize>,
    open: Cell<usize>,
    /// Connections between requests, the one idle for longest first, and how to close them.
    idle: Closable,
    /// Connections whose request has begun and is not whole, the longest first.
    sending: Closable,
    next: Cell<u64>,
    leaving: Cell<bool>,
    closed: (Sender<()>, Receiver<()>),
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
            platform,
            executor,
            connections: Cell::new(connections),
            open: Cell::new(0),
            idle: RefCell::default(),
            sending: RefCell::default(),
            next: Cell::new(0),
            leaving: Cell::new(false),
            closed: async_channel::bounded(1),
        })
    }

    /// Accepts connections for good. At the bound, the connection idle for longest makes room, then the one
    /// that has been sending a request for longest: what is not whole has not been taken.
    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        let mut incoming = Box::pin(listener.incoming());
        loop {
            while self.open.get() >= self.connections.get() {
                self.make_room(SENDING_AT_BOUND);
                future::or(self.one_closed(), async {
                    Timer::after(ACCEPT_AGAIN).await;
                })
                .await;
            }
            match incoming.next().await {
                Some(Ok(stream)) => {
                    if self.open.get() * 10 >= self.connections.get() * 8 {
                        self.make_room(SENDING);
                    }
                    let open = Open::new(self.clone());
                    self.executor.spawn(async move { open.0.clone().connection(stream).await }).detach();
                }
                Some(Err(e)) if out_of_descriptors(&e) => {
                    self.make_room(SENDING);
                    self.servers.close_oldest();
                    Timer::after(ACCEPT_AGAIN).await;
                }
                Some(Err(_)) => future::yield_now().await,
                None => return,
            }
        }
    }

    /// From now on so many connections are served at most.
    pub fn set_bound(&self, connections: usize) {
        self.connections.set(connections);
    }

    /// From now on it is not ready, and asks each connection to close after its next answer.
    pub fn leave(&self) {
        self.leaving.set(true);
    }

    /// Closes all connections that are between requests.
    pub fn close_idle(&self) {
        while close_first(&self.idle, Duration::ZERO) {}
    }

    /// Asks one connection to close: the one idle for longest, or else the one that has been sending a
    /// request for longest, if for so long at least.
    fn make_room(&self, sending: Duration) {
        if !close_first(&self.idle, Duration::ZERO) {
            close_first(&self.sending, sending);
        }
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Waits until some connection has closed since this was last asked.
    pub async fn one_closed(&self) {
        let _ = self.closed.1.recv().await;
    }

    async fn connection(self: Rc<Self>, stream: Async<TcpStream>) {
        let _ = stream.get_ref().set_nodelay(true);
        let mut buffer = Buffer::default();
        let mut kept = false;
        while self.await_request(&stream, &mut buffer, kept).await {
            kept = true;
            let (close, closing) = async_channel::bounded(1);
            let number = self.number();
            self.sending.borrow_mut().insert(number, (Instant::now(), close));
            let read = async { Ok(self.read(&stream, &mut buffer).await) };
            let evicted = async {
                let _ = closing.recv().await;
                Err(io::ErrorKind::TimedOut.into())
            };
            let request = within(SLOW_PEER, future::or(read, evicted)).await;
            self.sending.borrow_mut().remove(&number);
            let (reply, keep) = match request {
                Ok(Ok(Some((head, body)))) => {
                    let keep = head.keeps_alive(&head.line[2]);
                    (self.answer(&stream, &mut buffer, head, body).await, keep)
                }
                Ok(Ok(None)) => return,
                Ok(Err(fault)) => (take_in::unreadable(&fault), false),
                Err(_) => (Some(Reply::plain(408, "too slow")), false),
            };
            let Some(reply) = reply else { return };
            let keep = keep && !self.leaving.get();
            let bytes = reply.bytes(keep);
            let sent = within(SLOW_READER, (&stream).write_all(&bytes)).await;
            if sent.is_err() {
                return;
            }
            if !keep {
                return linger(&stream, &mut buffer).await;
            }
        }
    }

    fn number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    /// Waits for the first byte of a request; false when the connection is to end without one.
    async fn await_request(&self, stream: &Async<TcpStream>, buffer: &mut Buffer, kept: bool) -> bool {
        if !buffer.is_empty() {
            return true;
        }
        let (close, closing) = async_channel::bounded(1);
        let number = self.number();
        let since = Instant::now() + if kept { Duration::ZERO } else { FRESH };
        self.idle.borrow_mut().insert(number, (since, close));
        let mut reader = stream;
        let arrived = async { matches!(buffer.fill(&mut reader).await, Ok(n) if n > 0) };
        let ended = async {
            let closed = async {
                let _ = closing.recv().await;
            };
            let aged = async {
                Timer::after(IDLE).await;
            };
            future::or(closed, aged).await;
            false
        };
        let arrived = future::or(arrived, ended).await;
        self.idle.borrow_mut().remove(&number);
        // What came while the word to close was on its way has been taken and is served.
        arrived || matches!(stream.get_ref().peek(&mut [0]), Ok(n) if n > 0)
    }

    async fn read(
        &self,
        stream: &Async<TcpStream>,
        buffer: &mut Buffer,
    ) -> Result<Option<(Head, Vec<u8>)>, Fault> {
        let mut reader = stream;
        let Some(head) = http::read_head(buffer, &mut reader).await? else { return Ok(None) };
        let framing = take_in::body_framing(&head)?;
        if head.has("expect", "100-continue") && buffer.is_empty() {
            (&mut reader).write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let body = http::read_body(buffer, &mut reader, framing, http::BODY_LIMIT).await?;
        Ok(Some((head, body)))
    }

    /// The answer to a whole request; `None` when its client has left.
    async fn answer(
        &self,
        stream: &Async<TcpStream>,
        buffer: &mut Buffer,
        head: Head,
        body: Vec<u8>,
    ) -> Option<Reply> {
        if head.line[1] == "/health/ready" {
            return Some(match !self.leaving.get() && self.sidecar.has_targets() {
                true => Reply::plain(200, "ready"),
                false => Reply::plain(503, "not ready"),
            });
        }
        let taken = match take_in(&self.platform, &head, body) {
            Ok(taken) => taken,
            Err(reply) => return Some(reply),
        };
        if self.open.get() * 10 > self.connections.get() * 9 {
            return Some(Reply::fixed(FixedResponse::Refused {
                retry_after: self.platform.max_retry_after,
            }));
        }
        self.follow(taken, stream, buffer).await
    }

    /// Takes a flow through its stages.
    async fn follow(
        &self,
        taken: TakenIn,
        stream: &Async<TcpStream>,
        buffer: &mut Buffer,
    ) -> Option<Reply> {
        let clock = self.sidecar.clock();
        let due = clock.now() + taken.left.saturating_sub(TRAVEL);
        let flow = self.sidecar.admit(NewFlow { class: taken.class, tenant: taken.tenant, due });
        let stages = async {
            loop {
                match flow.route().await {
                    Step::Forward(forward) => {
                        let until = clock.instant(forward.until);
                        let (outcome, report, served) =
                            self.servers.send(&forward, until, &taken.outgoing).await;
                        if forward.book(outcome, report) {
                            return Some(Reply::served(served));
                        }
                    }
                    Step::Answer(response) => return Some(Reply::fixed(response)),
                    Step::Over => return None,
                }
            }
        };
        let departure = async {
            let mut reader = stream;
            loop {
                match buffer.fill(&mut reader).await {
                    Ok(n) if n > 0 && buffer.filled().len() < http::BODY_LIMIT => {}
                    Ok(n) if n > 0 => return future::pending().await,
                    _ => break,
                }
            }
            flow.depart();
            future::pending().await
        };
        let overdue = async {
            Timer::at(clock.instant(due + OVERDUE)).await;
            flow.depart();
            Some(Reply::fixed(FixedResponse::Failed))
        };
        future::or(stages, future::or(departure, overdue)).await
    }
}

/// Counts a connection for as long as it is open.
struct Open(Rc<Clients>);

impl Open {
    fn new(clients: Rc<Clients>) -> Open {
        clients.open.set(clients.open.get() + 1);
        Open(clients)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        let _ = self.0.closed.0.try_send(());
    }
}

/// Closes the first connection of a list that may be closed since `age` ago; false where there is none.
fn close_first(list: &Closable, age: Duration) -> bool {
    let (now, mut list) = (Instant::now(), list.borrow_mut());
    let first = list.iter().find(|(_, (since, _))| *since + age <= now).map(|(&number, _)| number);
    let first = first.and_then(|number| list.remove(&number));
    first.is_some_and(|(_, close)| close.try_send(()).is_ok())
}

/// Lets the client read the last answer before the connection goes: closing with bytes unread would reset it.
async fn linger(stream: &Async<TcpStream>, buffer: &mut Buffer) {
    let _ = stream.get_ref().shutdown(std::net::Shutdown::Write);
    let mut reader = stream;
    let drain = async {
        let mut left = 2 * http::BODY_LIMIT;
        loop {
            let n = buffer.fill(&mut reader).await?;
            buffer.consume(n + buffer.filled().len());
            if n == 0 || n > left {
                return Ok(());
            }
            left -= n;
        }
    };
    let _ = within(Duration::from_millis(500), drain).await;
}

fn out_of_descriptors(e: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    const ENOMEM: i32 = 12;
    e.raw_os_error().is_some_and(|code| [ENFILE, EMFILE, ENOBUFS, ENOMEM].contains(&code))
}
