//! The little of HTTP/1.1 that all peers share: heads, framing, bodies.

use crate::buffer::Buffer;
use futures_lite::AsyncRead;
use std::fmt;
use std::io;

/// A head longer than this is not read on.
pub const HEAD_LIMIT: usize = 16 << 10;
/// A body of a request or an answer holds at most this.
pub const BODY_LIMIT: usize = 64 << 10;
const HEADERS_LIMIT: usize = 100;
/// A method longer than this is none.
const METHOD_LIMIT: usize = 24;
/// Interim answers before the final one, at most.
pub const INTERIM_LIMIT: usize = 16;

/// Why a message could not be read.
#[derive(Debug)]
pub enum Fault {
    /// The stream ended, or the other side broke it.
    Broken,
    /// The connection failed here or on its way (ETIMEDOUT, ENOBUFS): the other side said nothing.
    ConnectionFailed,
    /// It is not HTTP as this program speaks it.
    Malformed(&'static str),
    /// Its head is too long.
    HeadTooLong,
    /// Its body is too long.
    BodyTooLong,
    /// It began and did not come to its end in time.
    Stalled,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Broken => f.write_str("the connection broke"),
            Fault::ConnectionFailed => f.write_str("the connection failed on its way"),
            Fault::Malformed(what) => write!(f, "malformed {what}"),
            Fault::HeadTooLong => f.write_str("head is too long"),
            Fault::BodyTooLong => f.write_str("body is too long"),
            Fault::Stalled => f.write_str("message does not end"),
        }
    }
}

impl From<io::Error> for Fault {
    fn from(why: io::Error) -> Fault {
        match why.kind() {
            io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::BrokenPipe
            | io::ErrorKind::UnexpectedEof => Fault::Broken,
            _ => Fault::ConnectionFailed,
        }
    }
}

/// What reading comes to.
pub type Result<T> = std::result::Result<T, Fault>;

/// The first line of a message and its headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The first line's three parts.
    pub line: [String; 3],
    /// The headers as they came.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The first header of that name.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.all(name).next()
    }

    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The only header of that name, if any; a second one makes the message ambiguous.
    pub fn only<'a>(&'a self, name: &'a str) -> Result<Option<&'a str>> {
        let mut all = self.all(name);
        match (all.next(), all.next()) {
            (value, None) => Ok(value),
            _ => Err(Fault::Malformed("header, given twice")),
        }
    }

    /// Whether a header's comma-separated value holds a word.
    pub fn has(&self, name: &str, word: &str) -> bool {
        self.all(name).flat_map(|v| v.split(',')).any(|w| w.trim().eq_ignore_ascii_case(word))
    }

    /// Whether the connection outlives this message, by the version that the message states.
    pub fn keeps_alive(&self, version: &str) -> bool {
        let old = version == "HTTP/1.0";
        !self.has("connection", "close") && (!old || self.has("connection", "keep-alive"))
    }
}

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(usize),
    /// Chunked.
    Chunked,
    /// To the end of the stream.
    ToEnd,
}

/// The framing that the headers state; `otherwise` where they state none.
pub fn framing(head: &Head, version: &str, otherwise: Framing) -> Result<Framing> {
    let mut coding = head.all("transfer-encoding");
    let mut length = None;
    for value in head.all("content-length") {
        let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
        match value.parse::<usize>() {
            Ok(n) if digits && length.is_none_or(|l| l == n) => length = Some(n),
            _ => return Err(Fault::Malformed("content length")),
        }
    }
    match (coding.next(), length) {
        (None, Some(n)) => Ok(Framing::Length(n)),
        (None, None) => Ok(otherwise),
        (Some(c), None) if c.eq_ignore_ascii_case("chunked") && coding.next().is_none() => match version {
            "HTTP/1.1" => Ok(Framing::Chunked),
            _ => Err(Fault::Malformed("transfer encoding")),
        },
        _ => Err(Fault::Malformed("transfer encoding")),
    }
}

