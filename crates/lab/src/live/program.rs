//! The real program in a process of its own: this executable, started again with the subcommand
//! `program`.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// A request class in the JSON of the platform's settings; times in milliseconds.
pub fn class(
    name: &str,
    semantics: &str,
    worth: f64,
    latency_target_ms: u64,
    client_timeout_ms: u64,
) -> Value {
    json!({
        "name": name, "semantics": semantics, "group": "all", "window_ns": 10_000_000_000_u64,
        "aim_ns": latency_target_ms * 1_000_000, "give_up_ns": client_timeout_ms * 1_000_000, "worth": worth,
    })
}

/// The JSON of the platform's settings for a sidecar among stand-ins, with these request classes.
pub fn settings(classes: &Value) -> Value {
    json!({
        "me": 0, "siblings": 1, "my_zone": 0, "azs": ["here"], "shapes": ["plain"],
        "discovery": "on_request",
        "telemetry": { "how": "piggyback", "fields": ["throughput", "utilization"] },
        "lanes": classes,
        "orgs": [{ "name": "office", "quota_per_s": 10_000.0 }],
        "limits": {
            "max_attempts": 4, "may_duplicate": false, "cancelling": true, "probes": false,
            "max_retry_after_ns": 2_000_000_000_u64, "connect_timeout_ns": 100_000_000,
        },
        "obligations": {
            "ask_within_ns": 10_000_000_000_u64, "cold_from": 0.3, "warm_after_ns": 5_000_000_000_u64,
            "fall_multiple": 3.0, "tip_after_ns": 1_500_000_000,
        },
    })
}

/// Time within which the program has to exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// A running program. It is killed when dropped.
pub struct Program {
    child: Child,
    /// The address at which it accepts requests of clients.
    pub address: SocketAddr,
    /// The address at which it serves metrics, if it does.
    pub metrics: Option<SocketAddr>,
    log: Option<JoinHandle<Vec<String>>>,
}

impl Program {
    /// Starts the program with a configuration file and an operator's file that selects JSON logs,
    /// and waits until it has logged the address at which it serves. Errors: the process cannot be
    /// started, or it exits first; the error then contains its log.
    pub fn start(config: &Path, operator: &Path) -> io::Result<Program> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["program", "serve", "--config"])
            .arg(config)
            .arg("--operator")
            .arg(operator)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let Some(stderr) = child.stderr.take() else { return Err(io::Error::other("stderr not captured")) };
        let mut lines = BufReader::new(stderr).lines();
        let (mut metrics, mut early_log) = (None, Vec::new());
        let address = loop {
            let Some(line) = lines.next().transpose()? else {
                child.wait()?;
                return Err(io::Error::other(format!(
                    "the program exited before it served: {}",
                    early_log.join(" ")
                )));
            };
            let json: Value = serde_json::from_str(&line).unwrap_or_default();
            let listen = json["listen"].as_str().and_then(|l| l.parse().ok());
            match json["message"].as_str() {
                Some("serves metrics") => metrics = listen,
                Some("serves") => match listen {
                    Some(listen) => break listen,
                    None => return Err(io::Error::other(format!("no listen address in log line: {line}"))),
                },
                _ => early_log.push(line),
            }
        };
        // Later log lines are read continuously, since a full pipe would block the program, and the
        // first 10,000 of them are kept.
        let log = thread::spawn(move || lines.map_while(Result::ok).take(10_000).collect());
        Ok(Program { child, address, metrics, log: Some(log) })
    }

    /// Sends SIGTERM, waits for the exit and returns the status with the log lines. Errors: the
    /// program does not exit within 10 s.
    pub fn stop(mut self) -> io::Result<(ExitStatus, Vec<String>)> {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            kill_process(pid, Signal::TERM)?;
        }
        let signalled_at = Instant::now();
        let status = loop {
            if let Some(status) = self.child.try_wait()? {
                break status;
            }
            if signalled_at.elapsed() > STOP_TIMEOUT {
                return Err(io::Error::other("the program did not exit within 10 s of SIGTERM"));
            }
            thread::sleep(Duration::from_millis(20));
        };
        let log = self.log.take().and_then(|log| log.join().ok()).unwrap_or_default();
        Ok((status, log))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
