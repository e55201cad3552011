//! Monitors a client while its request is processed: detects its disconnect, buffers what it sends
//! behind the request, and reads the rest of a long request.

use super::read::{REQUEST_LIMIT_BYTES, body_time};
use crate::memory::Reservation;
use crate::with_timeout;
use async_io::{Async, Timer};
use cottonpoint_codec::body::BodyReader;
use cottonpoint_codec::buffer::{Buffer, READ_SIZE};
use cottonpoint_codec::http::{self, Fault};
use cottonpoint_core::Purpose;
use futures_lite::future;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The number of reads in one check: few while the request waits, so that other tasks get their
/// turn; right before something is written for the client, enough for all that a socket holds by
/// itself (a megabyte).
const READS_PER_CHECK: usize = 4;
const READS_BEFORE_WRITE: usize = 64;
/// The number of bytes to discard in one read.
const DISCARD_BYTES: usize = 16 << 10;
/// The interval at which a connection that is left unread is checked for its end.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A long request whose client sends nothing for this long is given up.
const BODY_STALL_TIMEOUT: Duration = Duration::from_millis(2400);
/// The most that the system of a client holds of what it has written, in bytes: while more than this
/// is missing, the client has not written its last byte.
const PEER_BUFFER_BYTES: u64 = 4 << 20;

/// The state of a client's connection.
#[derive(PartialEq, Eq)]
enum ConnectionState {
    /// The client has closed one or both directions, or reset the connection: it no longer waits.
    Disconnected,
    /// No more data has arrived.
    Idle,
    /// More data may be available.
    More,
    /// What has arrived is left unread: it belongs to the request, or there is no memory for it.
    Unread,
}

/// The client of an open request. What it sends behind the request is read on, since a close or a
/// reset only shows behind that data. Up to one body's length is kept for the next request, as far
/// as there is memory. The rest is discarded, and the connection closes after this request.
pub(super) struct ClientMonitor<'a> {
    stream: &'a Async<TcpStream>,
    buffer: RefCell<&'a mut Buffer>,
    reservation: &'a Reservation,
    overrun: Cell<bool>,
    /// Reads the rest of a long request; `None` once there is none.
    body: RefCell<Option<BodyReader>>,
    /// The time for which the client was waited for, and the number of bytes it sent meanwhile.
    waited: Cell<Duration>,
    received: Cell<usize>,
}