fn is_token(b: u8) -> bool {
    b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b)
}

/// Whether these first bytes may begin a request.
pub fn begins_request(bytes: &[u8]) -> bool {
    let method = bytes.split(|&b| b == b' ').next().unwrap_or_default();
    method.len() <= METHOD_LIMIT && method.iter().all(|&b| is_token(b))
}

/// Whether these first bytes may begin an answer.
pub fn begins_answer(bytes: &[u8]) -> bool {
    bytes.iter().zip(b"HTTP/1.").all(|(a, b)| a == b)
}

/// Reads a message's head, having waited for it; `None` where the stream ends before the first byte. What
/// cannot begin one is not waited out. One empty line before it is passed over.
pub async fn read_head(
    buffer: &mut Buffer,
    stream: &mut (impl AsyncRead + Unpin),
    begins: fn(&[u8]) -> bool,
) -> Result<Option<Head>> {
    let (mut seen, mut passed) = (0_usize, false);
    loop {
        if !passed && buffer.filled().starts_with(b"\r\n") {
            passed = true;
            buffer.consume(2);
            seen = 0;
        }
        let filled = buffer.filled();
        let empty_line = !passed && b"\r\n".starts_with(filled);
        if !empty_line && !begins(filled) {
            return Err(Fault::Malformed("first line"));
        }
        let from = seen.saturating_sub(3);
        if let Some(at) = filled[from..].windows(4).position(|w| w == b"\r\n\r\n") {
            let length = from + at;
            if length > HEAD_LIMIT {
                return Err(Fault::HeadTooLong);
            }
            let head = parse_head(&filled[..length])?;
            buffer.consume(length + 4);
            return Ok(Some(head));
        }
        if filled.len() > HEAD_LIMIT {
            return Err(Fault::HeadTooLong);
        }
        seen = filled.len();
        if buffer.fill(stream).await? == 0 {
            return if buffer.is_empty() { Ok(None) } else { Err(Fault::Broken) };
        }
    }
}

fn parse_head(bytes: &[u8]) -> Result<Head> {
    let text = std::str::from_utf8(bytes).map_err(|_| Fault::Malformed("head"))?;
    let mut lines = text.split("\r\n");
    let mut parts = lines.next().unwrap_or_default().splitn(3, ' ');
    let mut part = || parts.next().unwrap_or_default().to_owned();
    let line = [part(), part(), part()];
    if line[0].is_empty() || line[1].is_empty() {
        return Err(Fault::Malformed("first line"));
    }
    let mut headers = Vec::new();
    for line in lines {
        let Some((name, value)) = line.split_once(':') else { return Err(Fault::Malformed("header")) };
        let odd = |b: u8| b < b' ' && b != b'\t' || b == 0x7f;
        if name.is_empty() || !name.bytes().all(is_token) || value.bytes().any(odd) {
            return Err(Fault::Malformed("header"));
        }
        if headers.len() == HEADERS_LIMIT {
            return Err(Fault::HeadTooLong);
        }
        headers.push((name.to_owned(), value.trim_matches([' ', '\t']).to_owned()));
    }
    Ok(Head { line, headers })
}

/// Reads a body of at most `limit` bytes.
pub async fn read_body(
    buffer: &mut Buffer,
    stream: &mut (impl AsyncRead + Unpin),
    framing: Framing,
    limit: usize,
) -> Result<Vec<u8>> {
    match framing {
        Framing::Length(n) if n > limit => Err(Fault::BodyTooLong),
        Framing::Length(n) => {
            fill_to(buffer, stream, n).await?;
            let body = buffer.filled()[..n].to_vec();
            buffer.consume(n);
            Ok(body)
        }
        Framing::ToEnd => {
            while buffer.filled().len() <= limit {
                if buffer.fill(stream).await? == 0 {
                    let body = buffer.filled().to_vec();
                    buffer.consume(body.len());
                    return Ok(body);
                }
            }
            Err(Fault::BodyTooLong)
        }
        Framing::Chunked => read_chunks(buffer, stream, limit).await,
    }
}

