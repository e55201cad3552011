//! Stand-ins for discovery, endpoints and clients on loopback sockets in real time, with the real
//! program running beside them.
//!
//! All stand-ins of a rig share one thread. The system chooses every port.

pub mod clients;
pub mod demo;
pub mod discovery;
pub mod endpoint;
pub mod limited_discovery;
pub mod program;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// The single-threaded executor on which the stand-ins of a rig run.
pub type Executor = Rc<LocalExecutor<'static>>;

/// Runs a future for at most `limit`, then fails with [`io::ErrorKind::TimedOut`].
pub async fn with_timeout<T>(limit: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    future::or(work, async {
        Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}

/// Whether the peer of a connection has not closed it.
pub(crate) fn is_connected(stream: &Async<TcpStream>) -> bool {
    match stream.get_ref().peek(&mut [0]) {
        Ok(bytes) => bytes > 0,
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
    }
}

/// Guard that increments a counter and decrements it when dropped, also where the future that holds
/// it is cancelled.
pub(crate) struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    pub(crate) fn new(count: &'a Cell<usize>) -> CountGuard<'a> {
        count.set(count.get() + 1);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
