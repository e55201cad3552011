//! One process of the program in a soak: its files, its start, signals, console and metrics.

use super::addresses;
use super::discovery::PLACES;
use super::oracle::{COLD_FROM, COLD_MULTIPLE, COLD_WINDOW, DRAIN_GRACE, KEY_WINDOW, WARM_AFTER};
use super::plan::{Plan, Shim};
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
const STARTS_WITHIN: Duration = Duration::from_secs(20);
/// How long the console and the metrics may take.
const ANSWERS_WITHIN: Duration = Duration::from_secs(3);
/// Descriptors that a process may hold.
const SOCKETS: u32 = 160;
/// The library that plays failing system calls; `cargo build --workspace` puts it beside the executables.
const SHIM_FILE: &str = "libcottonpoint_shim.so";

/// What a process is started with.
pub struct Setup {
    /// Its state directory.
    state: PathBuf,
    arguments: Vec<OsString>,
    config: PathBuf,
    configuration: Value,
    discovery: [SocketAddr; PLACES],
    environment: Vec<(OsString, OsString)>,
    program: PathBuf,
}

/// A process that serves.
pub struct Running {
    /// Where clients connect.
    pub address: SocketAddr,
    console: SocketAddr,
    metrics: SocketAddr,
    setup: Setup,
    /// Which of discovery's addresses it was last given.
    place: usize,
    /// The process.
    pub process: Process,
}

impl Setup {
    /// Writes the files of a process at that place of the fleet.
    pub fn write(
        plan: &Plan,
        folder: &Path,
        place: usize,
        discovery: [SocketAddr; PLACES],
        known: &str,
        program: &Path,
    ) -> io::Result<Setup> {
        let state = folder.join(format!("p{place}"));
        fs::create_dir_all(&state)?;
        let (config, operator) = (state.join("config.json"), state.join("cottonpoint.toml"));
        let listen = format!("{}:0", addresses::host());
        fs::write(&operator, format!("[log]\nform = \"json\"\n\n[metrics]\nlisten = \"{listen}\"\n"))?;
        let known: Value = serde_json::from_str(known)?;
        let configuration = json!({
            "name": format!("p{place}"), "listen": listen, "console": listen,
            "discovery": discovery[0].to_string(), "limits": { "sockets": SOCKETS },
            "known": known, "settings": settings(plan, place),
        });
        fs::write(&config, configuration.to_string())?;
        let words = words_of(program).into_iter().map(OsString::from);
        let files = ["--config".into(), config.clone().into(), "--operator".into(), operator.into()];
        let environment = plan.shims[place].map(|shim| environment(&shim)).transpose()?.unwrap_or_default();
        let arguments = words.chain(files).collect();
        let program = program.to_owned();
        Ok(Setup { state, arguments, config, configuration, discovery, environment, program })
    }

    /// Starts the process and waits until it serves: blocks.
    pub fn start(self) -> io::Result<Running> {
        let process = Process::start_with(&self.program, &self.arguments, &self.state, &self.environment)?;
        let listen = |message| -> io::Result<SocketAddr> {
            let line = process.wait_for(message, STARTS_WITHIN)?;
            let address = line["listen"].as_str().and_then(|text| text.parse().ok());
            address.ok_or_else(|| io::Error::other(format!("no address in {line}")))
        };
        let (metrics, console, address) =
            (listen("serves metrics")?, listen("serves the console")?, listen("serves")?);
        Ok(Running { address, console, metrics, setup: self, place: 0, process })
    }
}

/// This executable holds the program as `program serve`; the program's own has `serve`.
fn words_of(program: &Path) -> Vec<&'static str> {
    let name = program.file_name().unwrap_or_default();
    if name == "cottonpoint" { vec!["serve"] } else { vec!["program", "serve"] }
}

