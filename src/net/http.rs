//! The little of HTTP/1.1 that all peers share: heads, framing, bodies.

use super::buffer::Buffer;
use futures_lite::AsyncRead;
use std::fmt;
use std::io;

/// A head longer than this is not read on.
pub const HEAD_LIMIT: usize = 16 << 10;
/// A body of a request or an answer holds at most this.
pub const BODY_LIMIT: usize = 64 << 10;
const HEADERS_LIMIT: usize = 100;

/// Why a message could not be read.
#[derive(Debug)]
pub enum Fault {
    /// The stream ended or broke.
    Broken,
    /// It is not HTTP as this program speaks it.
    Malformed(&'static str),
    /// Its head is too long.
    HeadTooLong,
    /// Its body is too long.
    BodyTooLong,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Broken => f.write_str("the connection broke"),
            Fault::Malformed(what) => write!(f, "malformed {what}"),
            Fault::HeadTooLong => f.write_str("head is too long"),
            Fault::BodyTooLong => f.write_str("body is too long"),
        }
    }
}

impl From<io::Error> for Fault {
    fn from(_: io::Error) -> Fault {
        Fault::Broken
    }
}

type Result<T> = std::result::Result<T, Fault>;

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
pub fn framing(head: &Head, otherwise: Framing) -> Result<Framing> {
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
        (Some(c), None) if c.eq_ignore_ascii_case("chunked") && coding.next().is_none() => {
            Ok(Framing::Chunked)
        }
        _ => Err(Fault::Malformed("transfer encoding")),
    }
}

/// Reads a message's head, having waited for it; `None` where the stream ends before the first byte.
pub async fn read_head(buffer: &mut Buffer, stream: &mut (impl AsyncRead + Unpin)) -> Result<Option<Head>> {
    let mut seen = 0_usize;
    loop {
        // Empty lines before a message are passed over.
        while seen == 0 && buffer.filled().starts_with(b"\r\n") {
            buffer.consume(2);
        }
        let filled = buffer.filled();
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
        let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
        if name.is_empty() || !name.bytes().all(token) || value.bytes().any(|b| b < b' ' && b != b'\t') {
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
    loop {
        let line = read_line(buffer, stream).await?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let hex = !size.is_empty() && size.len() <= 8 && size.bytes().all(|b| b.is_ascii_hexdigit());
        let size = usize::from_str_radix(size, 16).ok().filter(|_| hex);
        let size = size.ok_or(Fault::Malformed("chunk size"))?;
        if size == 0 {
            while !read_line(buffer, stream).await?.is_empty() {}
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

async fn read_line(buffer: &mut Buffer, stream: &mut (impl AsyncRead + Unpin)) -> Result<String> {
    loop {
        if let Some(at) = buffer.filled().windows(2).position(|w| w == b"\r\n") {
            let line = String::from_utf8_lossy(&buffer.filled()[..at]).into_owned();
            buffer.consume(at + 2);
            return Ok(line);
        }
        if buffer.filled().len() > HEAD_LIMIT {
            return Err(Fault::Malformed("line is too long"));
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

/// Reads a whole answer, past interim ones: its head, status and body, and whether the connection goes on.
pub async fn read_answer(
    buffer: &mut Buffer,
    stream: &mut (impl AsyncRead + Unpin),
    limit: usize,
) -> Result<(Head, u16, Vec<u8>, bool)> {
    loop {
        let head = read_head(buffer, stream).await?.ok_or(Fault::Broken)?;
        if !head.line[0].starts_with("HTTP/1.") {
            return Err(Fault::Malformed("version"));
        }
        let status = head.line[1].parse::<u16>().map_err(|_| Fault::Malformed("status"))?;
        if (100..200).contains(&status) {
            continue;
        }
        let framing = match status {
            204 | 304 => Framing::Length(0),
            _ => framing(&head, Framing::ToEnd)?,
        };
        let body = read_body(buffer, stream, framing, limit).await?;
        let keep = framing != Framing::ToEnd && head.keeps_alive(&head.line[0]);
        return Ok((head, status, body, keep));
    }
}
