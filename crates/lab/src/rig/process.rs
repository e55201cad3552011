//! A process of the program that is started, observed and signalled from outside. Its log is read
//! continuously.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::ffi::{OsStr, OsString};
use std::io::{self, BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The number of log lines that are kept. Later lines are read and counted, but not stored.
const LINES_LIMIT: usize = 10_000;

#[derive(Default)]
struct LogLines {
    kept: Vec<Value>,
    dropped: u64,
    /// Whether the process has closed its log, which means that it has exited.
    closed: bool,
}

#[derive(Default)]
struct Log {
    lines: Mutex<LogLines>,
    changed: Condvar,
}

impl Log {
    fn lines(&self) -> MutexGuard<'_, LogLines> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until `found` returns a value. Fails with a reason when the process exits or the time
    /// is up.
    fn wait<T>(&self, limit: Duration, found: impl Fn(&LogLines) -> Option<T>) -> Result<T, &'static str> {
        let deadline = Instant::now() + limit;
        let mut lines = self.lines();
        loop {
            if let Some(found) = found(&lines) {
                return Ok(found);
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if lines.closed || remaining.is_zero() {
                return Err(if lines.closed { "the process has exited" } else { "timed out" });
            }
            lines = self.changed.wait_timeout(lines, remaining).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// A running process. It is killed on drop.
pub struct Process {
    child: Child,
    status: Option<ExitStatus>,
    log: Arc<Log>,
    reader: Option<JoinHandle<()>>,
}

impl Process {
    /// Starts a program that logs JSON lines to standard error. `state` becomes its state directory
    /// (`$TMPDIR`); the rest of the environment is inherited.
    pub fn start<A: AsRef<OsStr>>(program: &Path, arguments: &[A], state: &Path) -> io::Result<Process> {
        Process::start_with(program, arguments, state, &[])
    }

    /// Like [`Process::start`], with additional environment variables.
    pub fn start_with<A: AsRef<OsStr>>(
        program: &Path,
        arguments: &[A],
        state: &Path,
        environment: &[(OsString, OsString)],
    ) -> io::Result<Process> {
        let variables = environment.iter().map(|(name, value)| (name, value));
        let mut child = Command::new(program)
            .args(arguments)
            .env("TMPDIR", state)
            .envs(variables)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let (stderr, log) = (child.stderr.take(), Arc::new(Log::default()));
        let mut process = Process { child, status: None, log: log.clone(), reader: None };
        let Some(stderr) = stderr else { return Err(io::Error::other("no stderr")) };
        let reader = thread::Builder::new().name("log".to_owned()).spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                // A line that is not JSON, such as that of a panic, is kept as a string.
                let line = serde_json::from_str(&line).unwrap_or(Value::String(line));
                let mut lines = log.lines();
                if lines.kept.len() < LINES_LIMIT {
                    lines.kept.push(line);
                } else {
                    lines.dropped += 1;
                }
                drop(lines);
                log.changed.notify_all();
            }
            log.lines().closed = true;
            log.changed.notify_all();
        })?;
        process.reader = Some(reader);
        Ok(process)
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the first log line with the given message. Fails with the last log lines when the
    /// process exits first or the time is up.
    pub fn wait_for(&self, message: &str, limit: Duration) -> io::Result<Value> {
        let found = |lines: &LogLines| lines.kept.iter().find(|line| line["message"] == message).cloned();
        self.log
            .wait(limit, found)
            .map_err(|reason| self.error(&format!("no log line {message:?}: {reason}")))
    }

    /// The log lines so far, up to the limit.
    pub fn lines(&self) -> Vec<Value> {
        self.log.lines().kept.clone()
    }

    /// Sends a signal to the process. Fails if the process is known to have exited.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        match pid.filter(|_| self.status.is_none()) {
            Some(pid) => Ok(kill_process(pid, signal)?),
            None => Err(self.error("the process has exited")),
        }
    }

    /// Waits until the process exits, by itself or because of an earlier signal.
    pub fn wait(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        if let Some(status) = self.status {
            return Ok(status);
        }
        let closed = self.log.wait(limit, |lines| lines.closed.then_some(()));
        closed.map_err(|reason| self.error(&format!("still running: {reason}")))?;
        let status = self.child.wait()?;
        self.status = Some(status);
        Ok(status)
    }

    fn error(&self, reason: &str) -> io::Error {
        let lines = self.lines();
        let last: Vec<_> = lines.iter().rev().take(5).rev().map(Value::to_string).collect();
        io::Error::other(format!("process {}: {reason}; its last log lines: {}", self.id(), last.join(" ")))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.status.is_none() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
    }
}

/// Sends a signal to several processes in one loop and returns how long the loop took. As far as
/// the sender can tell, the processes receive the signal at most that far apart.
pub fn signal_all<'a>(
    processes: impl IntoIterator<Item = &'a Process>,
    signal: Signal,
) -> io::Result<Duration> {
    let processes: Vec<_> = processes.into_iter().collect();
    let begun = Instant::now();
    let results: Vec<_> = processes.iter().map(|process| process.signal(signal)).collect();
    let spread = begun.elapsed();
    results.into_iter().collect::<io::Result<Vec<()>>>().map(|_| spread)
}
