//! What speaks on sockets, by peer: clients, servers (the targets) and the list (discovery).

pub mod buffer;
pub mod clients;
pub mod http;
pub mod list;
pub mod servers;

use async_io::Timer;
use futures_lite::future;
use std::future::Future;
use std::io;
use std::time::Duration;

/// Runs a future for at most so long.
pub async fn within<T>(limit: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    future::or(work, async {
        Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}
