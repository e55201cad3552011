//! Real processes of the program, each with its own files, and the operator's queries to them.

use super::configuration::configuration;
use super::error::ScaleError;
use super::interrupt::Interrupt;
use super::procfs::{self, ProcessSample};
use crate::rig::process::Process;
use rustix::process::Signal;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::ffi::OsString;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long processes that start together may take to serve.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a killed process may take to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an answer to an operator's query may take.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const ANSWER_LIMIT: u64 = 1 << 20;
/// The interval between two checks of a log.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long one check of a log may wait.
const LOG_WAIT: Duration = Duration::from_millis(200);

const OPERATOR_FILE: &str = "[log]\nform = \"json\"\n\n[metrics]\nlisten = \"127.0.0.1:0\"\n";

/// The operator's queries and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorTraffic {
    /// Console commands and requests for metrics.
    pub calls: u64,
    /// Bytes of the queries.
    pub bytes_in: u64,
    /// Bytes of the answers.
    pub bytes_out: u64,
}

/// The console figures of a sidecar that are used here.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ConsoleFigures {
    /// Configurations accepted since the start.
    pub cfg_accepted: u64,
    /// Configurations rejected since the start.
    pub cfg_invalid: u64,
}

/// A running process and its listen addresses.
struct RunningProcess {
    process: Process,
    console: SocketAddr,
    metrics: SocketAddr,
}

struct RealSidecar {
    index: usize,
    discovery: SocketAddr,
    directory: PathBuf,
    reloads: u32,
    running: Option<RunningProcess>,
}

/// The real sidecars. Their processes are killed on drop.
pub(super) struct RealSidecars {
    sidecars: Vec<RealSidecar>,
    /// Processor time of the processes that have exited.
    exited_processor_time: Duration,
    traffic: OperatorTraffic,
}

impl RealSidecar {
    fn configure(&self) -> io::Result<()> {
        let value = configuration(self.index, self.discovery, self.reloads);
        fs::write(self.directory.join("config.json"), serde_json::to_vec(&value)?)
    }

    fn start(&self) -> io::Result<Process> {
        let command = ["scale-sidecar", "serve", "--config"].map(OsString::from).into_iter();
        let files = [
            self.directory.join("config.json").into_os_string(),
            "--operator".into(),
            self.directory.join("cottonpoint.toml").into_os_string(),
        ];
        let arguments: Vec<OsString> = command.chain(files).collect();
        Process::start(&std::env::current_exe()?, &arguments, &self.directory)
    }
}

impl RealSidecars {
    /// Writes the files of the sidecars that poll `discoveries`, one for each address. No process
    /// runs yet.
    pub(super) fn new(directory: &Path, discoveries: &[SocketAddr]) -> io::Result<RealSidecars> {
        let sidecar = |(index, &discovery): (usize, &SocketAddr)| {
            let directory = directory.join(format!("sidecar-{index}"));
            fs::create_dir(&directory)?;
            fs::write(directory.join("cottonpoint.toml"), OPERATOR_FILE)?;
            let sidecar = RealSidecar { index, discovery, directory, reloads: 0, running: None };
            sidecar.configure().map(|()| sidecar)
        };
        let sidecars = discoveries.iter().enumerate().map(sidecar).collect::<io::Result<_>>()?;
        Ok(RealSidecars {
            sidecars,
            exited_processor_time: Duration::ZERO,
            traffic: OperatorTraffic::default(),
        })
    }

    /// Starts sidecars at once and waits until all of them serve.
    pub(super) fn start(&mut self, indices: &[usize], interrupt: &Interrupt) -> Result<(), ScaleError> {
        let started: io::Result<Vec<_>> =
            indices.iter().map(|&index| self.sidecars[index].start()).collect();
        for (&index, process) in indices.iter().zip(started?) {
            let console = wait_for_listen_address(&process, "serves the console", interrupt)?;
            let metrics = wait_for_listen_address(&process, "serves metrics", interrupt)?;
            wait_for_listen_address(&process, "serves", interrupt)?;
            self.sidecars[index].running = Some(RunningProcess { process, console, metrics });
        }
        Ok(())
    }

