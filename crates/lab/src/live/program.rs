//! The real program, in a process of its own: this very executable started again as `program`.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// A class of requests, as the platform's settings write it; times in milliseconds.
pub fn class(name: &str, semantics: &str, worth: f64, aim_ms: u64, give_up_ms: u64) -> Value {
    json!({
        "name": name, "semantics": semantics, "group": "all", "window_ns": 10_000_000_000_u64,
        "aim_ns": aim_ms * 1_000_000, "give_up_ns": give_up_ms * 1_000_000, "worth": worth,
    })
}

/// The platform's settings for a program among stand-ins, with those classes.
pub fn settings(lanes: &Value) -> Value {
    json!({
        "me": 0, "siblings": 1, "my_zone": 0, "azs": ["here"], "shapes": ["plain"],
        "discovery": "on_request",
        "telemetry": { "how": "piggyback", "fields": ["throughput", "utilization"] },
        "lanes": lanes,
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

/// How long it may take to stop when told to.
const STOPS_WITHIN: Duration = Duration::from_secs(10);

/// A running program. Dropped, it is killed.
pub struct Program {
    child: Child,
    /// Where it listens for clients.
    pub address: SocketAddr,
    /// Where it serves metrics.
    pub metrics: Option<SocketAddr>,
    log: Option<JoinHandle<Vec<String>>>,
}

impl Program {
    /// Starts the program with a configuration and an operator's file that asks for JSON logs, and waits until it
    /// says where it listens.
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
        let Some(stderr) = child.stderr.take() else { return Err(io::Error::other("it has no log")) };
        let mut lines = BufReader::new(stderr).lines();
        let (mut metrics, mut said) = (None, Vec::new());
        let address = loop {
            let Some(line) = lines.next().transpose()? else {
                child.wait()?;
                return Err(io::Error::other(format!("the program does not start: {}", said.join(" "))));
            };
            let json: Value = serde_json::from_str(&line).unwrap_or_default();
            let listen = json["listen"].as_str().and_then(|l| l.parse().ok());
            match json["message"].as_str() {
                Some("serves metrics") => metrics = listen,
                Some("serves") => match listen {
                    Some(listen) => break listen,
                    None => return Err(io::Error::other(format!("no address in: {line}"))),
                },
                _ => said.push(line),
            }
        };
        // What it says later is kept, and read all the time: a full pipe would hold it up.
        let log = thread::spawn(move || lines.map_while(Result::ok).take(10_000).collect());
        Ok(Program { child, address, metrics, log: Some(log) })
    }

    /// Tells it to stop and waits until it has; what it logged comes along.
    pub fn stop(mut self) -> io::Result<(ExitStatus, Vec<String>)> {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            kill_process(pid, Signal::TERM)?;
        }
        let begun = Instant::now();
        let status = loop {
            if let Some(status) = self.child.try_wait()? {
                break status;
            }
            if begun.elapsed() > STOPS_WITHIN {
                return Err(io::Error::other("the program does not stop"));
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