async fn read_chunks(
    buffer: &mut Buffer,
    stream: &mut (impl AsyncRead + Unpin),
    limit: usize,
) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    // What is not body must not go on for ever either.
    let mut spare = limit.max(HEAD_LIMIT);
    loop {
        let line = read_line(buffer, stream, &mut spare).await?;
        let size = line.split(';').next().unwrap_or_default().trim_end_matches([' ', '\t']);
        let hex = !size.is_empty() && size.len() <= 8 && size.bytes().all(|b| b.is_ascii_hexdigit());
        let size = usize::from_str_radix(size, 16).ok().filter(|_| hex);
        let size = size.ok_or(Fault::Malformed("chunk size"))?;
        if size == 0 {
            while !read_line(buffer, stream, &mut spare).await?.is_empty() {}
            return Ok(body);
        }
        if body.len() + size > limit {
            return Err(Fault::BodyTooLong);
        }
        fill_to(buffer, stream, size + 2).await?;
        let (chunk, rest) = buffer.filled().split_at(size);
        if !rest.starts_with(b"\r\n") {
            return Err(Fault::Malformed("chunk"));
        }
        body.extend_from_slice(chunk);
        buffer.consume(size + 2);
    }
}

async fn read_line(
    buffer: &mut Buffer,
    stream: &mut (impl AsyncRead + Unpin),
    spare: &mut usize,
) -> Result<String> {
    loop {
        let end = buffer.filled().windows(2).position(|w| w == b"\r\n");
        if end.unwrap_or(buffer.filled().len()) + 2 > (*spare).min(HEAD_LIMIT) {
            return Err(Fault::Malformed("line is too long"));
        }
        if let Some(at) = end {
            *spare -= at + 2;
            let line = String::from_utf8_lossy(&buffer.filled()[..at]).into_owned();
            buffer.consume(at + 2);
            let odd = |b: u8| b < b' ' && b != b'\t';
            return if line.bytes().any(odd) { Err(Fault::Malformed("chunk")) } else { Ok(line) };
        }
        if buffer.fill(stream).await? == 0 {
            return Err(Fault::Broken);
        }
    }
}

async fn fill_to(buffer: &mut Buffer, stream: &mut (impl AsyncRead + Unpin), n: usize) -> Result<()> {
    while buffer.filled().len() < n {
        if buffer.fill(stream).await? == 0 {
            return Err(Fault::Broken);
        }
    }
    Ok(())
}

/// A whole answer: its head, status and body, and whether the connection goes on.
pub type Answer = (Head, u16, Vec<u8>, bool);

/// Reads one answer whole; `None` for an interim one (RFC 9110, section 15.2).
pub async fn read_one_answer(
    buffer: &mut Buffer,
    stream: &mut (impl AsyncRead + Unpin),
    limit: usize,
) -> Result<Option<Answer>> {
    let head = read_head(buffer, stream, begins_answer).await?.ok_or(Fault::Broken)?;
    let version = head.line[0].as_str();
    if !matches!(version, "HTTP/1.1" | "HTTP/1.0") {
        return Err(Fault::Malformed("version"));
    }
    let status = &head.line[1];
    let status = status.parse::<u16>().ok().filter(|s| status.len() == 3 && (100..600).contains(s));
    let status = status.ok_or(Fault::Malformed("status"))?;
    if status < 200 {
        return if status == 101 { Err(Fault::Malformed("status")) } else { Ok(None) };
    }
    let framing = match status {
        204 | 304 => Framing::Length(0),
        _ => framing(&head, version, Framing::ToEnd)?,
    };
    let keep = framing != Framing::ToEnd && head.keeps_alive(version);
    // Only a connection that is said to end can tell where a body ends that has no length.
    if framing == Framing::ToEnd && head.keeps_alive(version) {
        return Err(Fault::Malformed("framing"));
    }
    let body = read_body(buffer, stream, framing, limit).await?;
    Ok(Some((head, status, body, keep)))
}
