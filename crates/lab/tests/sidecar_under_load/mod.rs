//! A sidecar process under load among stand-ins on real sockets, and faults that cut it off from
//! changes of its endpoint list.
#![allow(dead_code)] // Each test file uses a part of it.

use async_executor::LocalExecutor;
use async_io::Timer;
use cottonpoint_lab::live::Executor;
use cottonpoint_lab::live::clients::{Class, Clients};
use cottonpoint_lab::live::discovery::Discovery;
use cottonpoint_lab::live::endpoint::EndpointStandIn;
use cottonpoint_lab::live::limited_discovery::{Availability, Capacity, LimitedDiscovery};
use cottonpoint_lab::live::program::{class, settings};
use cottonpoint_lab::rig::process::Process;
use rustix::io::Errno;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A change counts as notified this long after discovery had it and could be reached (the protocol
/// specification).
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(6);
/// After that, no new attempt may be sent once this time has passed: 0.5 s by the settings and 0.05
/// s by the protocol specification.
pub const DRAIN_GRACE: Duration = Duration::from_millis(550);
/// Allowance for stand-ins that wait for a processor: they may see an attempt this much late.
pub const SCHEDULING_SLACK: Duration = Duration::from_millis(200);
/// How long attempts are counted after the grace period.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);
/// Answers with status 503 at once, as a discovery does whose queue is full.
pub const REJECTS_AT_ONCE: Availability = Availability::Unavailable { delay: Duration::from_millis(6) };
const START_TIMEOUT: Duration = Duration::from_secs(20);
const REQUESTS_PER_SECOND: f64 = 60.0;
/// Age of a watch after which it is no longer in discovery's queue.
pub const MIN_WATCH_AGE: Duration = Duration::from_secs(3);
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What cuts the process off from changes of the list.
#[derive(Clone, Copy)]
pub enum CutOff {
    /// A reload that names the second discovery, while the first one ends its watch.
    Reload,
    /// The first discovery ends its watch and rejects polls at once.
    OverloadedDiscovery,
}

/// How often a fault occurs.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The next time only.
    Once,
    /// Until it is cancelled.
    Always,
}

/// How discovery publishes the list to the sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Publication {
    /// The sidecar asks discovery for the list.
    OnRequest,
    /// An agent on the sidecar's machine holds the list.
    Pushed,
}

impl Publication {
    /// The value of the setting `discovery`.
    fn setting(self) -> &'static str {
        match self {
            Publication::OnRequest => "on_request",
            Publication::Pushed => "pushed",
        }
    }
}

/// The parts of a test.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Number of endpoints of the sidecar's tier.
    pub endpoints: usize,
    /// How discovery publishes the list.
    pub publication: Publication,
    /// How the second discovery handles polls.
    pub second_discovery: Availability,
}

impl Setup {
    /// Three endpoints, and discoveries that are asked for the list.
    fn with_second_discovery(second_discovery: Availability) -> Setup {
        Setup { endpoints: 3, publication: Publication::OnRequest, second_discovery }
    }
}

/// A discovery that serves more polls than a test makes.
pub fn serving() -> Availability {
    Availability::Serving(Capacity::per_second(1000, Duration::from_secs(1)))
}

/// Runs a test with a sidecar under load and stand-ins of its own.
fn with_sidecar<T>(test: impl AsyncFnOnce(SidecarUnderLoad) -> T) -> T {
    with_setup(Setup::with_second_discovery(serving()), test)
}

/// Runs a test with these parts.
pub fn with_setup<T>(setup: Setup, test: impl AsyncFnOnce(SidecarUnderLoad) -> T) -> T {
    let executor: Executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(async { test(SidecarUnderLoad::start(&executor, setup).await).await }))
}

/// Ends the watch by a discovery with a full queue while the process cannot connect, and lets one
/// endpoint drain meanwhile. At half of the time within which the change is due, one connect fails
/// with `error`. Returns when that connect has failed, with the time of the change that the process
/// misses.
async fn miss_drain_until_connect_fails(sidecar: &SidecarUnderLoad, error: Errno) -> Instant {
    Timer::after(MIN_WATCH_AGE).await;
    sidecar.fail_connects(Errno::NOBUFS, Repeat::Always);
    sidecar.discoveries[0].set_availability(REJECTS_AT_ONCE);
    sidecar.endpoints[0].set_lifecycle("leaving");
    let changed = Instant::now();
    Timer::at(changed + NOTIFICATION_TIMEOUT / 2).await;
    sidecar.fail_connects(error, Repeat::Once);
    sidecar.wait_for_failed_connect().await;
    changed
}

