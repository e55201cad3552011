//! The operator's console: a line protocol on a socket of its own. Each connection carries one
//! command line and its answer, which begins with `+OK` or `-ERR`. The caller of [`serve`] supplies
//! the function that executes commands. This module handles lines, limits and timers, so that no
//! operator, silent or slow, occupies any resource of the data path.

use crate::clients::{LINGERING_TIMEOUT, close};
use crate::with_timeout;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use cottonpoint_core::Executor;
use futures_lite::{AsyncReadExt, future};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// The maximum length of a command line in bytes: a command and an endpoint's name.
pub const LINE_LIMIT: usize = 512;
/// A connection that has not sent its whole line within this time is closed. Some operators' tools
/// send nothing, or half a command, and stay connected for 4 s (the deployment's requirements); the
/// line may still be completed until then.
const LINE_TIMEOUT: Duration = Duration::from_millis(4500);
/// The time after which writing an answer fails if the operator does not read it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of connections. Beyond it, the connection that has waited longest without a
/// complete line is closed to make room. Each holds one descriptor.
pub const MAX_CONNECTIONS: usize = 32;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A command, as the operator writes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleCommand {
    /// Asks whether this process accepts clients.
    Health,
    /// Asks for the statistics.
    Dump,
    /// Asks for the members of the fleet, as this process sees them.
    Peers,
    /// Takes an endpoint out of rotation.
    Offline(String),
    /// Puts an endpoint back into rotation.
    Online(String),
    /// Starts a drain: clients are sent away.
    Leave,
    /// Ends the drain.
    Join,
}

/// Why a line is not a valid command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidCommand(String);

impl fmt::Display for InvalidCommand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl ConsoleCommand {
    /// Parses one line without its line ending. Commands are case-insensitive; endpoint names are
    /// not.
    pub fn parse(line: &str) -> Result<ConsoleCommand, InvalidCommand> {
        let mut words = line.split_ascii_whitespace();
        let Some(name) = words.next() else { return Err(InvalidCommand("empty line".to_owned())) };
        let argument = words.next();
        if words.next().is_some() {
            return Err(InvalidCommand(format!("{name}: too many words")));
        }
        let without_argument = |command: ConsoleCommand| match argument {
            None => Ok(command),
            Some(_) => Err(InvalidCommand(format!("{name} takes no argument"))),
        };
        let with_endpoint = |command: fn(String) -> ConsoleCommand| match argument {
            Some(argument) => Ok(command(argument.to_owned())),
            None => Err(InvalidCommand(format!("{name} wants an endpoint id"))),
        };
        match name.to_ascii_uppercase().as_str() {
            "HEALTH" => without_argument(ConsoleCommand::Health),
            "DUMP" => without_argument(ConsoleCommand::Dump),
            "PEERS" => without_argument(ConsoleCommand::Peers),
            "LEAVE" => without_argument(ConsoleCommand::Leave),
            "JOIN" => without_argument(ConsoleCommand::Join),
            "OFFLINE" => with_endpoint(ConsoleCommand::Offline),
            "ONLINE" => with_endpoint(ConsoleCommand::Online),
            _ => Err(InvalidCommand(format!("unknown command {}", name.escape_debug()))),
        }
    }
}

/// Formats an answer of one line.
pub fn answer_line(result: Result<String, String>) -> String {
    let one_line = |s: String| s.replace(['\r', '\n'], " ");
    match result {
        Ok(text) if text.is_empty() => "+OK\n".to_owned(),
        Ok(text) => format!("+OK {}\n", one_line(text)),
        Err(error) => format!("-ERR {}\n", one_line(error)),
    }
}

/// Carries out a command and returns the complete text of its answer, including line endings.
pub type Answer = dyn Fn(ConsoleCommand) -> Pin<Box<dyn Future<Output = String>>>;

/// Serves the console on `listener` until the task is dropped.
pub async fn serve(listener: TcpListener, executor: Executor, answer: Rc<Answer>) -> io::Result<()> {
    let listener = Async::new(listener)?;
    let closed = async_channel::bounded(1);
    let connections =
        Rc::new(OpenConnections { open: Cell::default(), closed, awaiting_line: RefCell::default() });
    for id in 0.. {
        while connections.open.get() >= MAX_CONNECTIONS {
            if let Some((_, evict)) = connections.awaiting_line.borrow_mut().pop_first() {
                let _ = evict.try_send(());
            }
            let closed = async {
                let _ = connections.closed.1.recv().await;
            };
            future::or(closed, accept_retry_delay()).await;
        }
        // A listener's error, such as no free descriptor, is retried after a short delay.
        let Ok((stream, _)) = listener.accept().await else {
            accept_retry_delay().await;
            continue;
        };
        connections.open.set(connections.open.get() + 1);
        let (connections, answer) = (connections.clone(), answer.clone());
        executor
            .spawn(async move {
                let _ = stream.get_ref().set_nodelay(true);
                let answered = connections.serve_one(id, &stream, &*answer).await;
                connections.awaiting_line.borrow_mut().remove(&id);
                let was_answered = answered.unwrap_or(false);
                close(&stream, if was_answered { LINGERING_TIMEOUT } else { Duration::ZERO }).await;
                connections.open.set(connections.open.get() - 1);
                let _ = connections.closed.0.try_send(());
            })
            .detach();
    }
    Ok(())
}

