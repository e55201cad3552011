//! The console: the operator's second address. One call a connection, a line each way: the answer begins with
//! `+OK` or `-ERR`. What a call does is the caller's business, given as a function; here are the line, the
//! bounds and the timers, so that no caller, silent or slow, holds anything of the data path.

use crate::clients::{LINGER, close};
use crate::within;
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use cottonpoint_core::Executor;
use futures_lite::{AsyncReadExt, future};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The longest call: a command and an endpoint's name.
pub const LINE_LIMIT: usize = 512;
/// A caller that has not sent its whole line by then is let go: some send nothing, or half a call, and stay
/// for 4 s (the operators' page); the line may still be finished until then.
const PATIENCE: Duration = Duration::from_millis(4500);
/// Callers served at once; past that, the one that has said nothing for longest makes room. Each holds one descriptor.
pub const AT_ONCE: usize = 32;
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// A call, as the operator writes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Health,
    /// The figures.
    Dump,
    /// Who is in the fleet, as this process sees it.
    Peers,
    /// Take that endpoint out.
    Offline(String),
    /// Use that endpoint again.
    Online(String),
    /// Send clients away.
    Leave,
    /// End of the drain.
    Join,
}

/// Why a line is no call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadCall(String);

impl fmt::Display for BadCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Call {
    /// Reads one line, without its end. Commands are taken in any case; names as they are.
    pub fn parse(line: &str) -> Result<Call, BadCall> {
        let mut words = line.split_ascii_whitespace();
        let Some(command) = words.next() else { return Err(BadCall("empty line".to_owned())) };
        let id = words.next();
        if words.next().is_some() {
            return Err(BadCall(format!("{command}: too many words")));
        }
        let none = |call: Call| match id {
            None => Ok(call),
            Some(_) => Err(BadCall(format!("{command} takes no argument"))),
        };
        let named = |call: fn(String) -> Call| match id {
            Some(id) => Ok(call(id.to_owned())),
            None => Err(BadCall(format!("{command} wants an endpoint id"))),
        };
        match command.to_ascii_uppercase().as_str() {
            "HEALTH" => none(Call::Health),
            "DUMP" => none(Call::Dump),
            "PEERS" => none(Call::Peers),
            "LEAVE" => none(Call::Leave),
            "JOIN" => none(Call::Join),
            "OFFLINE" => named(Call::Offline),
            "ONLINE" => named(Call::Online),
            _ => Err(BadCall(format!("unknown command {}", command.escape_debug()))),
        }
    }
}

/// What a line that ends a call's answer holds: the answer is whole.
pub fn answer_line(result: Result<String, String>) -> String {
    let one_line = |s: String| s.replace(['\r', '\n'], " ");
    match result {
        Ok(words) if words.is_empty() => "+OK\n".to_owned(),
        Ok(words) => format!("+OK {}\n", one_line(words)),
        Err(why) => format!("-ERR {}\n", one_line(why)),
    }
}

/// Answers calls on the listener for good; `answer` gives the whole text for a call, its lines ended.
pub async fn serve(
    listener: TcpListener,
    executor: Executor,
    answer: Rc<dyn Fn(Call) -> String>,
) -> io::Result<()> {
    let listener = Async::new(listener)?;
    let ended = async_channel::bounded(1);
    let callers = Rc::new(Callers { served: Cell::default(), ended, silent: RefCell::default() });
    for number in 0.. {
        while callers.served.get() >= AT_ONCE {
            if let Some((_, let_go)) = callers.silent.borrow_mut().pop_first() {
                let _ = let_go.try_send(());
            }
            let ended = async {
                let _ = callers.ended.1.recv().await;
            };
            future::or(ended, accept_again()).await;
        }
        // A listener's error, such as no descriptor left, is tried again a little later.
        let Ok((stream, _)) = listener.accept().await else {
            accept_again().await;
            continue;
        };
        callers.served.set(callers.served.get() + 1);
        let (callers, answer) = (callers.clone(), answer.clone());
        executor
            .spawn(async move {
                let _ = stream.get_ref().set_nodelay(true);
                let answered = within(PATIENCE, callers.one(number, &stream, &*answer)).await;
                callers.silent.borrow_mut().remove(&number);
                let owed = answered.unwrap_or(false);
                close(&stream, if owed { LINGER } else { Duration::ZERO }).await;
                callers.served.set(callers.served.get() - 1);
                let _ = callers.ended.0.try_send(());
            })
            .detach();
    }
    Ok(())
}