/// The number of attempts that a draining endpoint receives after its grace period, where a connect
/// to discovery fails while the process misses the change.
pub fn attempts_after_a_connect_failed(error: Errno) -> u64 {
    with_sidecar(async |sidecar: SidecarUnderLoad| {
        let changed = miss_drain_until_connect_fails(&sidecar, error).await;
        Timer::at(changed + NOTIFICATION_TIMEOUT + DRAIN_GRACE + SCHEDULING_SLACK).await;
        let within_grace = sidecar.attempts(0);
        Timer::after(OBSERVATION_TIME).await;
        assert!(within_grace > 0, "the draining endpoint received attempts within its grace period");
        assert_eq!(sidecar.clients.stats.unanswered.get(), 0, "each request has its answer");
        sidecar.attempts(0) - within_grace
    })
}

/// Time from a failed connect to the next poll of discovery. The metrics have to count the failure
/// under `reason`.
pub fn next_poll_after_a_connect_failed(error: Errno, reason: &str) -> Duration {
    with_sidecar(async |sidecar: SidecarUnderLoad| {
        miss_drain_until_connect_fails(&sidecar, error).await;
        let failed = Instant::now();
        let polled = || !sidecar.discoveries[0].counts().arrivals.is_empty();
        wait_until("the sidecar polls discovery", NOTIFICATION_TIMEOUT, polled).await;
        let after = failed.elapsed();
        assert!(sidecar.discovery_failures(reason) > 0, "{error} counts as {reason}");
        after
    })
}

/// Number of requests refused while each connect to discovery fails with `error`, over the time
/// `lasts`.
pub fn refused_while_connects_fail(error: Errno, lasts: Duration) -> u64 {
    with_sidecar(async |sidecar: SidecarUnderLoad| {
        sidecar.fail_connects(error, Repeat::Always);
        sidecar.discoveries[0].set_availability(Availability::ClosingConnections);
        Timer::after(lasts).await;
        let stats = &sidecar.clients.stats;
        println!("{} requests served, {} refused", stats.served.get(), stats.refused.get());
        assert!(stats.served.get() > 0, "the sidecar serves");
        stats.refused.get()
    })
}

/// Cuts a serving sidecar off from changes, lets an endpoint drain, and returns the number of
/// attempts that this endpoint receives after its grace period.
pub fn attempts_after_drain_grace(second_discovery: Availability, cut_off: CutOff) -> u64 {
    with_setup(Setup::with_second_discovery(second_discovery), async |sidecar: SidecarUnderLoad| {
        sidecar.cut_off(cut_off).await;
        sidecar.endpoints[0].set_lifecycle("leaving");
        Timer::after(NOTIFICATION_TIMEOUT + DRAIN_GRACE + SCHEDULING_SLACK).await;
        let within_grace = sidecar.attempts(0);
        Timer::after(OBSERVATION_TIME).await;
        let stats = &sidecar.clients.stats;
        println!(
            "{} attempts at the draining endpoint within its grace period, {} after it; \
             {} requests served, {} refused",
            within_grace,
            sidecar.attempts(0) - within_grace,
            stats.served.get(),
            stats.refused.get()
        );
        assert!(within_grace > 0, "the draining endpoint received attempts within its grace period");
        assert_eq!(stats.unanswered.get(), 0, "each request has its answer");
        sidecar.attempts(0) - within_grace
    })
}

/// A sidecar process under load, its endpoints, and two discoveries with the same list.
pub struct SidecarUnderLoad {
    /// The endpoints of the sidecar's tier.
    pub endpoints: Vec<Rc<EndpointStandIn>>,
    /// The two discoveries.
    pub discoveries: [Rc<LimitedDiscovery>; 2],
    /// The clients of the sidecar.
    pub clients: Rc<Clients>,
    process: Process,
    /// The list that both discoveries serve.
    pub list: Rc<Discovery>,
    publication: Publication,
    config: PathBuf,
    known: Value,
    /// While this file exists, connects of the process to the first discovery fail with the error
    /// that it names.
    connect_error: PathBuf,
    metrics: SocketAddr,
    _folder: tempfile::TempDir,
}

