//! Closing connections: all connections that the sidecar accepts end in the same way.

use super::{Clients, Stage};
use crate::with_timeout;
use async_io::Async;
use futures_lite::{AsyncReadExt, future};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// After its last response a connection is read for this long before it is closed, so that a reset
/// does not destroy the response.
pub const LINGERING_TIMEOUT: Duration = Duration::from_millis(700);
/// The size of the buffer for data to discard.
const DISCARD_BYTES: usize = 4096;

/// Closes gracefully: shuts down the write side, then reads and discards data until the other side
/// closes too, or for `limit` at most. Closing with unread data resets the connection, and the
/// reset destroys what the other side has not read yet.
pub async fn close(stream: &Async<TcpStream>, limit: Duration) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let mut reader = stream;
    let drained = async {
        // On the heap rather than in the future itself, where each connection would hold it from
        // its first byte on.
        let mut discarded = vec![0; DISCARD_BYTES];
        while reader.read(&mut discarded).await? > 0 {
            // A client that never stops sending gets no more than its share of the thread.
            future::yield_now().await;
        }
        Ok(())
    };
    let _ = with_timeout(limit, drained).await;
}

impl Clients {
    /// Ends a client's connection. What is read from here on is not served: the client sees that,
    /// and sends the request again elsewhere.
    pub(super) async fn close_client(&self, stream: &Async<TcpStream>, last_response: Option<Instant>) {
        // Where connections are scarce, one without a recent response is closed at once: a reset
        // destroys nothing there.
        let recent_response =
            last_response.is_some_and(|written_at| written_at.elapsed() < LINGERING_TIMEOUT);
        let limit = if recent_response || !self.scarce.get() { LINGERING_TIMEOUT } else { Duration::ZERO };
        self.run_evictable(Stage::Closing, close(stream, limit)).await;
    }
}
