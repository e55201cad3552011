//! Stand-ins on loopback sockets in real time: discovery, servers, clients, and the real program beside them.
//!
//! All stand-ins of a rig run on one thread; every port is drawn by the system.

pub mod clients;
pub mod discovery;
pub mod overrun;
pub mod program;
pub mod server;
pub mod up;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// The executor of a rig.
pub type Executor = Rc<LocalExecutor<'static>>;

/// Runs a future for at most so long.
pub async fn within<T>(limit: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    future::or(work, async {
        Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}

/// Whether a caller has not closed its connection.
pub(crate) fn is_there(stream: &Async<TcpStream>) -> bool {
    match stream.get_ref().peek(&mut [0]) {
        Ok(bytes) => bytes > 0,
        Err(why) => why.kind() == io::ErrorKind::WouldBlock,
    }
}

/// Counts one more for as long as it lives, also where the work that holds it is dropped.
pub(crate) struct CountedIn<'a>(&'a Cell<usize>);

impl<'a> CountedIn<'a> {
    pub(crate) fn new(count: &'a Cell<usize>) -> CountedIn<'a> {
        count.set(count.get() + 1);
        CountedIn(count)
    }
}

impl Drop for CountedIn<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
