//! The read buffer of a connection. It grows as a message requires and is compacted in place.

use futures_lite::{AsyncRead, AsyncReadExt, future};
use std::io;

/// The number of bytes by which the buffer grows, and that it keeps when it is empty.
pub const READ_SIZE: usize = 4096;
/// Number of reads after which the task yields: reading data that is already there does not wait,
/// so a peer that sends without end would otherwise keep the thread to itself.
const READS_PER_YIELD: u8 = 4;

/// Bytes that have been received and not yet consumed.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    reads: u8,
}

impl Buffer {
    /// The bytes received and not yet consumed.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Whether there are no bytes to consume.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// The memory that the buffer holds, in bytes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Drops the first `n` bytes. A buffer that becomes empty releases the memory that a large
    /// message needed.
    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            if self.bytes.len() > 2 * READ_SIZE {
                self.bytes.truncate(READ_SIZE);
                self.bytes.shrink_to_fit();
            }
        }
    }

    /// Makes room behind the received bytes.
    fn make_room(&mut self) {
        if self.end == self.bytes.len() {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
            if self.bytes.len() - self.end < READ_SIZE {
                self.bytes.reserve_exact(READ_SIZE);
                self.bytes.resize(self.end + READ_SIZE, 0);
            }
        }
    }

    /// Appends what a non-waiting source has available; returns 0 at its end.
    pub fn fill_now(&mut self, source: &mut impl io::Read) -> io::Result<usize> {
        self.make_room();
        let n = loop {
            match source.read(&mut self.bytes[self.end..]) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => break read?,
            }
        };
        self.end += n;
        Ok(n)
    }

    /// Appends what the stream has available; returns 0 at its end. Cancel safe.
    pub async fn fill(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        self.make_room();
        self.reads += 1;
        if self.reads >= READS_PER_YIELD {
            self.reads = 0;
            future::yield_now().await;
        }
        let n = loop {
            match stream.read(&mut self.bytes[self.end..]).await {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => break read?,
            }
        };
        self.end += n;
        Ok(n)
    }
}
