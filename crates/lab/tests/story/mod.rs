//! A process of the program under load among stand-ins on real sockets, and what cuts it off from news of its endpoints.
#![allow(dead_code)] // Each test file uses a part of it.

use async_executor::LocalExecutor;
use async_io::Timer;
use cottonpoint_lab::live::Executor;
use cottonpoint_lab::live::clients::{Class, Clients};
use cottonpoint_lab::live::discovery::Discovery;
use cottonpoint_lab::live::overrun::{Capacity, Condition, Overrun};
use cottonpoint_lab::live::program::{class, settings};
use cottonpoint_lab::live::server::StandIn;
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

/// A change counts as told so long after discovery had it and could be reached (the protocol page).
const NEWS_DUE: Duration = Duration::from_secs(6);
/// Then nothing new may be sent after this time: 0.5 s by the settings, 0.05 s by the protocol page.
const GRACE: Duration = Duration::from_millis(550);
/// For stand-ins that wait for a processor: by so much an attempt may be seen late.
const SLACK: Duration = Duration::from_millis(200);
/// How long sends are looked for after the grace.
const LOOK_FOR: Duration = Duration::from_secs(4);
/// The status 503 at once, as a discovery answers whose queue is full.
pub const AT_THE_DOOR: Condition = Condition::TurnsAway { after: Duration::from_millis(6) };
const STARTS_WITHIN: Duration = Duration::from_secs(20);
const REQUESTS_PER_SECOND: f64 = 60.0;
/// A watch that has been open for so long stands in no queue of discovery's.
const WATCHED_FOR: Duration = Duration::from_secs(3);
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// What cuts the process off from the news.
#[derive(Clone, Copy)]
pub enum CutOff {
    /// A reload names the second discovery, and the first one ends its watch.
    Reload,
    /// The first discovery ends its watch, and turns polls away at once.
    FullDiscovery,
}

/// How often a fault comes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Times {
    /// The next time only.
    Once,
    /// Until it is taken back.
    Always,
}

/// Runs a story on stand-ins of its own.
fn play<T>(story: impl AsyncFnOnce(Story) -> T) -> T {
    let executor: Executor = Rc::new(LocalExecutor::new());
    let serves = Condition::Serves(Capacity::per_second(1000, Duration::from_secs(1)));
    async_io::block_on(executor.run(async { story(Story::begin(&executor, serves).await).await }))
}

/// A watch is ended by a full discovery while the process can make no connection, and at half of the time in which news
/// is due one connect fails with that error. Yields the story at that moment, and when the change was made that it misses.
async fn miss_a_drain_until_a_connect_fails(story: &Story, error: Errno) -> Instant {
    Timer::after(WATCHED_FOR).await;
    story.fail_connects(Errno::NOBUFS, Times::Always);
    story.discoveries[0].change(AT_THE_DOOR);
    story.servers[0].list("leaving");
    let changed = Instant::now();
    Timer::at(changed + NEWS_DUE / 2).await;
    story.fail_connects(error, Times::Once);
    story.connect_has_failed().await;
    changed
}

/// The attempts that a draining server gets after its grace, where a connect to discovery fails while its change is missed.
pub fn attempts_after_a_connect_failed(error: Errno) -> u64 {
    play(async |story: Story| {
        let changed = miss_a_drain_until_a_connect_fails(&story, error).await;
        Timer::at(changed + NEWS_DUE + GRACE + SLACK).await;
        let before = story.attempts(0);
        Timer::after(LOOK_FOR).await;
        assert!(before > 0, "the draining server had attempts before");
        assert_eq!(story.clients.tally.unanswered.get(), 0, "each request has its answer");
        story.attempts(0) - before
    })
}

/// How long after a connect that failed discovery is polled again. The metrics have the failure under that reason.
pub fn next_poll_after_a_connect_failed(error: Errno, reason: &str) -> Duration {
    play(async |story: Story| {
        miss_a_drain_until_a_connect_fails(&story, error).await;
        let failed = Instant::now();
        let polled = || !story.discoveries[0].counts().arrived.is_empty();
        wait_until("it polls", NEWS_DUE, polled).await;
        let after = failed.elapsed();
        assert!(story.discovery_failures(reason) > 0, "{error} counts as {reason}");
        after
    })
}

