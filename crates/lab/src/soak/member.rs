//! One process of the program in a soak: its files, start, signals, console and metrics.

use super::addresses;
use super::classes::{CLASSES, ClassList, client_timeout};
use super::discovery::ADDRESSES_PER_PROCESS;
use super::oracle::{COLD_FROM, COLD_MULTIPLE, COLD_WINDOW, DRAIN_GRACE, IDEMPOTENCY_WINDOW, WARM_AFTER};
use super::plan::{Plan, ShimFaults};
use super::records::Effect;
use crate::live::with_timeout;
use crate::rig::process::Process;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{fs, io};

/// How long a process may take until it serves.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for queries to the console and the metrics.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);
/// The library that injects faults into system calls; `cargo build --workspace` puts it beside the
/// executables.
const SHIM_FILE: &str = "libcottonpoint_shim.so";

/// What a process is started with.
pub struct ProcessSetup {
    /// Its state directory.
    state: PathBuf,
    arguments: Vec<OsString>,
    config_path: PathBuf,
    configuration: Value,
    discovery: [SocketAddr; ADDRESSES_PER_PROCESS],
    environment: Vec<(OsString, OsString)>,
    program: PathBuf,
    classes: ClassList,
}

/// A process that serves.
pub struct RunningProcess {
    /// Where clients connect.
    pub address: SocketAddr,
    console: SocketAddr,
    metrics: SocketAddr,
    setup: ProcessSetup,
    /// Index of the discovery address in its current configuration.
    discovery_index: usize,
    /// The classes of its current configuration.
    classes: ClassList,
    /// The process.
    pub process: Process,
}

impl ProcessSetup {
    /// Writes the files of a process for the given slot of the fleet.
    pub fn write(
        plan: &Plan,
        folder: &Path,
        slot: usize,
        discovery: [SocketAddr; ADDRESSES_PER_PROCESS],
        known_list: Option<&str>,
        program: &Path,
    ) -> io::Result<ProcessSetup> {
        let state = folder.join(format!("p{slot}"));
        fs::create_dir_all(&state)?;
        let (config_path, operator) = (state.join("config.json"), state.join("cottonpoint.toml"));
        let listen = format!("{}:0", addresses::host());
        fs::write(&operator, format!("[log]\nform = \"json\"\n\n[metrics]\nlisten = \"{listen}\"\n"))?;
        let known_list: Option<Value> = known_list.map(serde_json::from_str).transpose()?;
        let configuration = json!({
            "name": format!("p{slot}"), "listen": listen, "console": listen,
            "discovery": discovery[0].to_string(), "limits": { "sockets": plan.sockets, "memory_mb": plan.memory_mb },
            "known": known_list, "settings": settings(plan, slot),
        });
        fs::write(&config_path, configuration.to_string())?;
        let command = serve_command(program).into_iter().map(OsString::from);
        let files = ["--config".into(), config_path.clone().into(), "--operator".into(), operator.into()];
        let environment = plan.shims[slot].map(|shim| environment(&shim)).transpose()?.unwrap_or_default();
        let arguments = command.chain(files).collect();
        let program = program.to_owned();
        Ok(ProcessSetup {
            state,
            arguments,
            config_path,
            configuration,
            discovery,
            environment,
            program,
            classes: plan.first_classes,
        })
    }

    /// Starts the process and blocks until it serves.
    pub fn start(self) -> io::Result<RunningProcess> {
        let process = Process::start_with(&self.program, &self.arguments, &self.state, &self.environment)?;
        let listen = |message| -> io::Result<SocketAddr> {
            let line = process.wait_for(message, START_TIMEOUT)?;
            let address = line["listen"].as_str().and_then(|text| text.parse().ok());
            address.ok_or_else(|| io::Error::other(format!("no listen address in the log line {line}")))
        };
        let classes = self.classes;
        let (metrics, console, address) =
            (listen("serves metrics")?, listen("serves the console")?, listen("serves")?);
        Ok(RunningProcess { address, console, metrics, setup: self, discovery_index: 0, classes, process })
    }
}

/// The laboratory's executable runs the program as `program serve`; the program's own executable
/// has `serve`.
fn serve_command(program: &Path) -> Vec<&'static str> {
    let name = program.file_name().unwrap_or_default();
    if name == "cottonpoint" { vec!["serve"] } else { vec!["program", "serve"] }
}

/// The environment variables that load the shim and configure its faults.
fn environment(shim: &ShimFaults) -> io::Result<Vec<(OsString, OsString)>> {
    let folder = std::env::current_exe()?;
    let library = folder.parent().unwrap_or(Path::new(".")).join(SHIM_FILE);
    if !library.exists() {
        let text = format!("{} is missing: build the whole workspace first", library.display());
        return Err(io::Error::new(io::ErrorKind::NotFound, text));
    }
    let (step, step_after) = shim.clock_step;
    let (files_after, files_for) = shim.file_writes_fail;
    let faults = format!(
        "seed={};clock_step_ms={step};clock_step_after_ms={};accept_per_mille={};transfer_per_mille={};\
         connect_per_mille={};break_per_mille={};files_after_ms={};files_for_ms={}",
        shim.seed,
        step_after.as_millis(),
        shim.accept_per_mille,
        shim.transfer_per_mille,
        shim.connect_per_mille,
        shim.break_per_mille,
        files_after.as_millis(),
        files_for.as_millis()
    );
    Ok(vec![("LD_PRELOAD".into(), library.into()), ("COTTONPOINT_FAULTS".into(), faults.into())])
}

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