impl SidecarUnderLoad {
    /// Starts all parts, and waits until the process watches the first discovery and serves.
    async fn start(executor: &Executor, setup: Setup) -> SidecarUnderLoad {
        let list = Discovery::start(executor).expect("a list");
        let endpoints: Vec<_> = (0..setup.endpoints)
            .map(|index| EndpointStandIn::new(&format!("s{index}"), 1.0, executor, &list))
            .collect();
        endpoints.iter().for_each(|endpoint| endpoint.start(false).expect("the stand-in listens"));
        let discovery = |availability| {
            LimitedDiscovery::start(executor, list.clone(), 1, availability).expect("the stand-in listens")
        };
        let discoveries = [discovery(serving()), discovery(setup.second_discovery)];
        let known: Value = serde_json::from_slice(&list.answer(None).expect("a list")).expect("JSON");

        let folder = tempfile::tempdir().expect("a folder");
        let (config, operator) =
            (folder.path().join("config.json"), folder.path().join("cottonpoint.toml"));
        let text = "[log]\nform = \"json\"\n\n[metrics]\nlisten = \"127.0.0.1:0\"\n";
        fs::write(&operator, text).expect("a file");
        write_config(&config, discoveries[0].address(0), &known, setup.publication);
        let connect_error = folder.path().join("connect-error");
        let faults = format!(
            "connect_error_file={};connect_port={}",
            connect_error.display(),
            discoveries[0].address(0).port()
        );
        let process = start_process(&config, &operator, folder.path(), &faults).await;
        let listen =
            process.wait_for("serves", START_TIMEOUT).expect("the sidecar serves")["listen"].clone();
        let address: SocketAddr = listen.as_str().and_then(|at| at.parse().ok()).expect("an address");
        let metrics =
            process.wait_for("serves metrics", START_TIMEOUT).expect("the sidecar serves")["listen"]
                .clone();
        let metrics = metrics.as_str().and_then(|at| at.parse().ok()).expect("an address");
        wait_until("the sidecar watches discovery", START_TIMEOUT, || discoveries[0].open_watches() > 0)
            .await;
        let client_timeout = Duration::from_millis(1500);
        let view = Class { name: "view", method: "GET", share: 1.0, client_timeout };
        let clients = Clients::new(address, vec![view]);
        executor.spawn(clients.clone().run(executor.clone(), REQUESTS_PER_SECOND, 1)).detach();
        SidecarUnderLoad {
            endpoints,
            discoveries,
            clients,
            process,
            list,
            publication: setup.publication,
            config,
            known,
            connect_error,
            metrics,
            _folder: folder,
        }
    }

    /// Makes connects of the process to the first discovery fail from now on, or only the next one.
    fn fail_connects(&self, error: Errno, repeat: Repeat) {
        let once = if repeat == Repeat::Once { " once" } else { "" };
        let temporary = self.connect_error.with_extension("new");
        fs::write(&temporary, format!("{}{once}", error.raw_os_error())).expect("a file");
        fs::rename(temporary, &self.connect_error).expect("a file");
    }

    /// How often a poll, or the connect for one, failed for that reason, by the metrics of the
    /// process.
    fn discovery_failures(&self, reason: &str) -> u64 {
        let mut stream = TcpStream::connect(self.metrics).expect("the sidecar serves metrics");
        stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: story\r\n\r\n").expect("the request is sent");
        let mut metrics_text = String::new();
        stream.read_to_string(&mut metrics_text).expect("a complete answer");
        let name = format!("cottonpoint_discovery_failures_total{{result=\"{reason}\"}} ");
        let value = metrics_text.lines().find_map(|line| line.strip_prefix(&name));
        value.map_or(0, |value| value.parse().expect("a number"))
    }

