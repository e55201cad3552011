//! Sends one attempt to its endpoint, and translates the response into the balancer's types.

use super::{Connection, EndpointConnections};
use crate::origin::Origin;
use async_io::Timer;
use cottonpoint_codec::http::{self, Fault, Head};
use cottonpoint_core::{AbortReason, Attempt, Denial};
use cottonpoint_decide::*;
use futures_lite::{AsyncWrite, future};
use std::cell::Cell;
use std::fmt::Write;
use std::io;
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};

/// A response that has begun must be complete within this time: it is 64 KiB at most, and produced
/// before it is sent.
const RESPONSE_COMPLETION_TIMEOUT: Duration = Duration::from_millis(500);

/// A connect without any response for this long counts against the endpoint, even if the attempt's
/// own timeout ends it: a handshake takes far less.
const CONNECT_FAILED_AFTER: Duration = Duration::from_millis(100);

/// A request as it is sent to endpoints, without the header for the time left.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// The request line and the forwarded headers, each line with its line ending.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

/// The response of an endpoint to an attempt.
#[derive(Clone, Debug, Default)]
pub struct EndpointResponse {
    /// The content type, from the header.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// The progress of an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// No byte of it is written.
    NotStarted,
    /// No byte of it is written, and a connect started at this time.
    Connecting(Instant),
    /// Its first byte is written.
    Started,
    /// Its last byte is written: the endpoint may execute it.
    Written,
}

impl Progress {
    /// Whether a byte of it is written.
    fn has_started(self) -> bool {
        matches!(self, Progress::Started | Progress::Written)
    }

    /// The outcome where the attempt's own time ends. A request that was not written completely was
    /// never executed; an endpoint that does not read it, or does not accept the connection, has
    /// failed.
    fn timeout_outcome(self) -> Outcome {
        match self {
            Progress::Written => Outcome::TimedOut,
            Progress::Started => Outcome::ConnectFailed,
            Progress::Connecting(since) if since.elapsed() >= CONNECT_FAILED_AFTER => {
                Outcome::ConnectFailed
            }
            Progress::Connecting(_) | Progress::NotStarted => Outcome::NotSent,
        }
    }
}

/// The outcome of an attempt whose connection failed before the request was written completely. A
/// local fault says nothing about the endpoint.
fn connection_failure_outcome(error: &io::Error) -> Outcome {
    match Origin::of(error) {
        Origin::Local => {
            tracing::debug!(why = %error, "connecting to an endpoint failed because of a local fault");
            Outcome::NotSent
        }
        Origin::Peer | Origin::Path | Origin::Timeout => Outcome::ConnectFailed,
    }
}

/// The outcome of an attempt, the load report of the response, and the response.
pub type AttemptResult = (Outcome, Option<LoadReport>, EndpointResponse);

impl EndpointConnections {
    /// Sends an attempt, and waits until it is answered, fails, is halted or times out. An attempt
    /// is abandoned by closing its connection.
    ///
    /// `client_waits` is called right before the first byte and returns whether the client still
    /// waits; `on_written` is called once when the last byte is written.
    pub async fn send(
        &self,
        attempt: &Attempt,
        deadline: Instant,
        request: &OutgoingRequest,
        client_waits: impl Fn() -> bool,
        on_written: impl FnOnce(),
    ) -> AttemptResult {
        let progress = Cell::new(Progress::NotStarted);
        let ended = |outcome| (outcome, None, EndpointResponse::default());
        let timeout = async {
            Timer::at(deadline).await;
            ended(progress.get().timeout_outcome())
        };
        let halted = async {
            loop {
                match attempt.aborted().await {
                    AbortReason::Cancelled => return ended(Outcome::Cancelled),
                    AbortReason::Unavailable if !progress.get().has_started() => {
                        return ended(Outcome::NotSent);
                    }
                    AbortReason::Unavailable => {}
                }
            }
        };
        let exchange = self.exchange(attempt, deadline, request, &progress, client_waits, on_written);
        let ended = future::or(exchange, future::or(halted, timeout)).await;
        if attempt.endpoint_takes_work() {
            self.record_outcome(attempt.endpoint.id, ended.0);
        }
        ended
    }