async fn accept_retry_delay() {
    Timer::after(ACCEPT_RETRY_DELAY).await;
}

/// The open console connections.
struct OpenConnections {
    open: Cell<usize>,
    /// Signals that a connection has closed.
    closed: (Sender<()>, Receiver<()>),
    /// The connections that have not sent their whole line, oldest first, and the channel that
    /// closes each: a new connection need not wait for the line timeout of an idle one.
    awaiting_line: RefCell<BTreeMap<u64, Sender<()>>>,
}

impl OpenConnections {
    /// Serves the one command of a connection. Returns whether it was answered.
    async fn serve_one(&self, id: u64, stream: &Async<TcpStream>, answer: &Answer) -> io::Result<bool> {
        let (evict, evicted) = async_channel::bounded(1);
        self.awaiting_line.borrow_mut().insert(id, evict);
        let eviction = async {
            let _ = evicted.recv().await;
            Ok(None)
        };
        let line = with_timeout(LINE_TIMEOUT, future::or(read_line(stream), eviction)).await?;
        self.awaiting_line.borrow_mut().remove(&id);
        let Some(line) = line else { return Ok(false) };
        let reply = match line.as_deref().map(std::str::from_utf8) {
            Ok(Ok(text)) => match ConsoleCommand::parse(text)
                .inspect(|command| tracing::debug!(call = ?command, "console command"))
            {
                Ok(command) => answer(command).await,
                Err(invalid) => answer_line(Err(invalid.to_string())),
            },
            Ok(Err(_)) => answer_line(Err("not UTF-8".to_owned())),
            Err(LineTooLong) => answer_line(Err("line too long".to_owned())),
        };
        with_timeout(WRITE_TIMEOUT, crate::write_all(stream, reply.as_bytes())).await.map(|()| true)
    }
}

/// The line is longer than [`LINE_LIMIT`].
struct LineTooLong;

/// Reads a command line without its line ending; `None` where nothing was sent. A command without a
/// line ending is accepted when the other side closes.
async fn read_line(stream: &Async<TcpStream>) -> io::Result<Option<Result<Vec<u8>, LineTooLong>>> {
    let mut line = Vec::with_capacity(64);
    let (mut reader, mut chunk) = (stream, [0u8; 128]);
    loop {
        let n = reader.read(&mut chunk).await?;
        line.extend_from_slice(&chunk[..n]);
        let end = line.iter().position(|&b| b == b'\n');
        line.truncate(end.unwrap_or(line.len()));
        if end.is_none() && line.len() > LINE_LIMIT {
            return Ok(Some(Err(LineTooLong)));
        }
        if n == 0 && line.is_empty() {
            return Ok(None);
        }
        if n == 0 || end.is_some() {
            line.pop_if(|last| *last == b'\r');
            return Ok(Some(Ok(line)));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn commands_are_case_insensitive_and_invalid_ones_are_reported() {
        assert_eq!(ConsoleCommand::parse("HEALTH"), Ok(ConsoleCommand::Health));
        assert_eq!(ConsoleCommand::parse("dump"), Ok(ConsoleCommand::Dump));
        assert_eq!(ConsoleCommand::parse("PEERS"), Ok(ConsoleCommand::Peers));
        assert_eq!(ConsoleCommand::parse("OFFLINE  t1 "), Ok(ConsoleCommand::Offline("t1".to_owned())));
        assert_eq!(ConsoleCommand::parse("ONLINE t1"), Ok(ConsoleCommand::Online("t1".to_owned())));
        assert_eq!(ConsoleCommand::parse("LEAVE"), Ok(ConsoleCommand::Leave));
        assert_eq!(ConsoleCommand::parse("JOIN"), Ok(ConsoleCommand::Join));
        assert_eq!(ConsoleCommand::parse("").unwrap_err().to_string(), "empty line");
        assert_eq!(
            ConsoleCommand::parse("OFFLINE").unwrap_err().to_string(),
            "OFFLINE wants an endpoint id"
        );
        assert_eq!(ConsoleCommand::parse("LEAVE now").unwrap_err().to_string(), "LEAVE takes no argument");
        assert_eq!(ConsoleCommand::parse("PING").unwrap_err().to_string(), "unknown command PING");
        assert_eq!(ConsoleCommand::parse("ONLINE a b").unwrap_err().to_string(), "ONLINE: too many words");
    }

    #[test]
    fn answer_is_one_line() {
        assert_eq!(answer_line(Ok(String::new())), "+OK\n");
        assert_eq!(answer_line(Err("no such\nendpoint".to_owned())), "-ERR no such endpoint\n");
    }
}
