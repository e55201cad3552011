//! One process of the program, started, watched and signalled from outside. Its log is read all the time.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::ffi::{OsStr, OsString};
use std::io::{self, BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Lines of a log that are kept; later ones are read and counted.
const LINES_LIMIT: usize = 10_000;

#[derive(Default)]
struct Lines {
    kept: Vec<Value>,
    dropped: u64,
    /// The process has closed its log: it has ended.
    closed: bool,
}

#[derive(Default)]
struct Log {
    lines: Mutex<Lines>,
    changed: Condvar,
}

impl Log {
    fn lines(&self) -> MutexGuard<'_, Lines> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until `found` finds something, or says why nothing is to be waited for any more.
    fn wait<T>(&self, limit: Duration, found: impl Fn(&Lines) -> Option<T>) -> Result<T, &'static str> {
        let until = Instant::now() + limit;
        let mut lines = self.lines();
        loop {
            if let Some(found) = found(&lines) {
                return Ok(found);
            }
            let left = until.saturating_duration_since(Instant::now());
            if lines.closed || left.is_zero() {
                return Err(if lines.closed { "it has ended" } else { "not in time" });
            }
            lines = self.changed.wait_timeout(lines, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// A running process. Dropped, it is killed.
pub struct Process {
    child: Child,
    status: Option<ExitStatus>,
    log: Arc<Log>,
    reader: Option<JoinHandle<()>>,
}

impl Process {
    /// Starts a program that logs to standard error, a JSON object a line. Its state directory (`$TMPDIR`) is the
    /// one named; nothing else of the environment changes.
    pub fn start<A: AsRef<OsStr>>(program: &Path, arguments: &[A], state: &Path) -> io::Result<Process> {
        Process::start_with(program, arguments, state, &[])
    }

    /// The same with further variables in its environment.
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
        let Some(stderr) = stderr else { return Err(io::Error::other("it has no log")) };
        let reader = thread::Builder::new().name("log".to_owned()).spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                // What is no JSON (a panic, say) is kept as it is.
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

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the first line with that message. Fails with its last log lines when it ends before, or when the
    /// line does not come in time.
    pub fn wait_for(&self, message: &str, limit: Duration) -> io::Result<Value> {
        let found = |lines: &Lines| lines.kept.iter().find(|line| line["message"] == message).cloned();
        self.log.wait(limit, found).map_err(|why| self.error(&format!("no line {message:?}: {why}")))
    }

    /// The lines of its log so far.
    pub fn lines(&self) -> Vec<Value> {
        self.log.lines().kept.clone()
    }

    /// Sends it a signal. Fails on one that is known to have ended.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        match pid.filter(|_| self.status.is_none()) {
            Some(pid) => Ok(kill_process(pid, signal)?),
            None => Err(self.error("it has ended")),
        }
    }

    /// Waits until it ends by itself or by a signal sent before.
    pub fn wait(&mut self, limit: Duration) -> io::Result<ExitStatus> {
        if let Some(status) = self.status {
            return Ok(status);
        }
        let closed = self.log.wait(limit, |lines| lines.closed.then_some(()));
        closed.map_err(|why| self.error(&format!("it does not end: {why}")))?;
        let status = self.child.wait()?;
        self.status = Some(status);
        Ok(status)
    }

    fn error(&self, why: &str) -> io::Error {
        let lines = self.lines();
        let last: Vec<_> = lines.iter().rev().take(5).rev().map(Value::to_string).collect();
        io::Error::other(format!("process {}: {why}; its last log lines: {}", self.id(), last.join(" ")))
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

/// Sends a signal to many in one loop, and says how long it took from the first to the last: the most by which
/// they were hit apart, as far as the sender can tell.
pub fn signal_all<'a>(who: impl IntoIterator<Item = &'a Process>, signal: Signal) -> io::Result<Duration> {
    let who: Vec<_> = who.into_iter().collect();
    let begun = Instant::now();
    let sent: Vec<_> = who.iter().map(|process| process.signal(signal)).collect();
    let spread = begun.elapsed();
    sent.into_iter().collect::<io::Result<Vec<()>>>().map(|_| spread)
}
