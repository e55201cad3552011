//! What a process of the program does while it cannot have its list confirmed, on real sockets.
#![allow(missing_docs)]

use async_executor::LocalExecutor;
use async_io::Timer;
use cottonpoint_lab::live::Executor;
use cottonpoint_lab::live::clients::{Class, Clients};
use cottonpoint_lab::live::discovery::Discovery;
use cottonpoint_lab::live::overrun::{Capacity, Condition, Overrun};
use cottonpoint_lab::live::program::{class, settings};
use cottonpoint_lab::live::server::StandIn;
use cottonpoint_lab::rig::process::Process;
use rustix::process::Signal;
use serde_json::{Value, json};
use std::fs;
use std::net::SocketAddr;
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
const AT_THE_DOOR: Condition = Condition::TurnsAway { after: Duration::from_millis(6) };
const STARTS_WITHIN: Duration = Duration::from_secs(20);
const REQUESTS_PER_SECOND: f64 = 60.0;

/// Guards against: the list of before a reload used for as long as the new discovery turns each poll away (incident 1:
/// one process went 10 s without an answer and sent to a server that drained).
#[test]
fn nothing_new_goes_to_a_draining_server_while_polls_after_a_reload_are_turned_away() {
    assert_eq!(attempts_after_the_grace(AT_THE_DOOR, CutOff::Reload), 0);
}

/// Guards against: the same with a discovery that takes polls and answers none.
#[test]
fn nothing_new_goes_to_a_draining_server_while_discovery_is_silent() {
    let silent = Condition::TurnsAway { after: Duration::from_secs(3600) };
    assert_eq!(attempts_after_the_grace(silent, CutOff::Reload), 0);
}

/// Guards against: the same with no reload: the watch breaks and every poll after it is turned away at once.
#[test]
fn nothing_new_goes_to_a_draining_server_while_a_full_discovery_turns_polls_away() {
    assert_eq!(attempts_after_the_grace(AT_THE_DOOR, CutOff::FullDiscovery), 0);
}

/// What cuts the process off from the news.
#[derive(Clone, Copy)]
enum CutOff {
    /// A reload names the second discovery.
    Reload,
    /// The first discovery ends its watch, and turns polls away at once.
    FullDiscovery,
}

/// Plays a story: a process that serves by its list, whatever cuts it off from the news that a server drains, and the
/// attempts that this server gets once the grace is over.
fn attempts_after_the_grace(second: Condition, cut_off: CutOff) -> u64 {
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
struct Story {
    servers: Vec<Rc<StandIn>>,
    discoveries: [Rc<Overrun>; 2],
    clients: Rc<Clients>,
    process: Process,
    config: PathBuf,
    known: Value,
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
        fs::write(&operator, "[log]\nform = \"json\"\n").expect("a file");
        write_config(&config, discoveries[0].address(0), &known);
        let process = start(&config, &operator, folder.path()).await;
        let listen = process.wait_for("serves", STARTS_WITHIN).expect("it serves")["listen"].clone();
        let address: SocketAddr = listen.as_str().and_then(|at| at.parse().ok()).expect("an address");
        let begun = Instant::now();
        while discoveries[0].open_watches() == 0 {
            assert!(begun.elapsed() < STARTS_WITHIN, "it watches");
            Timer::after(Duration::from_millis(10)).await;
        }
        let patience = Duration::from_millis(1500);
        let view = Class { name: "view", method: "GET", share: 1.0, patience };
        let clients = Clients::new(address, vec![view]);
        executor.spawn(clients.clone().run(executor.clone(), REQUESTS_PER_SECOND, 1)).detach();
        Story { servers, discoveries, clients, process, config, known, _folder: folder }
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
        let begun = Instant::now();
        while asked.counts().arrived.is_empty() {
            assert!(begun.elapsed() < NEWS_DUE, "it polls");
            Timer::after(Duration::from_millis(10)).await;
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

/// Starts the process on a thread of its own, so that the stand-ins go on answering.
async fn start(config: &Path, operator: &Path, state: &Path) -> Process {
    let words = ["program", "serve", "--config"].map(Into::into);
    let files = [config.to_owned(), "--operator".into(), operator.to_owned()];
    let arguments: Vec<PathBuf> = words.into_iter().chain(files).collect();
    let (done, wait) = async_channel::bounded(1);
    let state = state.to_owned();
    std::thread::spawn(move || {
        let program = Path::new(env!("CARGO_BIN_EXE_cottonpoint-lab"));
        done.try_send(Process::start(program, &arguments, &state))
    });
    wait.recv().await.expect("it ends").expect("it starts")
}
