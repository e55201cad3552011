//! Writes a request to an endpoint, and tracks how far it has come.

use super::Connection;
use super::client::AttemptClient;
use super::send::{BodyRest, OutgoingRequest};
use crate::Arrived;
use crate::origin::Origin;
use cottonpoint_core::{Attempt, Denial};
use cottonpoint_decide::Outcome;
use futures_lite::{AsyncWrite, future};
use std::cell::Cell;
use std::fmt::Write;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::Poll;
use std::time::{Duration, Instant};

/// A connect without any response for this long counts against the endpoint, even if the attempt's
/// own timeout ends it: a handshake takes far less.
const CONNECT_FAILED_AFTER: Duration = Duration::from_millis(100);

/// The progress of an attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    /// No byte of it is written.
    NotStarted,
    /// No byte of it is written, and a connect started at this time.
    Connecting(Instant),
    /// Its first byte is written.
    Started,
    /// Its last byte is written: the endpoint may execute it.
    Written,
    /// The head of its answer has arrived: from here on the answer has its own time limits.
    Answering,
}

impl Progress {
    /// Whether a byte of it is written.
    pub(super) fn has_started(self) -> bool {
        matches!(self, Progress::Started | Progress::Written | Progress::Answering)
    }

    /// The outcome where the attempt's own time ends. A request that was not written completely was
    /// never executed; an endpoint that does not read it, or does not accept the connection, has
    /// failed.
    pub(super) fn timeout_outcome(self) -> Outcome {
        match self {
            Progress::Written | Progress::Answering => Outcome::TimedOut,
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
pub(super) fn connection_failure_outcome(error: &io::Error) -> Outcome {
    match Origin::of(error) {
        Origin::Local => {
            tracing::debug!(why = %error, "connecting to an endpoint failed because of a local fault");
            Outcome::NotSent
        }
        Origin::Peer | Origin::Path | Origin::Timeout => Outcome::ConnectFailed,
    }
}

/// Why a request was not written completely, and so was never executed.
pub(super) enum WriteError {
    /// The connection failed.
    ConnectionFailed(io::Error),
    /// The guard denied it, or denied the rest of it.
    Denied(Denial),
    /// The rest of a long request cannot be had from its client.
    BodyMissing,
    /// Something arrived on a connection that has carried an answer, before the last byte of the
    /// request was written: no answer to it.
    BytesArrived,
}

/// Writes a request. A long one is written as it arrives, so that it waits for the slower of client
/// and endpoint.
pub(super) async fn write_request(
    attempt: &Attempt,
    connection: &Connection,
    request: &OutgoingRequest,
    progress: &Cell<Progress>,
    client: &impl AttemptClient,
    handshake_time: Duration,
) -> Result<(), WriteError> {
    let head = serialize_head(request, attempt.deadline());
    // Checked right before each write: a request that was not written completely was never
    // executed, so it may be abandoned before any byte but the last.
    let may_write = || attempt.may_write(progress.get().has_started(), client.waits(), handshake_time);
    let on_started = || attempt.check_started();
    if request.rest != BodyRest::Chunked {
        write(connection, &head, &request.body, progress, may_write, on_started).await?;
    } else {
        write(connection, &head, &chunk(&request.body), progress, may_write, on_started).await?;
    }
    if request.rest == BodyRest::None {
        return Ok(());
    }
    while let Some(piece) = client.next_body_piece().await.map_err(|_| WriteError::BodyMissing)? {
        let bytes = if request.rest == BodyRest::Chunked { chunk(&piece) } else { piece };
        write(connection, &[], &bytes, progress, may_write, on_started).await?;
    }
    if request.rest == BodyRest::Chunked {
        write(connection, &[], LAST_CHUNK, progress, may_write, on_started).await?;
    }
    Ok(())
}

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// A chunk with this data; nothing without data, since an empty chunk would be the last one.
fn chunk(data: &[u8]) -> Vec<u8> {
    if data.is_empty() {
        return Vec::new();
    }
    [format!("{:x}\r\n", data.len()).as_bytes(), data, b"\r\n"].concat()
}

/// Writes the head and then the body, and checks `may_write` before each write; `on_started` is
/// called once, when the first piece is written.
async fn write(
    connection: &Connection,
    head: &[u8],
    body: &[u8],
    progress: &Cell<Progress>,
    may_write: impl Fn() -> Result<(), Denial>,
    on_started: impl Fn(),
) -> Result<(), WriteError> {
    let mut written = 0;
    while written < head.len() + body.len() {
        let rest = [
            IoSlice::new(&head[written.min(head.len())..]),
            IoSlice::new(&body[written.saturating_sub(head.len())..]),
        ];
        let write = future::poll_fn(|context| {
            if let Err(denial) = may_write() {
                return Poll::Ready(Err(WriteError::Denied(denial)));
            }
            let is_reused = connection.last_answer_at.is_some();
            if is_reused
                && progress.get().has_started()
                && Arrived::on(&connection.stream) == Arrived::Bytes
            {
                return Poll::Ready(Err(WriteError::BytesArrived));
            }
            loop {
                match Pin::new(&mut &*connection.stream).poll_write_vectored(context, &rest) {
                    Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {}
                    polled => return polled.map_err(WriteError::ConnectionFailed),
                }
            }
        });
        written += match write.await? {
            0 => return Err(WriteError::ConnectionFailed(io::ErrorKind::WriteZero.into())),
            n => n,
        };
        if !progress.get().has_started() {
            progress.set(Progress::Started);
            on_started();
        }
    }
    Ok(())
}

/// The head of a request as it goes to an endpoint.
fn serialize_head(request: &OutgoingRequest, deadline: Instant) -> Vec<u8> {
    let left = deadline.saturating_duration_since(Instant::now());
    let mut head = String::with_capacity(request.head.len() + 64);
    head.push_str(&request.head);
    let _ = write!(head, "X-Time-Left-Ms: {}\r\n\r\n", left.as_millis());
    head.into_bytes()
}
