//! Reads requests from a client's connection. What they take is reserved in the process's memory
//! before it is read; where there is none, the socket is left unread.

use super::take_in;
use crate::memory::{Memory, Reservation};
use crate::{with_deadline, with_timeout, write_all};
use async_io::Async;
use cottonpoint_codec::body::BodyReader;
use cottonpoint_codec::buffer::{Buffer, READ_SIZE};
use cottonpoint_codec::http::{self, BODY_LIMIT, Fault, Framing, Head};
use cottonpoint_core::Purpose;
use event_listener::EventListener;
use futures_lite::AsyncRead;
use std::cell::Cell;
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

/// Longest request body in bytes (the deployment's requirements).
pub(super) const REQUEST_LIMIT_BYTES: usize = 32 << 20;
/// A request waits for memory this long before it is refused.
const MEMORY_TIMEOUT: Duration = Duration::from_millis(500);
/// The minimum rate of a body in bytes per second: half of the 64 kB a second at which clients send
/// bodies (the deployment's requirements), for slack. A body has [`BODY_START_TIME`] more to start.
pub(super) const MIN_BODY_RATE: f64 = 32_768.0;
const BODY_START_TIME: Duration = Duration::from_millis(500);

/// The time in which so many bytes of a body arrive at least.
pub(super) fn body_time(bytes: usize) -> Duration {
    BODY_START_TIME + Duration::from_secs_f64(bytes as f64 / MIN_BODY_RATE)
}

/// Why a request could not be read.
#[derive(Debug)]
pub(super) enum ReadFault {
    /// The message is invalid, incomplete, or the connection failed.
    Message(Fault),
    /// There was no memory for it in time. It has not been read.
    NoMemory,
}

impl<E: Into<Fault>> From<E> for ReadFault {
    fn from(fault: E) -> ReadFault {
        ReadFault::Message(fault.into())
    }
}

/// The body of a request.
pub(super) struct RequestBody {
    /// What has been read: all of it, or the beginning of one that is longer than is held.
    pub(super) held: Vec<u8>,
    /// Reads the rest; `None` if there is none.
    pub(super) rest: Option<BodyReader>,
}

/// A client's connection, its buffer, and the memory reserved for both.
pub(super) struct ClientConnection {
    pub(super) stream: Async<TcpStream>,
    pub(super) buffer: Buffer,
    pub(super) reservation: Reservation,
    /// When the request that is being read last arrived any further.
    pub(super) progress: Rc<Cell<Instant>>,
}

impl ClientConnection {
    pub(super) fn new(stream: Async<TcpStream>, memory: &Rc<Memory>) -> ClientConnection {
        ClientConnection {
            stream,
            buffer: Buffer::default(),
            reservation: memory.reservation(),
            progress: Rc::new(Cell::new(Instant::now())),
        }
    }

    /// Gives back what the last request took.
    pub(super) fn release_request(&self) {
        self.reservation.shrink_to(self.buffer.capacity().saturating_sub(READ_SIZE));
    }