/// The classes of a configuration.
fn lanes(classes: ClassList, client_timeouts: [Duration; 3]) -> Value {
    let lane = |position: &usize| {
        let class = CLASSES[*position];
        let semantics = match class.effect {
            Effect::Safe => "read_like",
            Effect::Keyed => "idempotency_key",
            Effect::Unsafe => "non_idempotent",
        };
        let timeout = client_timeout(*position, client_timeouts);
        json!({
            "name": class.name, "semantics": semantics, "group": "all",
            "window_ns": nanos(IDEMPOTENCY_WINDOW), "aim_ns": nanos(timeout / 2),
            "give_up_ns": nanos(timeout), "worth": f64::from(class.worth),
        })
    };
    classes.positions().iter().map(lane).collect()
}

fn settings(plan: &Plan, slot: usize) -> Value {
    json!({
        "me": slot, "siblings": plan.members, "my_zone": 0, "azs": ["here"], "shapes": ["plain"],
        "discovery": if plan.pushed { "pushed" } else { "on_request" },
        "telemetry": { "how": "piggyback", "fields": ["throughput", "utilization"] },
        "lanes": lanes(plan.first_classes, plan.client_timeouts),
        "orgs": [{ "name": "office", "quota_per_s": 10_000.0 }],
        "limits": {
            "max_attempts": 4, "may_duplicate": false, "cancelling": true, "probes": false,
            "max_retry_after_ns": 2_000_000_000_u64, "connect_timeout_ns": 100_000_000,
        },
        "obligations": {
            "ask_within_ns": 10_000_000_000_u64, "cold_from": COLD_FROM,
            "warm_after_ns": nanos(WARM_AFTER), "fall_multiple": COLD_MULTIPLE,
            "tip_after_ns": nanos(COLD_WINDOW), "stop_sending_within_ns": nanos(DRAIN_GRACE),
        },
    })
}

impl RunningProcess {
    /// Gives the process a configuration that names discovery's other address.
    pub fn reload(&mut self) -> io::Result<()> {
        self.discovery_index = (self.discovery_index + 1) % ADDRESSES_PER_PROCESS;
        self.setup.configuration["discovery"] =
            json!(self.setup.discovery[self.discovery_index].to_string());
        self.reload_configuration()
    }

    /// Gives the process a configuration that names these classes.
    pub fn reload_classes(&mut self, classes: ClassList, client_timeouts: [Duration; 3]) -> io::Result<()> {
        self.classes = classes;
        self.setup.configuration["settings"]["lanes"] = lanes(classes, client_timeouts);
        self.reload_configuration()
    }

    fn reload_configuration(&self) -> io::Result<()> {
        let temporary = self.setup.config_path.with_extension("new");
        fs::write(&temporary, self.setup.configuration.to_string())?;
        fs::rename(&temporary, &self.setup.config_path)?;
        self.process.signal(Signal::HUP)
    }

    /// Takes an endpoint offline or puts it back online by a console command; returns whether the
    /// process confirmed it.
    pub async fn order(console: SocketAddr, endpoint: &str, offline: bool) -> io::Result<bool> {
        let command = if offline { "OFFLINE" } else { "ONLINE" };
        let answer = query(console, &format!("{command} {endpoint}\n")).await?;
        Ok(answer.starts_with("+OK"))
    }

    /// The longest client timeout of its current configuration.
    pub fn longest_timeout(&self, client_timeouts: [Duration; 3]) -> Duration {
        let timeouts =
            self.classes.positions().iter().map(|position| client_timeout(*position, client_timeouts));
        timeouts.max().unwrap_or_default()
    }

    /// The console's address.
    pub fn console(&self) -> SocketAddr {
        self.console
    }

    /// The most memory that the process has held, in kB; `None` if it has ended.
    pub fn peak_kb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id())).ok()?;
        status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?.split_whitespace().next()?.parse().ok()
    }

    /// The address of the metrics.
    pub fn metrics(&self) -> SocketAddr {
        self.metrics
    }
}

/// The violations that a process's guard has counted, by rule, and how often its list expired.
pub async fn guard_counts(metrics: SocketAddr) -> io::Result<(BTreeMap<String, u64>, u64)> {
    let page = query(metrics, "GET /metrics HTTP/1.1\r\nHost: soak\r\n\r\n").await?;
    let (mut guard_violations, mut list_expiries) = (BTreeMap::new(), 0);
    for line in page.lines() {
        let Some((name, value)) = line.rsplit_once(' ') else { continue };
        let value = value.parse().unwrap_or(0);
        if let Some(rule) = name.strip_prefix("cottonpoint_rule_violations_total") {
            guard_violations.insert(rule.to_owned(), value);
        } else if name == "cottonpoint_list_expiries_total" {
            list_expiries = value;
        }
    }
    if guard_violations.is_empty() {
        return Err(io::Error::other("the metrics have no counters of rule violations"));
    }
    Ok((guard_violations, list_expiries))
}

async fn query(address: SocketAddr, text: &str) -> io::Result<String> {
    with_timeout(QUERY_TIMEOUT, async {
        let mut stream = Async::<TcpStream>::connect(address).await?;
        stream.write_all(text.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok(answer)
    })
    .await
}