/// Requests refused while each connect to discovery fails with that error, for so long.
pub fn refused_while_connects_fail(error: Errno, lasts: Duration) -> u64 {
    play(async |story: Story| {
        story.fail_connects(error, Times::Always);
        story.discoveries[0].change(Condition::Closes);
        Timer::after(lasts).await;
        let tally = &story.clients.tally;
        println!("{} requests served, {} refused", tally.served.get(), tally.refused.get());
        assert!(tally.served.get() > 0, "it serves");
        tally.refused.get()
    })
}

/// Plays a story: a process that serves by its list, whatever cuts it off from the news that a server drains, and the
/// attempts that this server gets once the grace is over.
pub fn attempts_after_the_grace(second: Condition, cut_off: CutOff) -> u64 {
    let executor: Executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(async {
        let story = Story::begin(&executor, second).await;
        story.cut_off(cut_off).await;
        story.servers[0].list("leaving");
        Timer::after(NEWS_DUE + GRACE + SLACK).await;
        let before = story.attempts(0);
        Timer::after(LOOK_FOR).await;
        let tally = &story.clients.tally;
        println!(
            "{} attempts at the draining server within its grace, {} after it; {} requests served, {} refused",
            before,
            story.attempts(0) - before,
            tally.served.get(),
            tally.refused.get()
        );
        assert!(before > 0, "the draining server had attempts before");
        assert_eq!(tally.unanswered.get(), 0, "each request has its answer");
        story.attempts(0) - before
    }))
}

/// A process under load, its servers, and two discoveries with the same list.
pub struct Story {
    servers: Vec<Rc<StandIn>>,
    discoveries: [Rc<Overrun>; 2],
    clients: Rc<Clients>,
    process: Process,
    config: PathBuf,
    known: Value,
    /// While it is there, the process's connects to the first discovery fail with the error that it names.
    connect_error: PathBuf,
    metrics: SocketAddr,
    _folder: tempfile::TempDir,
}

impl Story {
    /// Starts all, and waits until the process watches the first discovery and serves.
    async fn begin(executor: &Executor, second: Condition) -> Story {
        let list = Discovery::start(executor).expect("a list");
        let servers: Vec<_> =
            (0..3).map(|index| StandIn::new(&format!("s{index}"), 1.0, executor, &list)).collect();
        servers.iter().for_each(|server| server.start(false).expect("it listens"));
        let serves = Condition::Serves(Capacity::per_second(1000, Duration::from_secs(1)));
        let discovery =
            |condition| Overrun::start(executor, list.clone(), 1, condition).expect("it listens");
        let discoveries = [discovery(serves), discovery(second)];
        let known: Value = serde_json::from_slice(&list.answer(None).expect("a list")).expect("JSON");

        let folder = tempfile::tempdir().expect("a folder");
        let (config, operator) =
            (folder.path().join("config.json"), folder.path().join("cottonpoint.toml"));
        let text = "[log]\nform = \"json\"\n\n[metrics]\nlisten = \"127.0.0.1:0\"\n";
        fs::write(&operator, text).expect("a file");
        write_config(&config, discoveries[0].address(0), &known);
        let connect_error = folder.path().join("connect-error");
        let faults = format!(
            "connect_error_file={};connect_port={}",
            connect_error.display(),
            discoveries[0].address(0).port()
        );
        let process = start(&config, &operator, folder.path(), &faults).await;
        let listen = process.wait_for("serves", STARTS_WITHIN).expect("it serves")["listen"].clone();
        let address: SocketAddr = listen.as_str().and_then(|at| at.parse().ok()).expect("an address");
        let metrics =
            process.wait_for("serves metrics", STARTS_WITHIN).expect("it serves")["listen"].clone();
        let metrics = metrics.as_str().and_then(|at| at.parse().ok()).expect("an address");
        wait_until("it watches", STARTS_WITHIN, || discoveries[0].open_watches() > 0).await;
        let patience = Duration::from_millis(1500);
        let view = Class { name: "view", method: "GET", share: 1.0, patience };
        let clients = Clients::new(address, vec![view]);
        executor.spawn(clients.clone().run(executor.clone(), REQUESTS_PER_SECOND, 1)).detach();
        Story {
            servers,
            discoveries,
            clients,
            process,
            config,
            known,
            connect_error,
            metrics,
            _folder: folder,
        }
    }

