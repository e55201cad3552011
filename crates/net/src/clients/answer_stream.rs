//! Writes an answer to a client while it still arrives from its endpoint.

use crate::servers::{AnswerStart, ClientFault};
use crate::write_with_progress;
use async_io::Async;
use socket2::SockRef;
use std::cell::Cell;
use std::fmt::Write;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// How the end of the answer is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndMark {
    /// By the length in the head.
    Length,
    /// By the last chunk.
    LastChunk,
    /// By the end of the connection: the client's version of HTTP has no chunks.
    Close,
}

/// How far the answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing has been written.
    NotBegun,
    /// The head has been written.
    Begun(EndMark),
    /// The last byte has been written.
    Complete(EndMark),
}

/// An answer that is written to a client as it arrives.
pub(super) struct AnswerStream<'a> {
    stream: &'a Async<TcpStream>,
    /// Whether the client's version of HTTP has chunks.
    has_chunks: bool,
    /// Whether the connection is kept open after the answer.
    keep: Cell<bool>,
    /// An answer ends when the client has read nothing for this long.
    stall_limit: Duration,
    state: Cell<State>,
}

impl<'a> AnswerStream<'a> {
    pub(super) fn new(
        stream: &'a Async<TcpStream>,
        has_chunks: bool,
        keep: bool,
        stall_limit: Duration,
    ) -> AnswerStream<'a> {
        AnswerStream { stream, has_chunks, keep: keep.into(), stall_limit, state: State::NotBegun.into() }
    }

    /// Whether a byte of the answer may have been written, so that no other answer can follow.
    pub(super) fn has_begun(&self) -> bool {
        self.state.get() != State::NotBegun
    }

    /// Whether the last byte has been written.
    pub(super) fn is_complete(&self) -> bool {
        matches!(self.state.get(), State::Complete(_))
    }

    /// Whether the connection can carry another request.
    pub(super) fn keeps_connection(&self) -> bool {
        self.is_complete() && self.keep.get()
    }

    pub(super) async fn begin(&self, start: AnswerStart) -> Result<(), ClientFault> {
        let mark = match start.length {
            Some(_) => EndMark::Length,
            None if self.has_chunks => EndMark::LastChunk,
            None => EndMark::Close,
        };
        if mark == EndMark::Close {
            // Should the process be killed, the system closes the connection: without a reset the
            // answer would look whole.
            self.reset_on_close(true);
        }
        self.state.set(State::Begun(mark));
        self.keep.set(self.keep.get() && mark != EndMark::Close);
        let mut head = "HTTP/1.1 200 OK\r\n".to_owned();
        // Writing to a string does not fail.
        if let Some(content_type) = &start.content_type {
            let _ = write!(head, "Content-Type: {content_type}\r\n");
        }
        if let Some(length) = start.length {
            let _ = write!(head, "Content-Length: {length}\r\n");
        }
        if mark == EndMark::LastChunk {
            head.push_str("Transfer-Encoding: chunked\r\n");
        }
        if !self.keep.get() {
            head.push_str("Connection: close\r\n");
        }
        head.push_str("\r\n");
        self.write(head.as_bytes()).await
    }

    pub(super) async fn pass_on(&self, piece: &[u8]) -> Result<(), ClientFault> {
        if piece.is_empty() {
            return Ok(());
        }
        if self.state.get() != State::Begun(EndMark::LastChunk) {
            return self.write(piece).await;
        }
        let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
        chunk.extend_from_slice(piece);
        chunk.extend_from_slice(b"\r\n");
        self.write(&chunk).await
    }

    pub(super) async fn end(&self) -> Result<(), ClientFault> {
        let State::Begun(mark) = self.state.get() else { return Ok(()) };
        if mark == EndMark::LastChunk {
            self.write(b"0\r\n\r\n").await?;
        }
        if mark == EndMark::Close {
            self.reset_on_close(false);
        }
        self.state.set(State::Complete(mark));
        Ok(())
    }

    /// Sets whether the connection ends by a reset, whoever closes it.
    fn reset_on_close(&self, reset: bool) {
        let _ = SockRef::from(self.stream.get_ref()).set_linger(reset.then_some(Duration::ZERO));
    }

    /// Whether the connection has to end by a reset: the answer is not whole, and without a length
    /// and without chunks nothing else tells the client.
    pub(super) fn needs_reset(&self) -> bool {
        self.state.get() == State::Begun(EndMark::Close)
    }

    async fn write(&self, bytes: &[u8]) -> Result<(), ClientFault> {
        write_with_progress(self.stream, bytes, self.stall_limit).await.map_err(|error| {
            match error.kind() {
                io::ErrorKind::TimedOut if error.raw_os_error().is_none() => ClientFault::Stalled,
                _ => ClientFault::Gone,
            }
        })
    }
}
