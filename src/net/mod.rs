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
use std::time::{Duration, Instant};

/// Runs a future for at most so long.
pub async fn within<T>(limit: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    by(Instant::now() + limit, work).await
}

/// Runs a future until some time at the latest.
pub async fn by<T>(until: Instant, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    future::or(work, async {
        Timer::at(until).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}
