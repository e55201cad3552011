//! Bodies of messages, read piece by piece in any framing, so that a long one never has to be held
//! whole.

use crate::buffer::Buffer;
use crate::http::{Fault, Framing, HEAD_LIMIT, Result};
use futures_lite::AsyncRead;

/// Maximum length in bytes of chunk headers and trailers for each [`FRAMING_PERIOD_BYTES`] of data: they
/// would otherwise be unlimited.
const FRAMING_ALLOWANCE_BYTES: usize = HEAD_LIMIT;
/// The number of data bytes after which the allowance for framing is renewed. Chunks of one byte
/// stay within it.
const FRAMING_PERIOD_BYTES: usize = 1 << 10;

/// What comes next in a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// This many bytes of a body with a length.
    Data(u64),
    /// Data up to the end of the stream.
    DataToEnd,
    /// The header of a chunk.
    ChunkHeader,
    /// This many bytes of a chunk.
    Chunk(usize),
    /// The line ending behind a chunk.
    ChunkEnd,
    /// The trailers behind the last chunk.
    Trailers,
    /// Nothing: the body is complete.
    Complete,
}

/// Reads a body piece by piece. The bytes stay in the connection's buffer until they are consumed,
/// so a read that is cancelled loses nothing.
#[derive(Clone, Debug)]
pub struct BodyReader {
    position: Position,
    framing_left: usize,
    data_in_period: usize,
}

impl BodyReader {
    /// A reader of a body whose first byte is the next one of its connection.
    pub fn new(framing: Framing) -> BodyReader {
        let position = match framing {
            Framing::Length(0) => Position::Complete,
            Framing::Length(n) => Position::Data(n as u64),
            Framing::ToEnd => Position::DataToEnd,
            Framing::Chunked => Position::ChunkHeader,
        };
        BodyReader { position, framing_left: FRAMING_ALLOWANCE_BYTES, data_in_period: 0 }
    }

    /// Whether the body has been consumed completely.
    pub fn is_complete(&self) -> bool {
        self.position == Position::Complete
    }

    /// The number of bytes that are still to come, if the framing states it.
    pub fn remaining(&self) -> Option<u64> {
        match self.position {
            Position::Data(left) => Some(left),
            Position::Complete => Some(0),
            _ => None,
        }
    }

    /// Waits until there is data of the body at the start of the buffer and returns its length; 0 at
    /// the end of the body. Cancel safe.
    pub async fn next_piece(
        &mut self,
        buffer: &mut Buffer,
        stream: &mut (impl AsyncRead + Unpin),
    ) -> Result<usize> {
        loop {
            let ready = self.buffered_piece(buffer)?;
            if let Some(length) = ready {
                return Ok(length);
            }
            if buffer.fill(stream).await? == 0 {
                if self.position != Position::DataToEnd {
                    return Err(Fault::Broken);
                }
                self.position = Position::Complete;
            }
        }
    }

    /// The length of the data at the start of the buffer, without reading: 0 at the end of the body,
    /// `None` where more has to be read first.
    pub fn buffered_piece(&mut self, buffer: &mut Buffer) -> Result<Option<usize>> {
        loop {
            let filled = buffer.filled().len();
            match self.position {
                Position::Complete => return Ok(Some(0)),
                Position::Data(left) if filled > 0 => {
                    return Ok(Some(usize::try_from(left).unwrap_or(usize::MAX).min(filled)));
                }
                Position::DataToEnd if filled > 0 => return Ok(Some(filled)),
                Position::Chunk(left) if filled > 0 => return Ok(Some(left.min(filled))),
                Position::Data(_) | Position::DataToEnd | Position::Chunk(_) => return Ok(None),
                Position::ChunkEnd => {
                    if !b"\r\n".starts_with(&buffer.filled()[..filled.min(2)]) {
                        return Err(Fault::Malformed("chunk"));
                    }
                    if filled < 2 {
                        return Ok(None);
                    }
                    buffer.consume(2);
                    self.position = Position::ChunkHeader;
                }
                Position::ChunkHeader => {
                    let Some(line) = self.buffered_line(buffer)? else { return Ok(None) };
                    self.position = match chunk_size(&line)? {
                        0 => Position::Trailers,
                        size => Position::Chunk(size),
                    };
                }
                Position::Trailers => {
                    let Some(line) = self.buffered_line(buffer)? else { return Ok(None) };
                    if line.is_empty() {
                        self.position = Position::Complete;
                    }
                }
            }
        }
    }

    /// Consumes the first `n` bytes of the piece at the start of the buffer.
    pub fn consume(&mut self, buffer: &mut Buffer, n: usize) {
        buffer.consume(n);
        self.position = match self.position {
            Position::Data(left) if left > n as u64 => Position::Data(left - n as u64),
            Position::Data(_) => Position::Complete,
            Position::Chunk(left) if left > n => Position::Chunk(left - n),
            Position::Chunk(_) => Position::ChunkEnd,
            other => other,
        };
        self.data_in_period += n;
        if self.data_in_period >= FRAMING_PERIOD_BYTES {
            self.data_in_period = 0;
            self.framing_left = FRAMING_ALLOWANCE_BYTES;
        }
    }

    /// Takes the line at the start of the buffer, without its ending; `None` if it is not complete.
    fn buffered_line(&mut self, buffer: &mut Buffer) -> Result<Option<String>> {
        let end = buffer.filled().windows(2).position(|w| w == b"\r\n");
        if end.unwrap_or(buffer.filled().len()) + 2 > self.framing_left.min(HEAD_LIMIT) {
            return Err(Fault::Malformed("line is too long"));
        }
        let Some(at) = end else { return Ok(None) };
        self.framing_left -= at + 2;
        let line = String::from_utf8_lossy(&buffer.filled()[..at]).into_owned();
        buffer.consume(at + 2);
        let is_control = |b: u8| b < b' ' && b != b'\t';
        if line.bytes().any(is_control) { Err(Fault::Malformed("chunk")) } else { Ok(Some(line)) }
    }
}

/// The size that a chunk's header states; extensions are ignored.
fn chunk_size(line: &str) -> Result<usize> {
    let size = line.split(';').next().unwrap_or_default().trim_end_matches([' ', '\t']);
    let is_hex = !size.is_empty() && size.len() <= 8 && size.bytes().all(|b| b.is_ascii_hexdigit());
    let parsed = usize::from_str_radix(size, 16).ok().filter(|_| is_hex);
    parsed.ok_or(Fault::Malformed("chunk size"))
}

/// Reads a whole body of at most `limit` bytes.
pub async fn read_body(
    buffer: &mut Buffer,
    stream: &mut (impl AsyncRead + Unpin),
    framing: Framing,
    limit: usize,
) -> Result<Vec<u8>> {
    let declared = match framing {
        Framing::Length(n) if n > limit => return Err(Fault::BodyTooLong),
        Framing::Length(n) => n,
        Framing::Chunked | Framing::ToEnd => 0,
    };
    let (mut reader, mut body) = (BodyReader::new(framing), Vec::with_capacity(declared));
    loop {
        let length = reader.next_piece(buffer, stream).await?;
        if length == 0 {
            return Ok(body);
        }
        if body.len() + length > limit {
            return Err(Fault::BodyTooLong);
        }
        body.extend_from_slice(&buffer.filled()[..length]);
        reader.consume(buffer, length);
    }
}