    /// Waits until the connect that was set to fail once has failed.
    async fn wait_for_failed_connect(&self) {
        wait_until("a connect fails within the time", NOTIFICATION_TIMEOUT, || {
            !self.connect_error.exists()
        })
        .await;
    }

    /// Cuts the process off, and waits until a poll shows that it is.
    async fn cut_off(&self, how: CutOff) {
        let polled_discovery = match how {
            CutOff::Reload => &self.discoveries[1],
            CutOff::OverloadedDiscovery => &self.discoveries[0],
        };
        match how {
            CutOff::Reload => {
                write_config(&self.config, self.discoveries[1].address(0), &self.known, self.publication);
                self.process.signal(Signal::HUP).expect("the process runs");
            }
            CutOff::OverloadedDiscovery => drop(self.discoveries[0].set_availability(REJECTS_AT_ONCE)),
        }
        wait_until("the sidecar polls discovery", NOTIFICATION_TIMEOUT, || {
            !polled_discovery.counts().arrivals.is_empty()
        })
        .await;
        if let CutOff::Reload = how {
            // Changes from the first discovery would be accepted until the second one has answered.
            self.discoveries[0].set_availability(REJECTS_AT_ONCE);
            wait_until("the watch ends", NOTIFICATION_TIMEOUT, || self.discoveries[0].open_watches() == 0)
                .await;
        }
    }

    /// Changes the lifecycle of all endpoints in one version of the list.
    pub fn set_all_lifecycles(&self, lifecycle: &'static str) {
        self.list.publish_all(self.endpoints.iter().filter_map(|endpoint| endpoint.entry_with(lifecycle)));
    }

    /// Number of attempts that all endpoints together have received.
    pub fn all_attempts(&self) -> u64 {
        (0..self.endpoints.len()).map(|endpoint| self.attempts(endpoint)).sum()
    }

    /// Number of attempts that an endpoint has received.
    pub fn attempts(&self, endpoint: usize) -> u64 {
        let endpoint = &self.endpoints[endpoint];
        endpoint.served.get() + endpoint.rejected.get() + endpoint.active_requests() as u64
    }
}

fn write_config(file: &Path, discovery: SocketAddr, known: &Value, publication: Publication) {
    let mut settings = settings(&json!([class("view", "read_like", 1.0, 500, 1500)]));
    settings["discovery"] = publication.setting().into();
    let configuration = json!({
        "name": "p0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "limits": { "sockets": 256 }, "known": known,
        "settings": settings,
    });
    let temporary = file.with_extension("new");
    fs::write(&temporary, configuration.to_string()).expect("a file");
    fs::rename(temporary, file).expect("a file");
}

pub async fn wait_until(what: &str, limit: Duration, holds: impl Fn() -> bool) {
    let started_at = Instant::now();
    while !holds() {
        assert!(started_at.elapsed() < limit, "{what}");
        Timer::after(CHECK_INTERVAL).await;
    }
}

/// The shared library that makes system calls fail: `cargo test` builds it with the tests.
fn shim() -> PathBuf {
    let executable = Path::new(env!("CARGO_BIN_EXE_cottonpoint-lab"));
    let folder = executable.parent().expect("a folder");
    let found =
        [folder.to_owned(), folder.join("deps")].map(|folder| folder.join("libcottonpoint_shim.so"));
    found.into_iter().find(|library| library.exists()).expect("cargo builds the library with the tests")
}

/// Starts the process on a thread of its own, so that the stand-ins keep answering.
async fn start_process(config: &Path, operator: &Path, state: &Path, faults: &str) -> Process {
    let command = ["program", "serve", "--config"].map(Into::into);
    let files = [config.to_owned(), "--operator".into(), operator.to_owned()];
    let arguments: Vec<PathBuf> = command.into_iter().chain(files).collect();
    let (done, wait) = async_channel::bounded(1);
    let state = state.to_owned();
    let environment =
        [("LD_PRELOAD".into(), shim().into()), ("COTTONPOINT_FAULTS".into(), faults.to_owned().into())];
    std::thread::spawn(move || {
        let program = Path::new(env!("CARGO_BIN_EXE_cottonpoint-lab"));
        done.try_send(Process::start_with(program, &arguments, &state, &environment))
    });
    wait.recv().await.expect("the starting thread ends").expect("the process starts")
}
