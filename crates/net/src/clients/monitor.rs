//! Monitors a client while its request is processed: detects its disconnect, and buffers what it
//! sends behind the request.

use async_io::Async;
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Read};
use std::net::TcpStream;

/// The number of reads in one check: few while the request waits, so that other tasks get their
/// turn; right before something is written for the client, enough for all that a socket holds by
/// itself (a megabyte).
const READS_PER_CHECK: usize = 4;
const READS_BEFORE_WRITE: usize = 64;
/// The number of bytes to discard in one read.
const DISCARD_BYTES: usize = 16 << 10;

/// The state of a client's connection.
#[derive(PartialEq, Eq)]
enum ConnectionState {
    /// The client has closed one or both directions, or reset the connection: it no longer waits.
    Disconnected,
    /// No more data has arrived.
    Idle,
    /// More data may be available.
    More,
}

/// The client of an open request. What it sends behind the request is read on, since a close or a
/// reset only shows behind that data. Up to one body's length is kept for the next request. The
/// rest is discarded, and the connection closes after this request.
pub(super) struct ClientMonitor<'a> {
    stream: &'a Async<TcpStream>,
    pipelined: RefCell<&'a mut Buffer>,
    overrun: Cell<bool>,
}

impl<'a> ClientMonitor<'a> {
    pub(super) fn new(stream: &'a Async<TcpStream>, pipelined: &'a mut Buffer) -> ClientMonitor<'a> {
        ClientMonitor { stream, pipelined: pipelined.into(), overrun: Cell::new(false) }
    }

    /// Waits until the client has disconnected.
    pub(super) async fn disconnected(&self) {
        loop {
            match self.check(READS_PER_CHECK) {
                ConnectionState::Disconnected => return,
                ConnectionState::More => future::yield_now().await,
                ConnectionState::Idle if self.stream.readable().await.is_err() => return,
                ConnectionState::Idle => {}
            }
        }
    }

    /// Whether the client has disconnected by now, as far as the operating system knows.
    pub(super) fn has_disconnected(&self) -> bool {
        self.check(READS_BEFORE_WRITE) == ConnectionState::Disconnected
    }

    /// Whether the client has sent more behind its request than is kept.
    pub(super) fn has_overrun(&self) -> bool {
        self.overrun.get()
    }

    fn check(&self, reads: usize) -> ConnectionState {
        let (mut pipelined, mut stream) = (self.pipelined.borrow_mut(), self.stream.get_ref());
        for _ in 0..reads {
            let keep = pipelined.filled().len() < http::BODY_LIMIT;
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
}