    /// Kills sidecars at once and waits until their processes have exited.
    pub(super) fn kill(&mut self, indices: &[usize]) -> io::Result<()> {
        let mut killed = Vec::new();
        for &index in indices {
            let Some(running) = self.sidecars[index].running.take() else { continue };
            self.exited_processor_time += procfs::processor_time(running.process.id())?;
            running.process.signal(Signal::KILL)?;
            killed.push(running);
        }
        for mut running in killed {
            running.process.wait(EXIT_TIMEOUT)?;
        }
        Ok(())
    }

    /// Runs one round of the operator's actions: reloads each sidecar with a new configuration
    /// (SIGHUP) and queries its metrics and console figures.
    pub(super) fn run_operator_round(&mut self) -> io::Result<()> {
        for sidecar in &mut self.sidecars {
            sidecar.reloads += 1;
            sidecar.configure()?;
            let Some(running) = &sidecar.running else { continue };
            running.process.signal(Signal::HUP)?;
            let request =
                format!("GET /metrics HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", running.metrics);
            query(running.metrics, &request, &mut self.traffic)?;
            query(running.console, "DUMP\n", &mut self.traffic)?;
        }
        Ok(())
    }

    /// The console figures of each running sidecar.
    pub(super) fn console_figures(&mut self) -> io::Result<Vec<ConsoleFigures>> {
        let mut figures = Vec::new();
        for running in self.sidecars.iter().filter_map(|sidecar| sidecar.running.as_ref()) {
            let answer = query(running.console, "DUMP\n", &mut self.traffic)?;
            let line = answer.lines().next().unwrap_or_default();
            figures.push(serde_json::from_str(line)?);
        }
        Ok(figures)
    }

    /// The operator's traffic so far.
    pub(super) fn traffic(&self) -> OperatorTraffic {
        self.traffic
    }

    /// The sum over all sidecars, including the processor time of processes that have exited.
    pub(super) fn sample(&self) -> io::Result<ProcessSample> {
        let mut sum = ProcessSample { processor: self.exited_processor_time, ..ProcessSample::default() };
        for running in self.sidecars.iter().filter_map(|sidecar| sidecar.running.as_ref()) {
            let one = procfs::sample(running.process.id())?;
            sum.processor += one.processor;
            sum.pss_kib += one.pss_kib;
            sum.rss_kib += one.rss_kib;
            sum.descriptors += one.descriptors;
        }
        Ok(sum)
    }
}

/// Waits until a process logs its listen address. Each wait is short, so that a signal is noticed
/// soon.
fn wait_for_listen_address(
    process: &Process,
    message: &str,
    interrupt: &Interrupt,
) -> Result<SocketAddr, ScaleError> {
    let condition = format!("process {} logs {message:?}", process.id());
    let line: Value = interrupt.wait_for(&condition, START_TIMEOUT, LOG_POLL_INTERVAL, || {
        Ok(process.wait_for(message, LOG_WAIT).ok())
    })?;
    let address = line["listen"].as_str().and_then(|listen| listen.parse().ok());
    address.ok_or_else(|| ScaleError::Process {
        process: condition,
        reason: format!("no listen address in log line: {line}"),
    })
}

/// Sends one query on a connection of its own and returns the whole answer.
fn query(address: SocketAddr, request: &str, traffic: &mut OperatorTraffic) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    stream.write_all(request.as_bytes())?;
    stream.shutdown(Shutdown::Write)?;
    let mut answer = String::new();
    stream.take(ANSWER_LIMIT).read_to_string(&mut answer)?;
    traffic.calls += 1;
    traffic.bytes_in += request.len() as u64;
    traffic.bytes_out += answer.len() as u64;
    Ok(answer)
}
