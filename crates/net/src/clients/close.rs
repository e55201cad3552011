//! Close: the one way in which a connection ends here, whoever came on it and whatever it ends for.

use super::{Clients, Stage};
use crate::within;
use async_io::Async;
use futures_lite::{AsyncReadExt, future};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// After its last answer a connection is read on for this long, so that the answer is not reset away.
pub const LINGER: Duration = Duration::from_millis(700);
/// What is read to be thrown away goes here.
const SCRATCH: usize = 4096;

/// Half-close, drain, close: nothing is written any more, and what still comes is read and thrown away until the
/// other side closes too, so long at most. Closing over unread bytes resets the connection, and the reset eats
/// whatever the other side has not read.
pub async fn close(stream: &Async<TcpStream>, limit: Duration) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let mut reader = stream;
    let drain = async {
        // Not in the future itself: each connection would hold it from its first byte on.
        let mut scratch = vec![0; SCRATCH];
        while reader.read(&mut scratch).await? > 0 {
            future::yield_now().await; // Who sends without end has no more of the thread than others.
        }
        Ok(())
    };
    let _ = within(limit, drain).await;
}

impl Clients {
    /// Ends a client's connection. What is read from here on is not served: the client sees that it was not, and
    /// sends it again elsewhere.
    pub(super) async fn end(&self, stream: &Async<TcpStream>, answered: Option<Instant>) {
        // Where places are short, one with no answer under way gives its place up at once: a reset eats nothing.
        let owed = answered.is_some_and(|at| at.elapsed() < LINGER);
        let limit = if owed || !self.short.get() { LINGER } else { Duration::ZERO };
        self.at_stage(Stage::Ending, close(stream, limit)).await;
    }
}
