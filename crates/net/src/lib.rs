//! What speaks on sockets, by peer: clients, servers (the targets) and the list (discovery).

pub mod clients;
pub mod console;
pub mod list;
mod origin;
pub mod servers;

use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::{self, Answer, Fault};
use futures_lite::{AsyncRead, AsyncWriteExt, future};
use std::future::Future;
use std::io;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Runs a future for at most so long.
pub async fn within<T>(limit: Duration, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    by(Instant::now() + limit, work).await
}

/// Runs a future until some time at the latest.
pub async fn by<T>(until: Instant, work: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    future::or(work, async {
        Timer::at(until).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}

/// Writes all bytes, past interruptions and short writes.
pub async fn write_all(stream: &Async<TcpStream>, mut bytes: &[u8]) -> io::Result<()> {
    let mut writer = stream;
    while !bytes.is_empty() {
        match writer.write(bytes).await {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(why) if why.kind() == io::ErrorKind::Interrupted => {}
            Err(why) => return Err(why),
        }
    }
    Ok(())
}

/// Reads a whole answer, past interim ones. Waiting for it is up to the caller, but once one has begun it must
/// be whole `whole_within` that time.
pub async fn read_answer(
    buffer: &mut Buffer,
    stream: &mut (impl AsyncRead + Unpin),
    limit: usize,
    whole_within: Duration,
) -> http::Result<Answer> {
    for _ in 0..=http::INTERIM_LIMIT {
        if buffer.is_empty() && buffer.fill(stream).await? == 0 {
            return Err(Fault::Broken);
        }
        let answer = async { Ok(http::read_one_answer(buffer, stream, limit).await) };
        let answer = within(whole_within, answer).await.unwrap_or(Err(Fault::Stalled))?;
        if let Some(answer) = answer {
            return Ok(answer);
        }
    }
    Err(Fault::Malformed("answer, interim for ever"))
}
