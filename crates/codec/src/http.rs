//! The part of HTTP/1.1 that clients, endpoints and discovery share: heads, framing, bodies.

use crate::body::read_body;
use crate::buffer::Buffer;
use futures_lite::AsyncRead;
use std::fmt;
use std::io;

/// Maximum length of a head in bytes.
pub const HEAD_LIMIT: usize = 16 << 10;
/// Maximum length of a request's or an answer's body in bytes.
pub const BODY_LIMIT: usize = 64 << 10;
const HEADERS_LIMIT: usize = 100;
/// Maximum length of a method in bytes.
const METHOD_LIMIT: usize = 24;
/// Maximum number of interim answers before the final one.
pub const INTERIM_LIMIT: usize = 16;

/// Why a message could not be read.
#[derive(Debug)]
pub enum Fault {
    /// The stream ended, or the peer closed or reset it.
    Broken,
    /// The connection failed on this machine or on the network path (ETIMEDOUT, ENOBUFS), not at
    /// the peer.
    ConnectionFailed,
    /// It is not valid HTTP, or not of the subset supported here. Names the faulty part.
    Malformed(&'static str),
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
    /// The message began and was not complete in time.
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
    fn from(error: io::Error) -> Fault {
        match error.kind() {
            io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::BrokenPipe
            | io::ErrorKind::UnexpectedEof => Fault::Broken,
            _ => Fault::ConnectionFailed,
        }
    }
}

/// Result of reading a message.
pub type Result<T> = std::result::Result<T, Fault>;

/// The first line of a message and its headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Head {
    /// The first line, split into its three parts.
    pub line: [String; 3],
    /// The headers in the order received.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The value of the first header of that name.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.all(name).next()
    }

    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.headers.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The value of the only header of that name, if any; a second one makes the message ambiguous
    /// and is an error.
    pub fn only<'a>(&'a self, name: &'a str) -> Result<Option<&'a str>> {
        let mut all = self.all(name);
        match (all.next(), all.next()) {
            (value, None) => Ok(value),
            _ => Err(Fault::Malformed("header, given twice")),
        }
    }

    /// Whether the comma-separated values of a header contain a token.
    pub fn has(&self, name: &str, token: &str) -> bool {
        self.all(name).flat_map(|v| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// Whether the connection persists after this message, which states HTTP version `version`.
    pub fn keeps_alive(&self, version: &str) -> bool {
        let is_http_1_0 = version == "HTTP/1.0";
        !self.has("connection", "close") && (!is_http_1_0 || self.has("connection", "keep-alive"))
    }
}

/// How the body of a message is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// A body of this many bytes.
    Length(usize),
    /// Chunked transfer coding.
    Chunked,
    /// The body extends to the end of the stream.
    ToEnd,
}

/// The framing that the headers state, or `default` if they state none.
pub fn framing(head: &Head, version: &str, default: Framing) -> Result<Framing> {
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
        (None, None) => Ok(default),
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

/// Whether a request may begin with these bytes.
pub fn begins_request(bytes: &[u8]) -> bool {
    let method = bytes.split(|&b| b == b' ').next().unwrap_or_default();
    method.len() <= METHOD_LIMIT && method.iter().all(|&b| is_token(b))
}

/// Whether an answer may begin with these bytes.
pub fn begins_answer(bytes: &[u8]) -> bool {
    bytes.iter().zip(b"HTTP/1.").all(|(a, b)| a == b)
}

/// Reads the head of a message; `None` if the stream ends before the first byte. Fails as soon as
/// the bytes cannot begin such a message. One empty line before the message is skipped.
pub async fn read_head(
    buffer: &mut Buffer,
    stream: &mut (impl AsyncRead + Unpin),
    may_begin: fn(&[u8]) -> bool,
) -> Result<Option<Head>> {
    let (mut searched, mut skipped_empty_line) = (0_usize, false);
    loop {
        if !skipped_empty_line && buffer.filled().starts_with(b"\r\n") {
            skipped_empty_line = true;
            buffer.consume(2);
            searched = 0;
        }
        let filled = buffer.filled();
        let empty_line = !skipped_empty_line && b"\r\n".starts_with(filled);
        if !empty_line && !may_begin(filled) {
            return Err(Fault::Malformed("first line"));
        }
        let search_from = searched.saturating_sub(3);
        if let Some(at) = filled[search_from..].windows(4).position(|w| w == b"\r\n\r\n") {
            let length = search_from + at;
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
        searched = filled.len();
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
        let is_control = |b: u8| b < b' ' && b != b'\t' || b == 0x7f;
        if name.is_empty() || !name.bytes().all(is_token) || value.bytes().any(is_control) {
            return Err(Fault::Malformed("header"));
        }
        if headers.len() == HEADERS_LIMIT {
            return Err(Fault::HeadTooLong);
        }
        headers.push((name.to_owned(), value.trim_matches([' ', '\t']).to_owned()));
    }
    Ok(Head { line, headers })
}

/// A complete answer: its head, status and body, and whether the connection persists.
pub type Answer = (Head, u16, Vec<u8>, bool);

/// The head of an answer, and what it says about the body.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// The status line and the headers.
    pub head: Head,
    /// The status code.
    pub status: u16,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the connection persists after the answer.
    pub keep_alive: bool,
}

/// Reads the head of an answer; `None` for an interim one (RFC 9110, section 15.2).
pub async fn read_answer_head(
    buffer: &mut Buffer,
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<Option<AnswerHead>> {
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
    let keep_alive = framing != Framing::ToEnd && head.keeps_alive(version);
    // Only on a connection that is to be closed can the end of the stream delimit the body.
    if framing == Framing::ToEnd && head.keeps_alive(version) {
        return Err(Fault::Malformed("framing"));
    }
    Ok(Some(AnswerHead { head, status, framing, keep_alive }))
}

/// Reads one complete answer; `None` for an interim one.
pub async fn read_one_answer(
    buffer: &mut Buffer,
    stream: &mut (impl AsyncRead + Unpin),
    limit: usize,
) -> Result<Option<Answer>> {
    let Some(answer) = read_answer_head(buffer, stream).await? else { return Ok(None) };
    let body = read_body(buffer, stream, answer.framing, limit).await?;
    Ok(Some((answer.head, answer.status, body, answer.keep_alive)))
}
