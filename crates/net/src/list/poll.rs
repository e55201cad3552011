//! One poll of discovery: connects where necessary, sends the request and reads the answer. A poll
//! owns all that it needs, so it can outlive a change of the discovery address.

use super::evidence::{connect_outcome, exchange_outcome};
use super::schedule::{ANSWER_COMPLETION_TIMEOUT, PollOutcome, Schedule, local_fault_backoff};
use crate::{Arrived, with_timeout};
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::Fault;
use cottonpoint_core::{PollEvent, Sidecar};
use cottonpoint_decide::Time;
use futures_lite::FutureExt;
use std::cell::Cell;
use std::hash::{DefaultHasher, Hasher};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{self, Context};
use std::time::{Duration, Instant};

/// The same answer again after more than this is an answer of its own.
const MAX_COPY_LATENESS: Duration = Duration::from_millis(200);
const MAX_LIST_BYTES: usize = 4 << 20;
/// Discovery is down, or the poll waited too long in its queue (the protocol specification).
const STATUS_UNAVAILABLE: u16 = 503;

/// Why a poll failed.
pub(super) struct PollFailure {
    /// How the poll ended.
    pub outcome: PollOutcome,
    /// The error of the system, or discovery's answer.
    pub error: io::Error,
}

impl PollFailure {
    /// Classifies a response that did not begin to arrive.
    fn before_answer(fault: Fault) -> PollFailure {
        let outcome = match fault {
            Fault::ConnectionFailed => PollOutcome::PathFailed,
            _ => PollOutcome::Failed,
        };
        PollFailure { outcome, error: io::Error::other(fault.to_string()) }
    }

    /// The failure of a poll whose response began to arrive and was not complete or not valid.
    pub fn unusable(error: io::Error) -> PollFailure {
        PollFailure { outcome: PollOutcome::Unusable, error }
    }
}

/// A connection to discovery between polls.
pub(super) struct Connection {
    stream: Async<TcpStream>,
    buffer: Buffer,
    last_answer: Option<LastAnswer>,
}

/// The last answer on a connection, to tell a second copy of it.
struct LastAnswer {
    ended_at: Instant,
    body_hash: u64,
}

impl Connection {
    /// Whether it can carry another poll. Bytes that no poll asked for would be taken for the answer.
    fn is_clean(&self) -> bool {
        Arrived::on(&self.stream) != Arrived::Bytes
    }

    /// Records an answer. Returns whether it may be a late copy of the one before: the answer to the
    /// poll is then still to come.
    fn record_answer(&mut self, body: &[u8]) -> bool {
        let answer = LastAnswer { ended_at: Instant::now(), body_hash: hash(body) };
        let previous = self.last_answer.replace(answer);
        previous.is_some_and(|previous| {
            previous.body_hash == hash(body) && previous.ended_at.elapsed() < MAX_COPY_LATENESS
        })
    }
}

fn hash(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(body);
    hasher.finish()
}

/// The parameters of one poll.
pub(super) struct PollRequest {
    /// The address of discovery.
    pub address: SocketAddr,
    /// The list version held; `None` asks for the whole list.
    pub generation: Option<u64>,
    /// How long discovery may hold the poll open while it has no update.
    pub hold_time: Duration,
    /// Bounds the time for the connection and the answer.
    pub schedule: Schedule,
    /// Is notified when the poll is sent.
    pub sidecar: Rc<Sidecar>,
    /// Source of the jitter between connects.
    pub random: fastrand::Rng,
}

/// The body of discovery's answer, and its connection.
pub(super) struct PollResponse {
    /// The answer's body.
    pub body: Vec<u8>,
    /// The connection for the next poll, if it can be reused.
    pub connection: Option<Connection>,
}

/// How a poll ended.
pub(super) struct PollEnd {
    /// The answer, or why there is none.
    pub result: Result<PollResponse, PollFailure>,
    /// The time since the start of the last connect (of the first one, where path errors persisted for
    /// the whole connect timeout), or since the request was sent on a connection that was reused.
    pub took: Duration,
    /// The hold time that the poll asked for.
    pub hold_time: Duration,
    /// The list version that the poll asked for changes from.
    pub from_generation: Option<u64>,
    /// When the answer began to arrive; `None` if nothing was received.
    pub answer_began: Option<Time>,
}

/// How far a poll has come.
#[derive(Default)]
struct Progress {
    /// Whether the request has been sent, so that discovery may answer it.
    sent: Cell<bool>,
    /// The hold time that the request asks for.
    hold_time: Cell<Duration>,
    answer_began: Cell<Option<Time>>,
    /// Whether a reload has superseded the poll: the lease no longer follows it.
    superseded: Cell<bool>,
}

/// A poll in flight.
pub(super) struct Poll {
    end: Pin<Box<dyn Future<Output = PollEnd>>>,
    progress: Rc<Progress>,
}

impl Poll {
    /// Starts a poll, on the idle connection if there is one.
    pub fn start(request: PollRequest, idle_connection: Option<Connection>) -> Poll {
        let from_generation = request.generation;
        let (started_at, progress) = (Cell::new(Instant::now()), Rc::new(Progress::default()));
        let of_poll = progress.clone();
        let poll = async move {
            let result = request.run(idle_connection, &started_at, &of_poll).await;
            let (took, answer_began) = (started_at.get().elapsed(), of_poll.answer_began.get());
            let hold_time = of_poll.hold_time.get();
            PollEnd { result, took, hold_time, from_generation, answer_began }
        };
        Poll { end: poll.boxed_local(), progress }
    }