impl<'a> ClientMonitor<'a> {
    pub(super) fn new(
        stream: &'a Async<TcpStream>,
        buffer: &'a mut Buffer,
        reservation: &'a Reservation,
        body: Option<BodyReader>,
    ) -> ClientMonitor<'a> {
        ClientMonitor {
            stream,
            buffer: buffer.into(),
            reservation,
            overrun: Cell::new(false),
            body: body.into(),
            waited: Cell::default(),
            received: Cell::default(),
        }
    }

    /// Waits until the client has disconnected.
    pub(super) async fn disconnected(&self) {
        loop {
            match self.check(READS_PER_CHECK) {
                ConnectionState::Disconnected => return,
                ConnectionState::More => future::yield_now().await,
                ConnectionState::Idle if self.stream.readable().await.is_err() => return,
                ConnectionState::Idle => {}
                ConnectionState::Unread => drop(Timer::after(UNREAD_CHECK_INTERVAL).await),
            }
        }
    }

    /// Whether the client has disconnected by now, as far as the operating system knows.
    pub(super) fn has_disconnected(&self) -> bool {
        self.check(READS_BEFORE_WRITE) == ConnectionState::Disconnected
    }

    /// Whether the client has sent more behind its request than is kept, or its request has not been
    /// read to its end.
    pub(super) fn has_overrun(&self) -> bool {
        self.overrun.get() || self.body.borrow().is_some()
    }

    fn check(&self, reads: usize) -> ConnectionState {
        if self.body.borrow().is_some() {
            return self.unread_state();
        }
        let (mut pipelined, mut stream) = (self.buffer.borrow_mut(), self.stream.get_ref());
        for _ in 0..reads {
            let keep = pipelined.filled().len() < http::BODY_LIMIT;
            if keep && !self.reserve_for(&pipelined) {
                return self.unread_state();
            }
            let read = match keep {
                true => pipelined.fill_now(&mut stream),
                false => stream.read(&mut [0; DISCARD_BYTES]),
            };
            match read.map_err(|error| error.kind()) {
                Ok(0) => return ConnectionState::Disconnected,
                Ok(_) => self.overrun.set(self.overrun.get() || !keep),
                Err(ErrorKind::WouldBlock) => return ConnectionState::Idle,
                Err(ErrorKind::Interrupted) => {}
                Err(_) => return ConnectionState::Disconnected,
            }
        }
        ConnectionState::More
    }

    /// Reserves memory for the next read behind the request.
    fn reserve_for(&self, pipelined: &Buffer) -> bool {
        pipelined.filled().len() + READ_SIZE <= pipelined.capacity().max(READ_SIZE)
            || self.reservation.try_grow(READ_SIZE, Purpose::Pipelined)
    }

    /// The state of a connection that is left unread.
    fn unread_state(&self) -> ConnectionState {
        let mut events = [PollFd::new(self.stream.get_ref(), PollFlags::RDHUP)];
        let now = Timespec { tv_sec: 0, tv_nsec: 0 };
        let gone = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        match poll(&mut events, Some(&now)) {
            Ok(1..) if events[0].revents().intersects(gone) => ConnectionState::Disconnected,
            _ => ConnectionState::Unread,
        }
    }

    /// Takes the next piece of a long request, at most a few KiB; `None` at its end.
    /// `still_sending` is called whenever the client has not yet sent its last byte.
    pub(super) async fn next_body_piece(&self, still_sending: impl Fn()) -> Result<Option<Vec<u8>>, Fault> {
        loop {
            if let Some(piece) = self.take_buffered_piece(&still_sending)? {
                return Ok(Some(piece).filter(|piece| !piece.is_empty()));
            }
            if self.received.get() > REQUEST_LIMIT_BYTES {
                return Err(Fault::BodyTooLong);
            }
            let read = self.buffer.borrow_mut().fill_now(&mut self.stream.get_ref());
            match read {
                Ok(0) => return Err(Fault::Broken),
                Ok(n) => self.received.set(self.received.get() + n),
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.wait_for_body().await?;
                    still_sending();
                }
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// The next piece that has been read; empty at the end of the request.
    fn take_buffered_piece(&self, still_sending: &impl Fn()) -> Result<Option<Vec<u8>>, Fault> {
        let (mut buffer, mut body) = (self.buffer.borrow_mut(), self.body.borrow_mut());
        let Some(reader) = body.as_mut() else { return Ok(Some(Vec::new())) };
        let Some(length) = reader.buffered_piece(&mut buffer)? else { return Ok(None) };
        let piece = buffer.filled()[..length].to_vec();
        reader.consume(&mut buffer, length);
        if reader.remaining().is_some_and(|remaining| remaining > PEER_BUFFER_BYTES) {
            still_sending();
        }
        if reader.is_complete() {
            *body = None;
        }
        Ok(Some(piece))
    }

    /// Waits until the client sends more of a long request.
    async fn wait_for_body(&self) -> Result<(), Fault> {
        let allowance = BODY_STALL_TIMEOUT + body_time(self.received.get());
        let limit = BODY_STALL_TIMEOUT.min(allowance.saturating_sub(self.waited.get()));
        let since = Instant::now();
        let readable = with_timeout(limit, self.stream.readable()).await;
        self.waited.set(self.waited.get() + since.elapsed());
        match readable {
            Err(error) if error.kind() == ErrorKind::TimedOut => Err(Fault::Stalled),
            other => Ok(other?),
        }
    }
}
