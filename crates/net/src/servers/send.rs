//! Send: one attempt goes to its target, and what comes back is put in the balancer's terms.

use super::{Connection, Servers};
use crate::origin::Origin;
use async_io::Timer;
use cottonpoint_codec::http::{self, Fault, Head};
use cottonpoint_core::{Attempt, Denial, Halt};
use cottonpoint_decide::*;
use futures_lite::{AsyncWrite, future};
use std::cell::Cell;
use std::fmt::Write;
use std::io;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};

/// An answer that has begun must be whole within this time: it is 64 KiB at most, made before it is sent.
const WHOLE_WITHIN: Duration = Duration::from_millis(500);

/// Nothing heard of a connection for so long speaks against its endpoint, also where the attempt's own time ends then: a
/// handshake takes far less.
const SILENCE_TELLS: Duration = Duration::from_millis(100);

/// A request as it goes to targets: all of it but the time left.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The first line and the headers that pass on, each line with its end.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

/// What a target's serving an attempt gave.
#[derive(Clone, Debug, Default)]
pub struct Served {
    /// What its body holds, as a header says.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// How far an attempt has come.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// No byte of it is written.
    NotBegun,
    /// The same, and a connection was asked for then.
    Connecting(Instant),
    /// Its first byte is written.
    Begun,
    /// Its last byte is written: it may run.
    Written,
}

impl Progress {
    /// Whether a byte of it is written.
    fn has_begun(self) -> bool {
        matches!(self, Progress::Begun | Progress::Written)
    }

    /// How it is booked where its own time ends. What was not written whole never ran; an endpoint that does not read it, or
    /// lets no connection come up, has failed.
    fn timed_out(self) -> Outcome {
        match self {
            Progress::Written => Outcome::TimedOut,
            Progress::Begun => Outcome::ConnectFailed,
            Progress::Connecting(since) if since.elapsed() >= SILENCE_TELLS => Outcome::ConnectFailed,
            Progress::Connecting(_) | Progress::NotBegun => Outcome::Moot,
        }
    }
}

/// How an attempt is booked whose connection failed before it was written whole: a fault of this process says nothing of the
/// endpoint.
fn not_connected(why: &io::Error) -> Outcome {
    match Origin::of(why) {
        Origin::Local => {
            tracing::debug!(%why, "no connection to an endpoint, by a fault of this process");
            Outcome::Moot
        }
        Origin::Peer | Origin::Path | Origin::Timeout => Outcome::ConnectFailed,
    }
}

/// How an attempt ended, and the load report that came along.
pub type Ended = (Outcome, Option<LoadReport>, Served);

impl Servers {
    /// Sends an attempt, and waits until it is answered, broken, halted or out of time. To give it up, its
    /// connection is closed.
    /// `waits` says, right before its first byte, whether its client still waits; `written` hears once when its last
    /// byte is written.
    pub async fn send(
        &self,
        attempt: &Attempt,
        until: Instant,
        message: &Outgoing,
        waits: impl Fn() -> bool,
        written: impl FnOnce(),
    ) -> Ended {
        let progress = Cell::new(Progress::NotBegun);
        let ended = |outcome| (outcome, None, Served::default());
        let timeout = async {
            Timer::at(until).await;
            ended(progress.get().timed_out())
        };
        let halted = async {
            loop {
                match attempt.halted().await {
                    Halt::Withdrawn => return ended(Outcome::Cancelled),
                    Halt::TargetLeft if !progress.get().has_begun() => return ended(Outcome::Moot),
                    Halt::TargetLeft => {}
                }
            }
        };
        let exchange = self.exchange(attempt, until, message, &progress, waits, written);
        let ended = future::or(exchange, future::or(halted, timeout)).await;
        if attempt.wanted() {
            self.heard(attempt.target.id, ended.0);
        }
        ended
    }