    /// Whether the request has been sent, so that discovery may answer it.
    pub fn is_sent(&self) -> bool {
        self.progress.sent.get()
    }

    /// Marks the poll as superseded by a reload: its events no longer concern the lease.
    pub fn supersede(&self) {
        self.progress.superseded.set(true);
    }
}

impl Future for Poll {
    type Output = PollEnd;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> task::Poll<PollEnd> {
        self.end.as_mut().poll(context)
    }
}

impl PollRequest {
    async fn run(
        mut self,
        idle_connection: Option<Connection>,
        started_at: &Cell<Instant>,
        progress: &Progress,
    ) -> Result<PollResponse, PollFailure> {
        let mut connection = match idle_connection.filter(Connection::is_clean) {
            Some(connection) => connection,
            None => self.connect(started_at).await?,
        };
        progress.sent.set(true);
        self.hold_time = self.sidecar.poll_connected();
        progress.hold_time.set(self.hold_time);
        let (status, body, reusable) = self.exchange(&mut connection, started_at.get(), progress).await?;
        if status != 200 {
            let outcome = if status == STATUS_UNAVAILABLE {
                PollOutcome::TurnedAway
            } else {
                PollOutcome::ErrorStatus
            };
            return Err(PollFailure { outcome, error: io::Error::other(format!("status {status}")) });
        }
        let may_be_copy = connection.record_answer(&body);
        let reusable = reusable && !may_be_copy && connection.buffer.is_empty();
        Ok(PollResponse { body, connection: Some(connection).filter(|_| reusable) })
    }

    /// Connects. A path error may be transient: the connect is repeated until it has failed for the
    /// whole connect timeout, and only then discovery counts as unreachable. `started_at` is reset
    /// with each connect, so that the measured duration of the poll is discovery's alone.
    async fn connect(&mut self, started_at: &Cell<Instant>) -> Result<Connection, PollFailure> {
        let timeout = self.schedule.connect_timeout();
        let first_started_at = started_at.get();
        loop {
            let connected = with_timeout(timeout, Async::<TcpStream>::connect(self.address)).await;
            let error =
                match connected.and_then(|stream| stream.get_ref().set_nodelay(true).map(|()| stream)) {
                    Ok(stream) => {
                        return Ok(Connection { stream, buffer: Buffer::default(), last_answer: None });
                    }
                    Err(error) => error,
                };
            let outcome = connect_outcome(&error);
            if outcome != PollOutcome::PathFailed {
                return Err(PollFailure { outcome, error });
            }
            self.sidecar.counts().poll_failed(outcome.name());
            let delay = local_fault_backoff(self.random.f64());
            if first_started_at.elapsed() + delay >= timeout {
                started_at.set(first_started_at);
                return Err(PollFailure { outcome: PollOutcome::Unconnected, error });
            }
            tracing::debug!(failure = %error, "connect to discovery failed on the network path; retrying");
            Timer::after(delay).await;
            started_at.set(Instant::now());
        }
    }

    /// Sends the request and reads the answer.
    async fn exchange(
        &self,
        connection: &mut Connection,
        started_at: Instant,
        progress: &Progress,
    ) -> Result<(u16, Vec<u8>, bool), PollFailure> {
        let (address, hold_time) = (self.address, self.hold_time);
        let query = self.generation.map(|from| format!("?from={from}&hold_ms={}", hold_time.as_millis()));
        let query = query.unwrap_or_default();
        tracing::debug!(generation = self.generation, "polling discovery");
        let request = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let exchange = async {
            crate::write_all(&connection.stream, request.as_bytes()).await?;
            Ok(self.read_answer(connection, progress).await)
        };
        let timeout = self.schedule.answer_timeout(hold_time, started_at.elapsed());
        match with_timeout(timeout, exchange).await {
            Ok(answer) => answer,
            Err(error) if progress.answer_began.get().is_some() => Err(PollFailure::unusable(error)),
            Err(error) => {
                let on_timeout = PollOutcome::Silent { waits: !hold_time.is_zero() };
                Err(PollFailure { outcome: exchange_outcome(&error, on_timeout), error })
            }
        }
    }

    /// Reads the answer, and notes when it begins to arrive.
    async fn read_answer(
        &self,
        connection: &mut Connection,
        progress: &Progress,
    ) -> Result<(u16, Vec<u8>, bool), PollFailure> {
        let Connection { stream, buffer, .. } = connection;
        let received =
            buffer.fill(stream).await.map_err(|error| PollFailure::before_answer(error.into()))?;
        if received == 0 {
            return Err(PollFailure::before_answer(Fault::Broken));
        }
        progress.answer_began.set(Some(self.sidecar.clock().now()));
        if !progress.superseded.get() {
            self.sidecar.record_poll(PollEvent::AnswerBegan);
        }
        let answer = crate::read_response(buffer, stream, MAX_LIST_BYTES, ANSWER_COMPLETION_TIMEOUT).await;
        match answer {
            Ok((_, status, body, reusable)) => Ok((status, body, reusable)),
            Err(fault) => Err(PollFailure::unusable(io::Error::other(fault.to_string()))),
        }
    }
}