    /// Reads a request: the head by `deadline`, the body within a time of its own that grows with
    /// its length. Of a long body no more is read than its beginning. `None` if the client closed
    /// the connection instead.
    pub(super) async fn read_request(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<(Head, RequestBody)>, ReadFault> {
        self.progress.set(Instant::now());
        let Some(head) = self.read_head(deadline).await? else { return Ok(None) };
        let framing = take_in::body_framing(&head)?;
        if matches!(framing, Framing::Length(n) if n > REQUEST_LIMIT_BYTES) {
            return Err(Fault::BodyTooLong.into());
        }
        if head.has("expect", "100-continue") && self.buffer.is_empty() {
            write_all(&self.stream, b"HTTP/1.1 100 Continue\r\n\r\n").await.map_err(Fault::from)?;
        }
        let body = BodyReader::new(framing);
        let to_hold = match framing {
            Framing::Length(n) if n > BODY_LIMIT => 0,
            Framing::Length(n) => n,
            Framing::Chunked | Framing::ToEnd => BODY_LIMIT,
        };
        if to_hold == 0 {
            let rest = (!body.is_complete()).then_some(body);
            return Ok(Some((head, RequestBody { held: Vec::new(), rest })));
        }
        self.reserve(to_hold).await?;
        let deadline = deadline.max(Instant::now() + body_time(to_hold));
        let read = async { Ok(self.read_body(body, to_hold).await) };
        let body = with_deadline(deadline, read).await.unwrap_or(Err(Fault::Stalled))?;
        Ok(Some((head, body)))
    }

    async fn read_head(&mut self, deadline: Instant) -> Result<Option<Head>, ReadFault> {
        let read = self.buffer.filled().len();
        let mut reader = HeadReader {
            stream: &self.stream,
            reservation: &self.reservation,
            progress: &self.progress,
            read,
            released: None,
        };
        let head = async { Ok(http::read_head(&mut self.buffer, &mut reader, http::begins_request).await) };
        Ok(with_deadline(deadline, head).await.unwrap_or(Err(Fault::Stalled))?)
    }

    /// Reserves memory for a request that is being read.
    async fn reserve(&self, bytes: usize) -> Result<(), ReadFault> {
        let granted = async {
            self.reservation.grow(bytes, Purpose::Reading).await;
            self.progress.set(Instant::now());
            Ok(())
        };
        // Meanwhile the client waits for this process.
        self.progress.set(Instant::now() + MEMORY_TIMEOUT);
        with_timeout(MEMORY_TIMEOUT, granted).await.map_err(|_: io::Error| ReadFault::NoMemory)
    }

    /// Reads a body, or its first `limit` bytes.
    async fn read_body(&mut self, mut reader: BodyReader, limit: usize) -> http::Result<RequestBody> {
        let mut stream = &self.stream;
        let mut held = Vec::with_capacity(reader.remaining().map_or(0, |_| limit));
        loop {
            let piece = reader.next_piece(&mut self.buffer, &mut stream).await?;
            if piece == 0 {
                return Ok(RequestBody { held, rest: None });
            }
            let piece = piece.min(limit - held.len());
            if piece == 0 {
                return Ok(RequestBody { held, rest: Some(reader) });
            }
            self.progress.set(Instant::now());
            held.extend_from_slice(&self.buffer.filled()[..piece]);
            reader.consume(&mut self.buffer, piece);
        }
    }
}

/// A client's connection while a head is read: reserves memory before it reads more than the
/// connection's own buffer holds.
struct HeadReader<'a> {
    stream: &'a Async<TcpStream>,
    reservation: &'a Reservation,
    progress: &'a Cell<Instant>,
    /// The number of bytes that the buffer holds.
    read: usize,
    /// Waits for memory.
    released: Option<EventListener>,
}

impl HeadReader<'_> {
    fn try_reserve(&self, room: usize, has_waited: bool) -> bool {
        // The connection's own part covers an empty buffer.
        let wanted = (self.read + room).saturating_sub(READ_SIZE);
        match wanted.saturating_sub(self.reservation.bytes()) {
            0 => true,
            more if has_waited => self.reservation.try_grow_again(more, Purpose::Reading),
            more => self.reservation.try_grow(more, Purpose::Reading),
        }
    }
}

impl AsyncRead for HeadReader<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while !self.try_reserve(buffer.len(), self.released.is_some()) {
            let mut listener = self.released.take().unwrap_or_else(|| self.reservation.memory().listen());
            if Pin::new(&mut listener).poll(context).is_pending() {
                self.released = Some(listener);
                return Poll::Pending;
            }
        }
        let n = ready!(Pin::new(&mut &*self.stream).poll_read(context, buffer))?;
        self.read += n;
        self.progress.set(Instant::now());
        Poll::Ready(Ok(n))
    }
}