    /// Lets the process's connects to the first discovery fail from now on, or only the next one.
    fn fail_connects(&self, error: Errno, times: Times) {
        let once = if times == Times::Once { " once" } else { "" };
        let beside = self.connect_error.with_extension("new");
        fs::write(&beside, format!("{}{once}", error.raw_os_error())).expect("a file");
        fs::rename(beside, &self.connect_error).expect("a file");
    }

    /// How often a poll, or a connect for one, came to nothing for that reason, as the process's metrics say.
    fn discovery_failures(&self, reason: &str) -> u64 {
        let mut stream = TcpStream::connect(self.metrics).expect("it listens");
        stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: story\r\n\r\n").expect("it reads");
        let mut page = String::new();
        stream.read_to_string(&mut page).expect("a page");
        let name = format!("cottonpoint_discovery_failures_total{{result=\"{reason}\"}} ");
        let figure = page.lines().find_map(|line| line.strip_prefix(&name));
        figure.map_or(0, |figure| figure.parse().expect("a number"))
    }

    /// Waits until the connect that was to fail once has failed.
    async fn connect_has_failed(&self) {
        wait_until("a connect fails", NEWS_DUE, || !self.connect_error.exists()).await;
    }

    /// Cuts the process off, and waits until a poll of it shows that it is.
    async fn cut_off(&self, how: CutOff) {
        let asked = match how {
            CutOff::Reload => &self.discoveries[1],
            CutOff::FullDiscovery => &self.discoveries[0],
        };
        match how {
            CutOff::Reload => {
                write_config(&self.config, self.discoveries[1].address(0), &self.known);
                self.process.signal(Signal::HUP).expect("it runs");
            }
            CutOff::FullDiscovery => drop(self.discoveries[0].change(AT_THE_DOOR)),
        }
        wait_until("it polls", NEWS_DUE, || !asked.counts().arrived.is_empty()).await;
        if let CutOff::Reload = how {
            // What the first one still told would be taken until the second has answered.
            self.discoveries[0].change(AT_THE_DOOR);
            wait_until("the watch ends", NEWS_DUE, || self.discoveries[0].open_watches() == 0).await;
        }
    }

    /// Attempts that a server has had.
    fn attempts(&self, server: usize) -> u64 {
        let server = &self.servers[server];
        server.served.get() + server.turned_away.get() + server.working() as u64
    }
}

fn write_config(file: &Path, discovery: SocketAddr, known: &Value) {
    let configuration = json!({
        "name": "p0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "limits": { "sockets": 256 }, "known": known,
        "settings": settings(&json!([class("view", "read_like", 1.0, 500, 1500)])),
    });
    let beside = file.with_extension("new");
    fs::write(&beside, configuration.to_string()).expect("a file");
    fs::rename(beside, file).expect("a file");
}

async fn wait_until(what: &str, limit: Duration, holds: impl Fn() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < limit, "{what}");
        Timer::after(LOOK_EVERY).await;
    }
}

/// The library of failing system calls: `cargo test` builds it beside the tests.
fn shim() -> PathBuf {
    let executable = Path::new(env!("CARGO_BIN_EXE_cottonpoint-lab"));
    let folder = executable.parent().expect("a folder");
    let found =
        [folder.to_owned(), folder.join("deps")].map(|folder| folder.join("libcottonpoint_shim.so"));
    found.into_iter().find(|library| library.exists()).expect("cargo builds the library with the tests")
}

/// Starts the process on a thread of its own, so that the stand-ins go on answering.
async fn start(config: &Path, operator: &Path, state: &Path, faults: &str) -> Process {
    let words = ["program", "serve", "--config"].map(Into::into);
    let files = [config.to_owned(), "--operator".into(), operator.to_owned()];
    let arguments: Vec<PathBuf> = words.into_iter().chain(files).collect();
    let (done, wait) = async_channel::bounded(1);
    let state = state.to_owned();
    let environment =
        [("LD_PRELOAD".into(), shim().into()), ("COTTONPOINT_FAULTS".into(), faults.to_owned().into())];
    std::thread::spawn(move || {
        let program = Path::new(env!("CARGO_BIN_EXE_cottonpoint-lab"));
        done.try_send(Process::start_with(program, &arguments, &state, &environment))
    });
    wait.recv().await.expect("it ends").expect("it starts")
}
