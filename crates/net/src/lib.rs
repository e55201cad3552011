//! The sidecar's sockets, by peer: clients, endpoints (`servers`), discovery (`list`) and the
//! operator's console.

pub mod clients;
pub mod console;
pub mod list;
pub mod memory;
mod origin;
pub mod servers;

use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::{self, Answer, Fault};
use futures_lite::{AsyncRead, AsyncWriteExt, future};
use std::future::Future;
use std::io::{self, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// What has arrived on a connection on which nothing is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrived {
    /// Nothing: the connection is open.
    Nothing,
    /// Bytes that belong to no request.
    Bytes,
    /// Its end.
    End,
}

impl Arrived {
    /// Looks at a connection between two messages. It may only be used again after
    /// [`Arrived::Nothing`]: a byte that has arrived is consumed.
    pub(crate) fn on(stream: &Async<TcpStream>) -> Arrived {
        let mut stream = stream.get_ref();
        match stream.read(&mut [0]) {
            Ok(1..) => Arrived::Bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Arrived::Nothing,
            Ok(_) | Err(_) => Arrived::End,
        }
    }
}

/// Runs a future for at most `limit`, and fails with `TimedOut` after that.
pub async fn with_timeout<T>(limit: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    with_deadline(Instant::now() + limit, work).await
}

/// Runs a future until `deadline` at the latest, and fails with `TimedOut` then.
pub async fn with_deadline<T>(
    deadline: Instant,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    future::or(work, async {
        Timer::at(deadline).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}

/// Writes all bytes, and fails with `TimedOut` when none of them could be written for `stall_limit`.
pub async fn write_with_progress(
    stream: &Async<TcpStream>,
    mut bytes: &[u8],
    stall_limit: Duration,
) -> io::Result<()> {
    let mut writer = stream;
    while !bytes.is_empty() {
        match with_timeout(stall_limit, writer.write(bytes)).await {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Writes all bytes; continues after interruptions and short writes.
pub async fn write_all(stream: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
    let mut writer = stream;
    while !bytes.is_empty() {
        match writer.write(bytes).await {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Reads one complete response and skips interim (1xx) ones. The caller bounds the wait for the
/// first byte; once a response has begun, it must be complete within `completion_timeout`.
pub async fn read_response(
    buffer: &mut Buffer,
    stream: &mut (impl AsyncRead + Unpin),
    limit: usize,
    completion_timeout: Duration,
) -> http::Result<Answer> {
    for _ in 0..=http::INTERIM_LIMIT {
        if buffer.is_empty() && buffer.fill(stream).await? == 0 {
            return Err(Fault::Broken);
        }
        let answer = async { Ok(http::read_one_answer(buffer, stream, limit).await) };
        let answer = with_timeout(completion_timeout, answer).await.unwrap_or(Err(Fault::Stalled))?;
        if let Some(answer) = answer {
            return Ok(answer);
        }
    }
    Err(Fault::Malformed("answer, interim for ever"))
}
