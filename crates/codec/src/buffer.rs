//! A connection's one buffer: it grows as a message needs and is compacted in place.

use futures_lite::{AsyncRead, AsyncReadExt, future};
use std::io;

const CHUNK: usize = 4096;
/// After so many reads others get a turn: a read of what is there already does not wait, and a peer that
/// sends without end would keep the thread to itself.
const TURN: u8 = 4;

/// Bytes that have arrived and were not consumed yet.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
    end: usize,
    reads: u8,
}

impl Buffer {
    /// What has arrived.
    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..self.end]
    }

    /// Whether nothing waits to be consumed.
    pub fn is_empty(&self) -> bool {
        self.start == self.end
    }

    /// Forgets the first `n` bytes. An emptied buffer gives back what a large message made it grow to.
    pub fn consume(&mut self, n: usize) {
        self.start = (self.start + n).min(self.end);
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
            if self.bytes.len() > 2 * CHUNK {
                self.bytes.truncate(CHUNK);
                self.bytes.shrink_to_fit();
            }
        }
    }

    /// Some room behind what has arrived.
    fn make_room(&mut self) {
        if self.end == self.bytes.len() {
            self.bytes.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
            if self.bytes.len() - self.end < CHUNK {
                let room = self.bytes.len().max(CHUNK);
                self.bytes.resize(self.end + room, 0);
            }
        }
    }

    /// Appends what a source that never waits has to give now; 0 at its end.
    pub fn fill_now(&mut self, source: &mut impl io::Read) -> io::Result<usize> {
        self.make_room();
        let n = loop {
            match source.read(&mut self.bytes[self.end..]) {
                Err(why) if why.kind() == io::ErrorKind::Interrupted => {}
                read => break read?,
            }
        };
        self.end += n;
        Ok(n)
    }

    /// Appends what the stream has to give; 0 at its end. May be dropped at any time without loss.
    pub async fn fill(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> io::Result<usize> {
        self.make_room();
        self.reads += 1;
        if self.reads >= TURN {
            self.reads = 0;
            future::yield_now().await;
        }
        let n = loop {
            match stream.read(&mut self.bytes[self.end..]).await {
                Err(why) if why.kind() == io::ErrorKind::Interrupted => {}
                read => break read?,
            }
        };
        self.end += n;
        Ok(n)
    }
}
