//! One poll of discovery: connects where it has to, asks, and reads the answer. It owns all that it needs.

use super::evidence::{connect_outcome, exchange_outcome};
use super::schedule::{Outcome, Schedule, WHOLE_ANSWER, again_soon};
use crate::within;
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::Fault;
use cottonpoint_core::{PollEvent, Sidecar};
use futures_lite::FutureExt;
use std::cell::Cell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll as Progress};
use std::time::{Duration, Instant};

const LIST_LIMIT: usize = 4 << 20;
/// Discovery is down, or a poll waited too long in its queue (the protocol page).
const UNAVAILABLE: u16 = 503;

/// Why a poll came to nothing.
pub(super) struct Failure {
    /// How it ended.
    pub outcome: Outcome,
    /// What the system or discovery said.
    pub why: io::Error,
}

impl Failure {
    /// An answer that could not be read; `silent` stands for one that did not come to its end.
    fn of(fault: Fault, silent: Outcome) -> Failure {
        let outcome = match fault {
            Fault::Broken => Outcome::Failed,
            Fault::ConnectionFailed => Outcome::PathFailed,
            Fault::Stalled => silent,
            Fault::Malformed(_) | Fault::HeadTooLong | Fault::BodyTooLong => Outcome::Unusable,
        };
        Failure { outcome, why: io::Error::other(fault.to_string()) }
    }
}

/// A connection to discovery between polls.
pub(super) struct Connection {
    stream: Async<TcpStream>,
    buffer: Buffer,
}

/// What is asked of discovery, and under which schedule.
pub(super) struct Request {
    /// Where it is.
    pub address: SocketAddr,
    /// The version held; `None` asks for the whole list.
    pub generation: Option<u64>,
    /// How long it waits for news.
    pub hold: Duration,
    /// How long connection and answer may take.
    pub schedule: Schedule,
    /// Whom to tell that it is sent.
    pub sidecar: Rc<Sidecar>,
    /// Draws the pauses between connects.
    pub random: fastrand::Rng,
}

/// The body of discovery's answer, and the connection, if it may be used again.
pub(super) struct Response {
    /// The answer's body.
    pub body: Vec<u8>,
    /// For the next poll.
    pub connection: Option<Connection>,
}

/// How a poll ended.
pub(super) struct End {
    /// What came of it.
    pub result: Result<Response, Failure>,
    /// From the beginning of its connect, or of its sending on a connection that was kept.
    pub took: Duration,
    /// How long it was to wait for news.
    pub hold: Duration,
    /// The version that it asked from.
    pub asked_from: Option<u64>,
}

/// A poll under way.
pub(super) struct Poll {
    end: Pin<Box<dyn Future<Output = End>>>,
    sent: Rc<Cell<bool>>,
}

impl Poll {
    /// Begins one, on the connection that was kept, if any.
    pub fn begin(request: Request, kept: Option<Connection>) -> Poll {
        let (hold, asked_from) = (request.hold, request.generation);
        let (begun, sent) = (Cell::new(Instant::now()), Rc::new(Cell::new(false)));
        let is_sent = sent.clone();
        let poll = async move {
            let result = request.make(kept, &begun, &is_sent).await;
            End { result, took: begun.get().elapsed(), hold, asked_from }
        };
        Poll { end: poll.boxed_local(), sent }
    }

    /// Whether discovery has been asked, and may answer.
    pub fn is_sent(&self) -> bool {
        self.sent.get()
    }
}

impl Future for Poll {
    type Output = End;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Progress<End> {
        self.end.as_mut().poll(context)
    }
}

impl Request {
    async fn make(
        mut self,
        kept: Option<Connection>,
        begun: &Cell<Instant>,
        sent: &Cell<bool>,
    ) -> Result<Response, Failure> {
        let mut connection = match kept {
            Some(connection) => connection,
            None => self.connect(begun).await?,
        };
        sent.set(true);
        self.sidecar.record_poll(PollEvent::Connected);
        let (status, body, keep) = self.exchange(&mut connection, begun.get()).await?;
        if status != 200 {
            let outcome = if status == UNAVAILABLE { Outcome::TurnedAway } else { Outcome::Unusable };
            return Err(Failure { outcome, why: io::Error::other(format!("status {status}")) });
        }
        let keep = keep && connection.buffer.is_empty();
        Ok(Response { body, connection: Some(connection).filter(|_| keep) })
    }

    /// Connects. An error of the way may come for a moment: the connect is made again until it has lasted for the whole
    /// time-out, and only then discovery could not be reached. `begun` is set anew with each, so that what is measured of the
    /// poll is discovery's time alone.
    async fn connect(&mut self, begun: &Cell<Instant>) -> Result<Connection, Failure> {
        let timeout = self.schedule.connect_timeout();
        let first = begun.get();
        loop {
            let connected = within(timeout, Async::<TcpStream>::connect(self.address)).await;
            let why = match connected.and_then(|stream| stream.get_ref().set_nodelay(true).map(|()| stream))
            {
                Ok(stream) => return Ok(Connection { stream, buffer: Buffer::default() }),
                Err(why) => why,
            };
            let outcome = connect_outcome(&why);
            if outcome != Outcome::PathFailed {
                return Err(Failure { outcome, why });
            }
            self.sidecar.counts().poll_failed(outcome.name());
            let pause = again_soon(self.random.f64());
            if first.elapsed() + pause >= timeout {
                begun.set(first);
                return Err(Failure { outcome: Outcome::Unconnected, why });
            }
            tracing::debug!(failure = %why, "a connect to discovery failed on its way, and is made again");
            Timer::after(pause).await;
            begun.set(Instant::now());
        }
    }

    /// Sends the poll, and reads the answer.
    async fn exchange(&self, c: &mut Connection, begun: Instant) -> Result<(u16, Vec<u8>, bool), Failure> {
        let (address, hold) = (self.address, self.hold);
        let query = self.generation.map(|g| format!("?from={g}&hold_ms={}", hold.as_millis()));
        let query = query.unwrap_or_default();
        tracing::debug!(generation = self.generation, "asks discovery");
        let request = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let exchange = async {
            crate::write_all(&c.stream, request.as_bytes()).await?;
            Ok(crate::read_answer(&mut c.buffer, &mut c.stream, LIST_LIMIT, WHOLE_ANSWER).await)
        };
        let silent = Outcome::Silent { waits: !hold.is_zero() };
        let timeout = self.schedule.answer_timeout(hold, begun.elapsed());
        match within(timeout, exchange).await {
            Ok(Ok((_, status, body, keep))) => Ok((status, body, keep)),
            Ok(Err(fault)) => Err(Failure::of(fault, silent)),
            Err(why) => Err(Failure { outcome: exchange_outcome(&why, silent), why }),
        }
    }
}