    async fn exchange(
        &self,
        attempt: &Attempt,
        deadline: Instant,
        request: &OutgoingRequest,
        progress: &Cell<Progress>,
        client_waits: impl Fn() -> bool,
        on_written: impl FnOnce(),
    ) -> AttemptResult {
        let endpoint = attempt.endpoint;
        let failed = |outcome| (outcome, None, EndpointResponse::default());
        let (connection, handshake_time) = match self.take_idle(endpoint).await {
            Some(connection) => (Ok(connection), Duration::ZERO),
            None if !client_waits() => return failed(Outcome::NotSent),
            // The first byte on a new connection waits for its handshake, which may take that long.
            None => {
                progress.set(Progress::Connecting(Instant::now()));
                (self.connect(endpoint).await, self.connect_timeout())
            }
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(error) => return failed(connection_failure_outcome(&error)),
        };
        progress.set(Progress::NotStarted);
        let bytes = serialize(request, deadline);
        // Checked right before each write: a request that was not written completely was never
        // executed, so it may be abandoned before any byte but the last.
        let may_write = || attempt.may_write(progress.get().has_started(), client_waits(), handshake_time);
        let on_started = || attempt.check_started();
        match write(&connection, &bytes, progress, may_write, on_started).await {
            Ok(()) => {}
            Err(WriteError::ConnectionFailed(error)) => return failed(connection_failure_outcome(&error)),
            Err(WriteError::Denied(denial)) => {
                let endpoint_unwanted = matches!(denial, Denial::EndpointLeaving | Denial::EndpointGone);
                if !progress.get().has_started() && !endpoint_unwanted {
                    self.return_idle(endpoint.id, connection); // Nothing was written: it can be reused.
                }
                return failed(denial.outcome());
            }
        }
        on_written();
        let mut stream = &*connection.stream;
        let buffer = &mut connection.buffer;
        let answer =
            crate::read_response(buffer, &mut stream, http::BODY_LIMIT, RESPONSE_COMPLETION_TIMEOUT).await;
        let (head, status, body, reusable) = match answer {
            Ok(answer) => answer,
            Err(Fault::Broken | Fault::ConnectionFailed) => return failed(Outcome::Reset),
            // The endpoint is alive and has answered, with something that cannot be used.
            Err(_) => return failed(Outcome::Error),
        };
        // Data behind the response belongs to no request, and an endpoint that has been removed
        // needs no connections.
        if reusable && connection.buffer.is_empty() && attempt.endpoint_takes_work() {
            self.return_idle(endpoint.id, connection);
        }
        let outcome = match status {
            200 => Outcome::Ok,
            503 | 504 if head.get("x-unprocessed") == Some("1") => Outcome::Rejected,
            _ => Outcome::Error,
        };
        let content_type = head.get("content-type").map(str::to_owned);
        (outcome, self.report(&head), EndpointResponse { content_type, body })
    }

    /// Parses the load report of a response; one that is invalid in any part is ignored.
    fn report(&self, head: &Head) -> Option<LoadReport> {
        let text = head.only("x-backend-load").ok()??;
        let settings = self.settings.borrow();
        let mut values = vec![None; settings.field_names.len()];
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)?;
            if let Some(i) = settings.field_names.iter().position(|n| n == name.trim()) {
                values[i] = Some(value);
            }
        }
        Some(settings.fields.report(|i| *values.get(i)?))
    }
}

/// Why a request was not written completely, and so was never executed.
enum WriteError {
    /// The connection failed.
    ConnectionFailed(io::Error),
    /// The guard denied it, or denied the rest of it.
    Denied(Denial),
}

/// Writes all bytes and checks `may_write` before each write; `on_started` is called once, when the
/// first piece is written.
async fn write(
    connection: &Connection,
    bytes: &[u8],
    progress: &Cell<Progress>,
    may_write: impl Fn() -> Result<(), Denial>,
    on_started: impl Fn(),
) -> Result<(), WriteError> {
    let mut written = 0;
    while written < bytes.len() {
        let write = future::poll_fn(|context| {
            if let Err(denial) = may_write() {
                return Poll::Ready(Err(WriteError::Denied(denial)));
            }
            loop {
                match Pin::new(&mut &*connection.stream).poll_write(context, &bytes[written..]) {
                    Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {}
                    polled => return polled.map_err(WriteError::ConnectionFailed),
                }
            }
        });
        written += match write.await? {
            0 => return Err(WriteError::ConnectionFailed(io::ErrorKind::WriteZero.into())),
            n => n,
        };
        if !progress.replace(Progress::Started).has_started() {
            on_started();
        }
    }
    progress.set(Progress::Written);
    Ok(())
}

fn serialize(request: &OutgoingRequest, deadline: Instant) -> Vec<u8> {
    let left = deadline.saturating_duration_since(Instant::now());
    let mut head = String::with_capacity(request.head.len() + 64);
    head.push_str(&request.head);
    let _ = write!(head, "X-Time-Left-Ms: {}\r\n\r\n", left.as_millis());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&request.body);
    bytes
}
