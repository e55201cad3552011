//! The control protocol between the run and its stand-in processes: JSON lines in both directions
//! on a loopback connection. A stand-in process exits when the connection ends, so none outlives
//! the run, however the run ends.

use super::error::ScaleError;
use crate::rig::process::Process;
use async_io::{Async, Timer};
use futures_lite::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, future};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::marker::PhantomData;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::time::Duration;

/// The longest order and the longest reply, in bytes.
const LINE_LIMIT: u64 = 1 << 20;
/// How long a stand-in process waits for the run to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a stand-in process may take to start listening, and to carry out an order.
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);
/// The log message of a stand-in process that listens for orders.
const LISTENING_MESSAGE: &str = "takes orders";

/// An order to a stand-in process, and the report with which the process replies.
pub(super) trait Order: Serialize + DeserializeOwned {
    type Report: Serialize + DeserializeOwned;
}

#[derive(Serialize, Deserialize)]
enum Reply<R> {
    Done(R),
    Failed(String),
}

/// Carries out orders until the connection to the run ends.
pub(super) async fn serve<O: Order>(
    mut execute: impl FnMut(O) -> Result<O::Report, String>,
) -> io::Result<()> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    eprintln!(
        "{}",
        serde_json::json!({ "message": LISTENING_MESSAGE, "listen": listener.get_ref().local_addr()? })
    );
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let (stream, _) = future::or(listener.accept(), timeout).await?;
    drop(listener);
    let mut reader = futures_lite::io::BufReader::new(&stream);
    let mut writer = &stream;
    let mut line = Vec::new();
    loop {
        line.clear();
        (&mut reader).take(LINE_LIMIT).read_until(b'\n', &mut line).await?;
        if line.last() != Some(&b'\n') {
            return Ok(());
        }
        let reply =
            match serde_json::from_slice(&line).map_err(|error| error.to_string()).and_then(&mut execute) {
                Ok(report) => Reply::Done(report),
                Err(reason) => Reply::Failed(reason),
            };
        let mut reply = serde_json::to_vec(&reply)?;
        reply.push(b'\n');
        writer.write_all(&reply).await?;
    }
}

/// A running stand-in process. It is killed on drop.
pub(super) struct StandInProcess<O> {
    name: String,
    process: Process,
    stream: BufReader<TcpStream>,
    order_type: PhantomData<O>,
}

impl<O: Order> StandInProcess<O> {
    /// Starts this executable as a stand-in process and connects to it.
    pub(super) fn start(role: &str, name: String, state: &Path) -> Result<StandInProcess<O>, ScaleError> {
        let process = Process::start(&std::env::current_exe()?, &["scale-host", role], state)?;
        let line = process.wait_for(LISTENING_MESSAGE, REPLY_TIMEOUT)?;
        let address = line["listen"].as_str().and_then(|listen| listen.parse::<SocketAddr>().ok());
        let Some(address) = address else {
            return Err(ScaleError::Process {
                process: name,
                reason: format!("no listen address in log line: {line}"),
            });
        };
        let stream = TcpStream::connect_timeout(&address, REPLY_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
        stream.set_write_timeout(Some(REPLY_TIMEOUT))?;
        Ok(StandInProcess { name, process, stream: BufReader::new(stream), order_type: PhantomData })
    }

    /// The process id.
    pub(super) fn id(&self) -> u32 {
        self.process.id()
    }

    /// Sends an order and waits for the report.
    pub(super) fn order(&mut self, order: &O) -> Result<O::Report, ScaleError> {
        let reply = self.exchange(order).map_err(|error| self.error(error.to_string()))?;
        match reply {
            Reply::Done(report) => Ok(report),
            Reply::Failed(reason) => Err(self.error(reason)),
        }
    }

    fn exchange(&mut self, order: &O) -> io::Result<Reply<O::Report>> {
        let mut line = serde_json::to_vec(order)?;
        line.push(b'\n');
        self.stream.get_mut().write_all(&line)?;
        line.clear();
        self.stream.by_ref().take(LINE_LIMIT).read_until(b'\n', &mut line)?;
        if line.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(serde_json::from_slice(&line)?)
    }

    fn error(&self, reason: String) -> ScaleError {
        ScaleError::Process { process: self.name.clone(), reason }
    }
}
