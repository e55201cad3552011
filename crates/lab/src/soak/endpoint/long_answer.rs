//! Long answers of the endpoint stand-ins, written in pieces.

use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// The end of a path whose answer is long.
pub const LONG_SEGMENT: &str = "long";
/// The end of a path whose answer lasts beyond the time in which a process is told to end.
pub const LONGEST_SEGMENT: &str = "longest";
const PIECES: usize = 20;
const PIECE_BYTES: usize = 10 << 10;

/// A long answer: the interval between its pieces.
pub struct LongAnswer(Duration);

impl LongAnswer {
    /// The answer to the request for `path`, if it is long.
    pub fn to(path: &str) -> Option<LongAnswer> {
        match path.rsplit('/').next() {
            Some(LONG_SEGMENT) => Some(LongAnswer(Duration::from_millis(40))),
            Some(LONGEST_SEGMENT) => Some(LongAnswer(Duration::from_millis(225))),
            _ => None,
        }
    }

    /// Writes it in pieces, by its length or in chunks.
    pub async fn write(&self, mut stream: &Async<TcpStream>, chunked: bool) -> io::Result<()> {
        let framing = match chunked {
            true => "Transfer-Encoding: chunked".to_owned(),
            false => format!("Content-Length: {}", PIECES * PIECE_BYTES),
        };
        stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes()).await?;
        let data = "z".repeat(PIECE_BYTES);
        let piece = if chunked { format!("{PIECE_BYTES:x}\r\n{data}\r\n") } else { data };
        for _ in 0..PIECES {
            stream.write_all(piece.as_bytes()).await?;
            Timer::after(self.0).await;
        }
        if chunked {
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }
}