/// The environment by which the shim is loaded and told what to do.
fn environment(shim: &Shim) -> io::Result<Vec<(OsString, OsString)>> {
    let folder = std::env::current_exe()?;
    let library = folder.parent().unwrap_or(Path::new(".")).join(SHIM_FILE);
    if !library.exists() {
        let text = format!("{} is missing: build the whole workspace first", library.display());
        return Err(io::Error::new(io::ErrorKind::NotFound, text));
    }
    let (step, step_after) = shim.clock_step;
    let (files_after, files_for) = shim.files_fail;
    let faults = format!(
        "seed={};clock_step_ms={step};clock_step_after_ms={};accept_per_mille={};transfer_per_mille={};\
         connect_per_mille={};break_per_mille={};files_after_ms={};files_for_ms={}",
        shim.seed,
        step_after.as_millis(),
        shim.accept_fails,
        shim.transfers_fail,
        shim.connects_fail,
        shim.connections_break,
        files_after.as_millis(),
        files_for.as_millis()
    );
    Ok(vec![("LD_PRELOAD".into(), library.into()), ("COTTONPOINT_FAULTS".into(), faults.into())])
}

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

fn settings(plan: &Plan, place: usize) -> Value {
    let class = |name: &str, semantics: &str, worth: f64, patience: Duration| {
        json!({
            "name": name, "semantics": semantics, "group": "all", "window_ns": nanos(KEY_WINDOW),
            "aim_ns": nanos(patience / 2), "give_up_ns": nanos(patience), "worth": worth,
        })
    };
    let [safe, keyed, without_key] = plan.patience;
    json!({
        "me": place, "siblings": plan.members, "my_zone": 0, "azs": ["here"], "shapes": ["plain"],
        "discovery": "on_request",
        "telemetry": { "how": "piggyback", "fields": ["throughput", "utilization"] },
        "lanes": [
            class("view", "read_like", 1.0, safe),
            class("order", "idempotency_key", 3.0, keyed),
            class("pay", "non_idempotent", 5.0, without_key),
        ],
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

impl Running {
    /// Gives it a configuration that names discovery's other address.
    pub fn reload(&mut self) -> io::Result<()> {
        self.place = (self.place + 1) % PLACES;
        self.setup.configuration["discovery"] = json!(self.setup.discovery[self.place].to_string());
        let beside = self.setup.config.with_extension("new");
        fs::write(&beside, self.setup.configuration.to_string())?;
        fs::rename(&beside, &self.setup.config)?;
        self.process.signal(Signal::HUP)
    }

    /// Takes an endpoint out by hand; whether the process said yes.
    pub async fn take_out(console: SocketAddr, endpoint: &str) -> io::Result<bool> {
        let answer = ask(console, &format!("OFFLINE {endpoint}\n")).await?;
        Ok(answer.starts_with("+OK"))
    }

    /// Where its console is.
    pub fn console(&self) -> SocketAddr {
        self.console
    }

    /// Where its metrics are.
    pub fn metrics(&self) -> SocketAddr {
        self.metrics
    }
}

/// What a process's guard has counted, by rule, and how often its list expired.
pub async fn counts(metrics: SocketAddr) -> io::Result<(BTreeMap<String, u64>, u64)> {
    let page = ask(metrics, "GET /metrics HTTP/1.1\r\nHost: soak\r\n\r\n").await?;
    let (mut violations, mut expiries) = (BTreeMap::new(), 0);
    for line in page.lines() {
        let Some((name, figure)) = line.rsplit_once(' ') else { continue };
        let figure = figure.parse().unwrap_or(0);
        if let Some(rule) = name.strip_prefix("cottonpoint_rule_violations_total") {
            violations.insert(rule.to_owned(), figure);
        } else if name == "cottonpoint_list_expiries_total" {
            expiries = figure;
        }
    }
    if violations.is_empty() {
        return Err(io::Error::other("no figures of the guard"));
    }
    Ok((violations, expiries))
}

async fn ask(address: SocketAddr, text: &str) -> io::Result<String> {
    with_timeout(ANSWERS_WITHIN, async {
        let mut stream = Async::<TcpStream>::connect(address).await?;
        stream.write_all(text.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok(answer)
    })
    .await
}