async fn accept_again() {
    Timer::after(ACCEPT_AGAIN).await;
}

/// Who is on the line.
struct Callers {
    served: Cell<usize>,
    /// Told when one has ended.
    ended: (Sender<()>, Receiver<()>),
    /// Those that have not sent their whole line, in the order in which they came, and how to let them go: the next
    /// one may not wait for their patience to end.
    silent: RefCell<BTreeMap<u64, Sender<()>>>,
}

impl Callers {
    /// One call on one connection; whether it was answered.
    async fn one(
        &self,
        number: u64,
        stream: &Async<TcpStream>,
        answer: &dyn Fn(Call) -> String,
    ) -> io::Result<bool> {
        let (let_go, told) = async_channel::bounded(1);
        self.silent.borrow_mut().insert(number, let_go);
        let gives_way = async {
            let _ = told.recv().await;
            Ok(None)
        };
        let line = future::or(read_line(stream), gives_way).await?;
        self.silent.borrow_mut().remove(&number);
        let Some(line) = line else { return Ok(false) };
        let reply = match line.as_deref().map(std::str::from_utf8) {
            Ok(Ok(text)) => match Call::parse(text).inspect(|call| tracing::debug!(?call, "console")) {
                Ok(call) => answer(call),
                Err(bad) => answer_line(Err(bad.to_string())),
            },
            Ok(Err(_)) => answer_line(Err("not UTF-8".to_owned())),
            Err(TooLong) => answer_line(Err("line too long".to_owned())),
        };
        crate::write_all(stream, reply.as_bytes()).await.map(|()| true)
    }
}

/// A line of more than [`LINE_LIMIT`].
struct TooLong;

/// The line that a caller sends, without its end; `None` where it sends nothing. A call without its end is still a
/// call, when the caller closes its side.
async fn read_line(stream: &Async<TcpStream>) -> io::Result<Option<Result<Vec<u8>, TooLong>>> {
    let mut line = Vec::with_capacity(64);
    let (mut reader, mut chunk) = (stream, [0u8; 128]);
    loop {
        let n = reader.read(&mut chunk).await?;
        line.extend_from_slice(&chunk[..n]);
        let end = line.iter().position(|&b| b == b'\n');
        line.truncate(end.unwrap_or(line.len()));
        if end.is_none() && line.len() > LINE_LIMIT {
            return Ok(Some(Err(TooLong)));
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
    fn calls_are_read_in_any_case_and_bad_ones_named() {
        assert_eq!(Call::parse("HEALTH"), Ok(Call::Health));
        assert_eq!(Call::parse("dump"), Ok(Call::Dump));
        assert_eq!(Call::parse("PEERS"), Ok(Call::Peers));
        assert_eq!(Call::parse("OFFLINE  t1 "), Ok(Call::Offline("t1".to_owned())));
        assert_eq!(Call::parse("ONLINE t1"), Ok(Call::Online("t1".to_owned())));
        assert_eq!(Call::parse("LEAVE"), Ok(Call::Leave));
        assert_eq!(Call::parse("JOIN"), Ok(Call::Join));
        assert_eq!(Call::parse("").unwrap_err().to_string(), "empty line");
        assert_eq!(Call::parse("OFFLINE").unwrap_err().to_string(), "OFFLINE wants an endpoint id");
        assert_eq!(Call::parse("LEAVE now").unwrap_err().to_string(), "LEAVE takes no argument");
        assert_eq!(Call::parse("PING").unwrap_err().to_string(), "unknown command PING");
        assert_eq!(Call::parse("ONLINE a b").unwrap_err().to_string(), "ONLINE: too many words");
    }

    #[test]
    fn an_answer_is_one_line() {
        assert_eq!(answer_line(Ok(String::new())), "+OK\n");
        assert_eq!(answer_line(Err("no such\nendpoint".to_owned())), "-ERR no such endpoint\n");
    }
}