    async fn exchange(
        &self,
        attempt: &Attempt,
        until: Instant,
        message: &Outgoing,
        progress: &Cell<Progress>,
        waits: impl Fn() -> bool,
        written: impl FnOnce(),
    ) -> Ended {
        let target = attempt.target;
        let failed = |outcome| (outcome, None, Served::default());
        let (connection, way) = match self.take(target).await {
            Some(connection) => (Ok(connection), Duration::ZERO),
            None if !waits() => return failed(Outcome::Moot),
            // What comes first on a new connection waits for its handshake, which may take as long as that.
            None => {
                progress.set(Progress::Connecting(Instant::now()));
                (self.connect(target).await, self.connect_timeout())
            }
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(why) => return failed(not_connected(&why)),
        };
        progress.set(Progress::NotBegun);
        let bytes = serialize(message, until);
        // Right before each byte: what was not written whole never ran, so it may be given up at any but the last.
        let may_write = || attempt.may_write(progress.get().has_begun(), waits(), way);
        let begun = || attempt.check_begun();
        match write(&connection, &bytes, progress, may_write, begun).await {
            Ok(()) => {}
            Err(NotWritten::Broken(why)) => return failed(not_connected(&why)),
            Err(NotWritten::Denied(denial)) => {
                let has_left = matches!(denial, Denial::EndpointLeaving | Denial::EndpointGone);
                if !progress.get().has_begun() && !has_left {
                    self.put(target.id, connection); // Nothing went out on it: it is as good as before.
                }
                return failed(denial.outcome());
            }
        }
        written();
        let mut stream = &*connection.stream;
        let buffer = &mut connection.buffer;
        let answer = crate::read_response(buffer, &mut stream, http::BODY_LIMIT, WHOLE_WITHIN).await;
        let (head, status, body, keep) = match answer {
            Ok(answer) => answer,
            Err(Fault::Broken | Fault::ConnectionFailed) => return failed(Outcome::Reset),
            // The target lives and has answered, with nothing that anybody can use.
            Err(_) => return failed(Outcome::Error),
        };
        // What came behind the answer belongs to no request; nor does a target that has left need connections.
        if keep && connection.buffer.is_empty() && attempt.wanted() {
            self.put(target.id, connection);
        }
        let outcome = match status {
            200 => Outcome::Ok,
            503 | 504 if head.get("x-unprocessed") == Some("1") => Outcome::Full,
            _ => Outcome::Error,
        };
        let content_type = head.get("content-type").map(str::to_owned);
        (outcome, self.report(&head), Served { content_type, body })
    }

    /// The load report of an answer; one that cannot be read, in whatever part, is none.
    fn report(&self, head: &Head) -> Option<LoadReport> {
        let text = head.only("x-backend-load").ok()??;
        let terms = self.terms.borrow();
        let mut values = vec![None; terms.field_names.len()];
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)?;
            if let Some(i) = terms.field_names.iter().position(|n| n == name.trim()) {
                values[i] = Some(value);
            }
        }
        Some(terms.fields.report(|i| *values.get(i)?))
    }
}

/// Why an attempt was not written whole: it never ran.
enum NotWritten {
    /// The connection broke.
    Broken(io::Error),
    /// The guard did not allow it, or not to its end.
    Denied(Denial),
}

/// Writes all bytes, asking before each piece of them; `begun` hears once when the first piece is written.
async fn write(
    connection: &Connection,
    bytes: &[u8],
    progress: &Cell<Progress>,
    may_write: impl Fn() -> Result<(), Denial>,
    begun: impl Fn(),
) -> Result<(), NotWritten> {
    let mut written = 0;
    while written < bytes.len() {
        let piece = future::poll_fn(|context| {
            if let Err(denial) = may_write() {
                return Poll::Ready(Err(NotWritten::Denied(denial)));
            }
            loop {
                match Pin::new(&mut &*connection.stream).poll_write(context, &bytes[written..]) {
                    Poll::Ready(Err(why)) if why.kind() == io::ErrorKind::Interrupted => {}
                    polled => return polled.map_err(NotWritten::Broken),
                }
            }
        });
        written += match piece.await? {
            0 => return Err(NotWritten::Broken(io::ErrorKind::WriteZero.into())),
            n => n,
        };
        if !progress.replace(Progress::Begun).has_begun() {
            begun();
        }
    }
    progress.set(Progress::Written);
    Ok(())
}

fn serialize(message: &Outgoing, until: Instant) -> Vec<u8> {
    let left = until.saturating_duration_since(Instant::now());
    let mut head = String::with_capacity(message.head.len() + 64);
    head.push_str(&message.head);
    let _ = write!(head, "X-Time-Left-Ms: {}\r\n\r\n", left.as_millis());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&message.body);
    bytes
}
